//! A limiter of the work done in any window of one second.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The window in which the sum of charges is limited.
const WINDOW: Duration = Duration::from_secs(1);

/// Identifies one charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChargeId(u64);

/// Limits the work in any window of one second.
///
/// A token bucket that refills at the rate `r` and holds up to one second's tokens allows up to
/// twice the rate within one second. Here tokens are released one second after the work ended, so
/// that all work that overlaps a window still holds its tokens at the end of that window.
#[derive(Clone, Debug, Default)]
pub struct WindowLimiter {
    running: BTreeMap<ChargeId, Duration>,
    releases: VecDeque<(Instant, Duration)>,
    held: Duration,
    next_id: u64,
}

impl WindowLimiter {
    /// Acquires tokens for new work. Returns `None` if the limit does not allow it.
    pub fn charge(&mut self, now: Instant, limit: Duration, cost: Duration) -> Option<ChargeId> {
        self.charge_up_to(now, limit, cost, cost).map(|(id, _)| id)
    }

    /// Acquires as many tokens as the limit allows, between `min` and `max`.
    pub fn charge_up_to(
        &mut self,
        now: Instant,
        limit: Duration,
        min: Duration,
        max: Duration,
    ) -> Option<(ChargeId, Duration)> {
        let granted = limit.saturating_sub(self.held(now)).min(max);
        if granted < min || granted.is_zero() {
            return None;
        }
        let id = ChargeId(self.next_id);
        self.next_id += 1;
        self.held += granted;
        self.running.insert(id, granted);
        Some((id, granted))
    }

    /// Records that the work ended and used all of its tokens.
    pub fn settle(&mut self, now: Instant, id: ChargeId) {
        if let Some(cost) = self.running.remove(&id) {
            self.releases.push_back((now + WINDOW, cost));
        }
    }

    /// Records that the work ended after `used`. Unused tokens are released at once; work that took
    /// longer than granted holds tokens for all of its time.
    pub fn settle_used(&mut self, now: Instant, id: ChargeId, used: Duration) {
        if let Some(granted) = self.running.remove(&id) {
            self.held = self.held + used - granted;
            self.releases.push_back((now + WINDOW, used));
        }
    }

    /// Returns the tokens held by work that is running or ended within the last second.
    pub fn held(&mut self, now: Instant) -> Duration {
        while let Some((at, cost)) = self.releases.front() {
            if *at > now {
                break;
            }
            self.held -= *cost;
            self.releases.pop_front();
        }
        self.held
    }
}
