//! The sequence of a planned stop of a VM that hands nothing over.

use std::time::Duration;
use std::time::Instant;

/// How often the platform's load balancer asks for readiness, and how many misses it needs.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
const READINESS_MISSES: u32 = 2;
/// What remains of the grace period when the last responses have to be on their way.
const LAST_MOMENT: Duration = Duration::from_millis(150);

/// A planned stop. Readiness fails at once; new work is taken until the platform's load balancer
/// has noticed, and the process ends when nothing is in flight, before it would be killed.
#[derive(Clone, Copy, Debug)]
pub struct GracefulExit {
    grace: Duration,
    signalled: Option<Instant>,
}

impl GracefulExit {
    /// Builds the sequence for a platform that kills the process `grace` after the signal.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            signalled: None,
        }
    }

    /// Takes note of the signal. Further signals change nothing.
    pub fn signal(&mut self, now: Instant) {
        self.signalled.get_or_insert(now);
    }

    /// Returns whether the stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.signalled.is_some()
    }

    /// Returns whether new work is still taken: until the platform's load balancer has noticed.
    /// Later requests go to another VM, so that this one comes to its end.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.signalled.is_none_or(|at| now < at + self.notice())
    }

    /// Returns how long work that starts now would have, if the process is to end.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        let end = self.signalled? + self.grace.saturating_sub(LAST_MOMENT);
        Some(end.saturating_duration_since(now))
    }

    /// Returns whether the process may end at this very moment.
    pub fn may_exit(&self, now: Instant, in_flight: usize) -> bool {
        self.signalled.is_some() && !self.takes_work(now) && in_flight == 0
    }

    fn notice(&self) -> Duration {
        let noticed = READINESS_INTERVAL * (READINESS_MISSES + 1);
        noticed.min(self.grace / 2)
    }
}
