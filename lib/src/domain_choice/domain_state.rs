//! What a VM knows about one failure domain and service.

use std::time::Duration;
use std::time::Instant;

use crate::domain_choice::capacity::Capacity;
use crate::domain_choice::domain_load::DomainLoad;
use crate::domain_choice::round_trip::RoundTrip;

/// Pause between two checks of a domain whose load is not known. It keeps the checks of many VMs that
/// are all short of targets few, and still gives several reports a second.
const LEARNING_PAUSE: Duration = Duration::from_millis(250);

/// What a VM knows about one failure domain and service.
#[derive(Clone, Debug, Default)]
pub struct DomainState {
    /// The reports of its targets.
    pub reports: DomainLoad,
    /// The time to it and back.
    pub round_trip: RoundTrip,
    /// Its targets and VMs.
    pub capacity: Capacity,
    checked: Option<Instant>,
}

impl DomainState {
    /// Returns the requests per slot, or nothing if it is not known.
    pub fn load(&self, now: Instant) -> Option<f64> {
        self.reports.per_slot(now, self.capacity.targets)
    }

    /// Returns the requests per slot that the domain may have at the worst, as far as the number of
    /// reports tells.
    pub fn cautious_load(&self, now: Instant) -> Option<f64> {
        self.reports.cautious_per_slot(now, self.capacity.targets)
    }

    /// Returns whether a target of the domain should be checked only to learn its load.
    pub fn take_learning_check(&mut self, now: Instant) -> bool {
        let paused = self.checked.is_some_and(|at| now < at + LEARNING_PAUSE);
        let due = self.capacity.targets > 0 && !paused;
        if due {
            self.checked = Some(now);
        }
        due
    }
}
