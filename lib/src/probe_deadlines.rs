//! Deadlines of the probes in flight.

use std::time::Instant;

use crate::pool_event::AttemptId;

/// The probes in flight, each with the time at which its granted target time is used up.
///
/// Only a few probes are in flight at once, because the budget of a service is small.
#[derive(Clone, Debug, Default)]
pub struct ProbeDeadlines {
    probes: Vec<(Instant, AttemptId)>,
}

impl ProbeDeadlines {
    /// Records a probe that may run until `until`.
    pub fn start(&mut self, attempt: AttemptId, until: Instant) {
        self.probes.push((until, attempt));
    }

    /// Records that a probe ended.
    pub fn end(&mut self, attempt: AttemptId) {
        self.probes.retain(|(_, probe)| *probe != attempt);
    }

    /// Removes and returns the probes that have to be cancelled.
    pub fn take_due(&mut self, now: Instant) -> Vec<AttemptId> {
        let due = self.probes.extract_if(.., |(until, _)| *until <= now);
        due.map(|(_, attempt)| attempt).collect()
    }

    /// Returns when the next probe has to be cancelled.
    pub fn next(&self) -> Option<Instant> {
        self.probes.iter().map(|(until, _)| *until).min()
    }
}
