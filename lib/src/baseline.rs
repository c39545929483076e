//! The normal service time of the targets of a pool.

use std::time::Duration;

/// Weight of a new response in the running averages, once enough have been observed.
const RESPONSE_WEIGHT: f64 = 1.0 / 128.0;
/// Bounds of the estimated standard deviation of log service times. With a smaller lower bound, a
/// target that is less than twice as slow as the others would be ejected.
const SPREAD_BOUNDS: (f64, f64) = (0.5, 1.5);
/// Deviations from the typical time are clipped at this many standard deviations.
const MAX_DEVIATION: f64 = 3.0;
/// The quantile of service times after which an idempotent request is hedged.
const TAIL_QUANTILE: f64 = 0.95;
/// Step size of the quantile estimate, in log time.
const TAIL_STEP: f64 = 0.04;
/// The `TAIL_QUANTILE` quantile of the standard normal distribution.
const TAIL_DEVIATION: f64 = 1.645;
/// Shorter times, in seconds, count as this long, so that they have a logarithm.
const MIN_SECONDS: f64 = 1e-6;

/// The distribution of the service times of a pool's healthy targets.
///
/// Times are handled as logarithms, because service times vary by factors and a slow target
/// multiplies all of them. A "spread" is one standard deviation of the log service time.
#[derive(Clone, Debug)]
pub struct Baseline {
    log_center: f64,
    variance: f64,
    mean: f64,
    tail: f64,
    seen: f64,
}

/// Returns the logarithm of a duration in seconds.
pub fn log_time(time: Duration) -> f64 {
    time.as_secs_f64().max(MIN_SECONDS).ln()
}

impl Baseline {
    /// Creates a baseline from an assumed service time.
    pub fn new(initial: Duration) -> Self {
        let log_center = log_time(initial);
        Self {
            log_center,
            variance: 1.0,
            mean: initial.as_secs_f64(),
            tail: log_center + TAIL_DEVIATION,
            seen: 0.0,
        }
    }

    /// Records the time from an attempt's start to the first byte of its response, and `total`, the
    /// time until the response ended and freed its slot.
    pub fn observe(&mut self, time: Duration, total: Duration) {
        self.seen += 1.0;
        let weight = RESPONSE_WEIGHT.max(1.0 / (self.seen + 1.0));
        let bound = MAX_DEVIATION * self.spread();
        let deviation = (log_time(time) - self.log_center).clamp(-bound, bound);
        self.log_center += weight * deviation;
        self.variance += weight * (deviation * deviation - self.variance);
        self.mean += weight * (total.as_secs_f64() - self.mean);
        let step = TAIL_STEP.max(1.0 / (self.seen + 1.0));
        if log_time(time) > self.tail {
            self.tail += step * TAIL_QUANTILE;
        } else {
            self.tail -= step * (1.0 - TAIL_QUANTILE);
        }
    }

    /// Sets the log of the typical service time and shifts the other estimates with it, for when
    /// all targets have become slower or faster together.
    pub fn recenter(&mut self, log_center: f64) {
        let shift = log_center - self.log_center;
        self.log_center = log_center;
        self.tail += shift;
        self.mean *= shift.exp();
    }

    /// Returns the log of the typical service time, a mean of clipped log times in seconds.
    pub fn log_center(&self) -> f64 {
        self.log_center
    }

    /// Returns the standard deviation of the log service time, within `SPREAD_BOUNDS`.
    pub fn spread(&self) -> f64 {
        self.variance.sqrt().clamp(SPREAD_BOUNDS.0, SPREAD_BOUNDS.1)
    }

    /// Returns the mean time for which a request occupies its slot.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.max(MIN_SECONDS))
    }

    /// Returns the 95th percentile of the service time, at least the typical one.
    pub fn tail(&self) -> Duration {
        Duration::from_secs_f64(self.tail.max(self.log_center).exp())
    }

    /// Returns how many standard deviations the time is above the typical one, in log time.
    pub fn deviation(&self, time: Duration) -> f64 {
        (log_time(time) - self.log_center) / self.spread()
    }
}
