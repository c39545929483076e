//! When a request may wait, when a second copy of it helps, and when it is too late for another try.

use std::time::Duration;
use std::time::Instant;

/// Part of the target latency for which a request may wait for a target with room in any case.
const WAIT_DIVISOR: u32 = 8;
/// How much longer than on an idle, quiet target a request takes while all are busy. One that has
/// waited until only this much of the target latency is left starts or is refused.
const BUSY_FACTOR: f64 = 1.8;
/// A second copy is sent when the first one has taken this many times what was expected.
const HEDGE_FACTOR: f64 = 2.5;
/// Least time after which a second copy is sent.
const HEDGE_LEAST: Duration = Duration::from_millis(100);

/// The times of a request.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// When it arrived.
    pub arrived: Instant,
    /// The time from its arrival within which its response is worth most.
    pub latency: Duration,
    /// The time that it takes on an idle, quiet target.
    pub work: Duration,
    /// When the response has to be there.
    pub deadline: Instant,
}

impl CallTimes {
    /// Returns until when the response is worth most.
    pub fn soft_deadline(&self) -> Instant {
        self.arrived + self.latency
    }

    /// Returns until when the request may wait for a target with room.
    pub fn wait_end(&self, now: Instant) -> Instant {
        let service = self.work.mul_f64(BUSY_FACTOR);
        let least = self.latency / WAIT_DIVISOR;
        let wait = self.latency.saturating_sub(service).max(least);
        (self.arrived + wait).max(now + wait / 2).min(self.deadline)
    }

    /// Returns when a second copy helps, or nothing if it would come too late at `earliest`.
    pub fn hedge_at(&self, earliest: Instant) -> Option<Instant> {
        let after = self.work.mul_f64(HEDGE_FACTOR).max(HEDGE_LEAST);
        let at = (self.arrived + after).max(earliest);
        (at + self.work < self.deadline).then_some(at)
    }

    /// Returns whether there is time for another attempt.
    pub fn has_time(&self, now: Instant) -> bool {
        now + self.work / 2 < self.deadline
    }
}
