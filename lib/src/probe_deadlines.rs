//! How long the probes in flight may work on their targets.

use std::time::Instant;

use crate::pool_event::AttemptId;

/// The probes in flight with the time at which their granted target time is used up.
///
/// Few probes are in flight at once, because the budget of a service is small.
#[derive(Clone, Debug, Default)]
pub struct ProbeDeadlines {
    probes: Vec<(Instant, AttemptId)>,
}

impl ProbeDeadlines {
    /// Notes a probe that may work until `until`.
    pub fn start(&mut self, attempt: AttemptId, until: Instant) {
        self.probes.push((until, attempt));
    }

    /// Notes that a probe ended.
    pub fn end(&mut self, attempt: AttemptId) {
        self.probes.retain(|(_, probe)| *probe != attempt);
    }

    /// Takes out the probes that have to be cancelled.
    pub fn take_due(&mut self, now: Instant) -> Vec<AttemptId> {
        let due = self.probes.extract_if(.., |(until, _)| *until <= now);
        due.map(|(_, attempt)| attempt).collect()
    }

    /// Returns when the next probe has to be cancelled.
    pub fn next(&self) -> Option<Instant> {
        self.probes.iter().map(|(until, _)| *until).min()
    }
}
