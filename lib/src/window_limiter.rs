//! A token bucket whose tokens come back one second after the work that they paid for.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The window in which the sum of charges is limited.
const WINDOW: Duration = Duration::from_secs(1);

/// Names one charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChargeId(u64);

/// Limits the work in any window of one second.
///
/// A bucket that refills at the rate `r` and holds up to one second's tokens lets through up to
/// twice the rate in one second. Here the tokens return one second after the work ended, so that
/// all work which overlaps a window holds its tokens at the end of that window.
#[derive(Clone, Debug, Default)]
pub struct WindowLimiter {
    running: BTreeMap<ChargeId, Duration>,
    returning: VecDeque<(Instant, Duration)>,
    held: Duration,
    next: u64,
}

impl WindowLimiter {
    /// Takes tokens for new work, or returns `None` when the limit does not allow it.
    pub fn charge(&mut self, now: Instant, limit: Duration, cost: Duration) -> Option<ChargeId> {
        self.charge_up_to(now, limit, cost, cost).map(|(id, _)| id)
    }

    /// Takes as many tokens as the limit allows, between `least` and `most`.
    pub fn charge_up_to(
        &mut self,
        now: Instant,
        limit: Duration,
        least: Duration,
        most: Duration,
    ) -> Option<(ChargeId, Duration)> {
        let granted = limit.saturating_sub(self.held(now)).min(most);
        if granted < least || granted.is_zero() {
            return None;
        }
        let id = ChargeId(self.next);
        self.next += 1;
        self.held += granted;
        self.running.insert(id, granted);
        Some((id, granted))
    }

    /// Notes that the work ended and took all its tokens.
    pub fn settle(&mut self, now: Instant, id: ChargeId) {
        if let Some(cost) = self.running.remove(&id) {
            self.returning.push_back((now + WINDOW, cost));
        }
    }

    /// Notes that the work ended after `used`. Tokens that were not used return at once; work that
    /// took longer than granted holds tokens for all of it.
    pub fn settle_used(&mut self, now: Instant, id: ChargeId, used: Duration) {
        if let Some(granted) = self.running.remove(&id) {
            self.held = self.held + used - granted;
            self.returning.push_back((now + WINDOW, used));
        }
    }

    /// Returns the tokens that are held by work which runs or ended within the last second.
    pub fn held(&mut self, now: Instant) -> Duration {
        while let Some((at, cost)) = self.returning.front() {
            if *at > now {
                break;
            }
            self.held -= *cost;
            self.returning.pop_front();
        }
        self.held
    }
}
