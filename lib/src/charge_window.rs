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
pub struct ChargeWindow {
    running: BTreeMap<ChargeId, Duration>,
    returning: VecDeque<(Instant, Duration)>,
    held: Duration,
    next: u64,
}

impl ChargeWindow {
    /// Takes tokens for new work, or returns `None` when the limit does not allow it.
    pub fn charge(&mut self, now: Instant, limit: Duration, cost: Duration) -> Option<ChargeId> {
        if self.held(now) + cost > limit {
            return None;
        }
        let id = ChargeId(self.next);
        self.next += 1;
        self.held += cost;
        self.running.insert(id, cost);
        Some(id)
    }

    /// Notes that the work ended.
    pub fn settle(&mut self, now: Instant, id: ChargeId) {
        if let Some(cost) = self.running.remove(&id) {
            self.returning.push_back((now + WINDOW, cost));
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
