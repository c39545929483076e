//! What is normal for the targets of a pool.

use std::time::Duration;

/// Weight of a new response once enough were seen.
const WEIGHT: f64 = 1.0 / 128.0;
/// Bounds of the estimated spread of the logarithm of service times. Below the lower one, a target
/// that is less than twice as slow as the others would be ejected.
const SPREAD: (f64, f64) = (0.5, 1.5);
/// Responses further from normal than this many spreads count as this far.
const CLIP: f64 = 3.0;
/// The quantile after which an idempotent request is hedged.
const TAIL: f64 = 0.95;
/// Step of the quantile's estimate, in the logarithm of time.
const TAIL_STEP: f64 = 0.04;
/// Quantile of the normal distribution for `TAIL`.
const TAIL_SPREADS: f64 = 1.645;
/// Shortest time that is told apart from zero.
const SHORTEST: f64 = 1e-6;

/// The distribution of the service times of a pool's healthy targets.
///
/// Times are handled as logarithms: service times spread over factors, and a target that is slow
/// multiplies all of them.
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
    time.as_secs_f64().max(SHORTEST).ln()
}

impl Baseline {
    /// Starts from an assumed service time.
    pub fn new(initial: Duration) -> Self {
        let log_center = log_time(initial);
        Self {
            log_center,
            variance: 1.0,
            mean: initial.as_secs_f64(),
            tail: log_center + TAIL_SPREADS,
            seen: 0.0,
        }
    }

    /// Takes in the time until a response started, and until it ended and freed its slot.
    pub fn observe(&mut self, time: Duration, whole: Duration) {
        self.seen += 1.0;
        let weight = WEIGHT.max(1.0 / (self.seen + 1.0));
        let reach = CLIP * self.spread();
        let distance = (log_time(time) - self.log_center).clamp(-reach, reach);
        self.log_center += weight * distance;
        self.variance += weight * (distance * distance - self.variance);
        self.mean += weight * (whole.as_secs_f64() - self.mean);
        let step = TAIL_STEP.max(1.0 / (self.seen + 1.0));
        if log_time(time) > self.tail {
            self.tail += step * TAIL;
        } else {
            self.tail -= step * (1.0 - TAIL);
        }
    }

    /// Moves the middle, when all targets have become slower or faster together.
    pub fn recenter(&mut self, log_center: f64) {
        let shift = log_center - self.log_center;
        self.log_center = log_center;
        self.tail += shift;
        self.mean *= shift.exp();
    }

    /// Returns the logarithm of the typical service time.
    pub fn log_center(&self) -> f64 {
        self.log_center
    }

    /// Returns the spread of the logarithm of service times.
    pub fn spread(&self) -> f64 {
        self.variance.sqrt().clamp(SPREAD.0, SPREAD.1)
    }

    /// Returns the mean time for which a request holds its slot.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.max(SHORTEST))
    }

    /// Returns the time that one response in twenty exceeds.
    pub fn tail(&self) -> Duration {
        Duration::from_secs_f64(self.tail.max(self.log_center).exp())
    }

    /// Returns how many spreads the time is above the typical one.
    pub fn deviation(&self, time: Duration) -> f64 {
        (log_time(time) - self.log_center) / self.spread()
    }
}
