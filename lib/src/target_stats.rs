//! Statistics of the responses of one target.

use std::time::Duration;
use std::time::Instant;

use crate::baseline::Baseline;
use crate::baseline::log_time;
use crate::decaying_average::decay;
use crate::pool_event::TargetLoad;

/// Time in which service times lose half of their weight.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Maximum weight of the past relative to a new response.
const MAX_PAST_WEIGHT: f64 = 16.0;
/// Weight of the pool's typical time in a target's estimate, in responses.
const PRIOR_WEIGHT: f64 = 4.0;
/// Time in which a load report loses half of its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(50);

/// The recent service times and load reports of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetStats {
    log_center: f64,
    weight: f64,
    updated: Option<Instant>,
    reported: Option<(Instant, f64)>,
}

impl TargetStats {
    /// Records the service time of a response.
    pub fn observe(&mut self, now: Instant, time: Duration) {
        let past = self.weight_at(now).min(MAX_PAST_WEIGHT);
        self.weight = past + 1.0;
        self.log_center += (log_time(time) - self.log_center) / self.weight;
        self.updated = Some(now);
    }

    /// Returns the log of the expected service time.
    ///
    /// The estimate starts at the pool's typical time and returns to it as the evidence ages. A
    /// target that was slow is therefore tried again after a few seconds, with one request at a
    /// time, and no requests are needed that only measure.
    pub fn estimate(&self, now: Instant, baseline: &Baseline) -> f64 {
        let weight = self.weight_at(now);
        (self.log_center * weight + baseline.log_center() * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }

    /// Returns the log of the recent typical service time, or `None` before the first response.
    pub fn log_center(&self) -> Option<f64> {
        self.updated.map(|_| self.log_center)
    }

    /// Returns when the last response arrived.
    pub fn updated(&self) -> Option<Instant> {
        self.updated
    }

    /// Returns the remaining weight, from 0 to 1, of evidence as old as the last response.
    pub fn freshness(&self, now: Instant) -> f64 {
        let age = self.updated.map(|at| now.saturating_duration_since(at));
        age.map_or(1.0, |age| decay(age, HALF_LIFE))
    }

    /// Records a load report. `own` requests of this pool are known exactly and are subtracted.
    pub fn report(&mut self, now: Instant, load: TargetLoad, own: u32) {
        let others = (load.in_flight + load.queued).saturating_sub(own);
        self.reported = Some((now, f64::from(others)));
    }

    /// Returns the expected number of other VMs' requests on the target. The weight of a report
    /// decays with its age, because the load changes within milliseconds.
    pub fn others(&self, now: Instant) -> f64 {
        let reported = self.reported.map(|(at, others)| {
            others * decay(now.saturating_duration_since(at), REPORT_HALF_LIFE)
        });
        reported.unwrap_or(0.0)
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let age = self.updated.map(|at| now.saturating_duration_since(at));
        age.map_or(0.0, |age| self.weight * decay(age, HALF_LIFE))
    }
}
