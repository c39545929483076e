//! How full the targets of a service are at this moment, by what they have just reported, and how long
//! they hold a request.

use std::time::Duration;
use std::time::Instant;

use crate::decaying_average::DecayingAverage;
use crate::load_report::LoadReport;

/// Time in which the reports lose half of their weight when no new one comes.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Weight of a new report among the last ones, and of a new time.
const WEIGHT: f64 = 0.08;
/// The most requests for each slot that a report counts, so that one long queue is not taken for many.
const MOST: f64 = 2.0;

/// The mean of the last reports.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Requests for each slot.
    held: DecayingAverage,
    slots: u32,
    /// How long targets have held the last requests.
    took: Option<Duration>,
}

impl Default for ServiceLoad {
    fn default() -> Self {
        Self {
            held: DecayingAverage::new(HALF_LIFE, WEIGHT),
            slots: 1,
            took: None,
        }
    }
}

impl ServiceLoad {
    /// Takes in a report that has just arrived.
    pub fn observe(&mut self, now: Instant, report: LoadReport) {
        let held = f64::from(report.running + report.waiting);
        let slots = f64::from(report.slots.max(1));
        self.held.observe(now, (held / slots).min(MOST));
        self.slots = report.slots.max(1);
    }

    /// Takes in how long a target has held a request that it answered.
    pub fn observe_hold(&mut self, took: Duration) {
        let past = self.took.unwrap_or(took);
        self.took = Some(past.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT));
    }

    /// Returns how many requests a target holds for each of its slots.
    pub fn per_slot(&self, now: Instant) -> f64 {
        self.held.get(now)
    }

    /// Returns how many requests a target holds.
    pub fn per_target(&self, now: Instant) -> f64 {
        self.per_slot(now) * f64::from(self.slots)
    }

    /// Returns how long a target holds a request, or nothing before the first one.
    pub fn hold_time(&self) -> Option<Duration> {
        self.took
    }
}
