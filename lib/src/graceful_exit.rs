//! The shutdown sequence of a VM that has no state to hand over.

use std::time::Duration;
use std::time::Instant;

/// The interval of the platform's readiness checks, and how many have to fail before it stops
/// sending requests.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
const READINESS_FAILURES: u32 = 2;
/// The time before the end of the grace period at which the last responses have to be sent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// The time before the end of the grace period at which the process exits, whatever is in flight.
const EXIT_MARGIN: Duration = Duration::from_millis(30);

/// A planned stop. Readiness fails at once. New work is accepted until the platform's load balancer
/// has noticed, and the process exits when nothing is in flight, before the platform would kill it.
#[derive(Clone, Copy, Debug)]
pub struct GracefulExit {
    grace: Duration,
    signalled: Option<Instant>,
}

impl GracefulExit {
    /// Creates the sequence for a platform that kills the process `grace` after the signal.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            signalled: None,
        }
    }

    /// Records the signal. Further signals change nothing.
    pub fn signal(&mut self, now: Instant) {
        self.signalled.get_or_insert(now);
    }

    /// Returns whether the stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.signalled.is_some()
    }

    /// Returns whether new work is accepted: until the platform's load balancer has noticed that
    /// readiness fails. It sends later requests to other VMs, so that this VM becomes idle.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.signalled
            .is_none_or(|at| now < at + self.notice_time())
    }

    /// Returns the time left for work that starts now, or `None` if no stop has begun.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        Some(self.deadline()?.saturating_duration_since(now))
    }

    /// Returns when all requests have to be answered, or `None` if no stop has begun.
    pub fn deadline(&self) -> Option<Instant> {
        Some(self.signalled? + self.grace.saturating_sub(RESPONSE_MARGIN))
    }

    /// Returns the given deadline, or that of the stop if it is earlier.
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.deadline().map_or(deadline, |end| end.min(deadline))
    }

    /// Returns whether the process may exit now: nothing is in flight, or the platform is about to
    /// kill it.
    pub fn may_exit(&self, now: Instant, in_flight: usize) -> bool {
        let is_idle = !self.takes_work(now) && in_flight == 0;
        is_idle || self.is_over(now)
    }

    /// Returns whether the grace period is over.
    pub fn is_over(&self, now: Instant) -> bool {
        self.signalled
            .is_some_and(|at| now >= at + self.grace.saturating_sub(EXIT_MARGIN))
    }

    fn notice_time(&self) -> Duration {
        let detection = READINESS_INTERVAL * (READINESS_FAILURES + 1);
        detection.min(self.grace / 2)
    }
}
