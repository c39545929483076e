//! What responses tell about one target.

use std::time::Duration;
use std::time::Instant;

use crate::baseline::Baseline;
use crate::baseline::log_time;
use crate::decaying_average::decay;
use crate::pool_event::TargetLoad;

/// Time in which evidence loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Largest weight of the past against a new response.
const MEMORY: f64 = 16.0;
/// Weight of the pool's typical time in a target's estimate.
const PRIOR: f64 = 4.0;
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
    /// Takes in the service time of a response.
    pub fn observe(&mut self, now: Instant, time: Duration) {
        let past = self.weight_at(now).min(MEMORY);
        self.weight = past + 1.0;
        self.log_center += (log_time(time) - self.log_center) / self.weight;
        self.updated = Some(now);
    }

    /// Returns the logarithm of the expected service time.
    ///
    /// The estimate starts at the pool's typical time and goes back to it as the evidence gets
    /// old. A target that was slow is therefore tried again after a few seconds, with one request
    /// at a time, without any request that is sent only to measure.
    pub fn estimate(&self, now: Instant, baseline: &Baseline) -> f64 {
        let weight = self.weight_at(now);
        (self.log_center * weight + baseline.log_center() * PRIOR) / (weight + PRIOR)
    }

    /// Returns the logarithm of the recent typical service time, if there is evidence.
    pub fn log_center(&self) -> Option<f64> {
        self.updated.map(|_| self.log_center)
    }

    /// Returns when the last response arrived.
    pub fn updated(&self) -> Option<Instant> {
        self.updated
    }

    /// Returns what is left of the weight of evidence that is as old as the last response.
    pub fn freshness(&self, now: Instant) -> f64 {
        let age = self.updated.map(|at| now.saturating_duration_since(at));
        age.map_or(1.0, |age| decay(age, HALF_LIFE))
    }

    /// Takes in a load report. Requests of this pool are known exactly and are left out.
    pub fn report(&mut self, now: Instant, load: TargetLoad, own: u32) {
        let others = (load.in_flight + load.queued).saturating_sub(own);
        self.reported = Some((now, f64::from(others)));
    }

    /// Returns the expected number of requests that other VMs have on the target. A report loses
    /// weight with its age, because the load changes within milliseconds.
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
