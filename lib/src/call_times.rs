//! How long a request may wait for a target, when to hedge it, and until when to retry it.

use std::time::Duration;
use std::time::Instant;

/// A request may wait for a free target for at least the target latency divided by this, even if
/// its service time leaves less.
const WAIT_DIVISOR: u32 = 8;
/// Ratio of the service time while all targets are busy to that on an idle, quiet target. A request
/// waits until only that much of the target latency is left; then it starts or is refused.
const BUSY_FACTOR: f64 = 1.8;
/// A hedge is sent when the request has taken this multiple of its expected time.
const HEDGE_FACTOR: f64 = 2.5;
/// The shortest time after which a hedge is sent.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(100);

/// The arrival, expected duration and deadlines of a request.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// When the request arrived.
    pub arrived: Instant,
    /// The target latency, from arrival to response. A later response is worth less.
    pub latency: Duration,
    /// The expected service time on an idle, quiet target.
    pub work: Duration,
    /// When the response is due at the latest; after that it has no value.
    pub deadline: Instant,
}

impl CallTimes {
    /// Returns until when the response has its full value.
    pub fn soft_deadline(&self) -> Instant {
        self.arrived + self.latency
    }

    /// Returns until when the request may wait for a target with a free slot. A retry at `now` gets
    /// at least half of the waiting time once more.
    pub fn wait_end(&self, now: Instant) -> Instant {
        let busy_time = self.work.mul_f64(BUSY_FACTOR);
        let min_wait = self.latency / WAIT_DIVISOR;
        let wait = self.latency.saturating_sub(busy_time).max(min_wait);
        (self.arrived + wait).max(now + wait / 2).min(self.deadline)
    }

    /// Returns when to send a hedge, at `earliest` or later, or `None` if it could not finish
    /// before the deadline.
    pub fn hedge_at(&self, earliest: Instant) -> Option<Instant> {
        let after = self.work.mul_f64(HEDGE_FACTOR).max(MIN_HEDGE_DELAY);
        let at = (self.arrived + after).max(earliest);
        (at + self.work < self.deadline).then_some(at)
    }

    /// Returns whether another attempt has time for at least half of its service time before the
    /// deadline.
    pub fn has_time(&self, now: Instant) -> bool {
        now + self.work / 2 < self.deadline
    }
}
