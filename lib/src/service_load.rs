//! The current load of a service's targets by their recent reports, and how long a request occupies
//! a target.

use std::time::Duration;
use std::time::Instant;

use crate::decaying_average::DecayingAverage;
use crate::load_report::LoadReport;

/// Time in which the average load halves while no new report arrives.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Weight of a new report, and of a new hold time, in its moving average.
const WEIGHT: f64 = 0.08;
/// Reports count at most this many requests per slot, so that one long queue does not look like a
/// high load of all targets.
const MAX_PER_SLOT: f64 = 2.0;

/// Moving averages of the load and hold time of a service's targets.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Requests per slot.
    load: DecayingAverage,
    /// Slots of the target that reported last.
    slots: u32,
    /// How long the recent requests occupied their targets.
    hold_time: Option<Duration>,
}

impl Default for ServiceLoad {
    fn default() -> Self {
        Self {
            load: DecayingAverage::new(HALF_LIFE, WEIGHT),
            slots: 1,
            hold_time: None,
        }
    }
}

impl ServiceLoad {
    /// Records a report that has just arrived.
    pub fn observe(&mut self, now: Instant, report: LoadReport) {
        let requests = f64::from(report.running + report.waiting);
        let slots = f64::from(report.slots.max(1));
        self.load.observe(now, (requests / slots).min(MAX_PER_SLOT));
        self.slots = report.slots.max(1);
    }

    /// Returns the slots of the target that reported last.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Records how long an answered request occupied its target.
    pub fn observe_hold(&mut self, time: Duration) {
        let past = self.hold_time.unwrap_or(time);
        self.hold_time = Some(past.mul_f64(1.0 - WEIGHT) + time.mul_f64(WEIGHT));
    }

    /// Returns the average number of requests per slot, waiting ones included.
    pub fn per_slot(&self, now: Instant) -> f64 {
        self.load.get(now)
    }

    /// Returns the average number of requests per target, waiting ones included.
    pub fn per_target(&self, now: Instant) -> f64 {
        self.per_slot(now) * f64::from(self.slots)
    }

    /// Returns how long a request occupies its target, or `None` before the first one.
    pub fn hold_time(&self) -> Option<Duration> {
        self.hold_time
    }
}
