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

    /// Returns how long new work would have, if the process is to end. A request that arrives
    /// when less is left than it needs should go to another VM.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        let end = self.signalled? + self.grace.saturating_sub(LAST_MOMENT);
        Some(end.saturating_duration_since(now))
    }

    /// Returns whether the process may end.
    pub fn may_exit(&self, now: Instant, in_flight: usize) -> bool {
        let Some(signalled) = self.signalled else {
            return false;
        };
        let noticed = READINESS_INTERVAL * (READINESS_MISSES + 1);
        in_flight == 0 && now >= signalled + noticed.min(self.grace / 2)
    }
}
