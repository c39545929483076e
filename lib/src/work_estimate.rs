//! The estimated service time of a kind of request on an idle, quiet target.

use std::time::Duration;

/// The expected service time before the first measurement, as a part of the target latency.
const INITIAL_SHARE: f64 = 1.0 / 3.0;
/// Weight of a new measurement in the moving average.
const WEIGHT: f64 = 0.1;
/// Measurements after which the initial estimate has lost most of its weight.
const SETTLED_AFTER: u32 = 20;
/// Bounds of one measurement, relative to the expected time.
const RATIO_BOUNDS: (f64, f64) = (0.5, 2.0);
/// The shortest estimate.
const MIN_ESTIMATE: Duration = Duration::from_millis(1);

/// An estimate that follows measured service times.
#[derive(Clone, Copy, Debug)]
pub struct WorkEstimate {
    time: Duration,
    measured: u32,
}

impl WorkEstimate {
    /// Creates an initial estimate from the target latency, within which a response has its full
    /// value.
    pub fn new(latency: Duration) -> Self {
        Self {
            time: latency.mul_f64(INITIAL_SHARE).max(MIN_ESTIMATE),
            measured: 0,
        }
    }

    /// Returns the estimated service time, at least 1 ms.
    pub fn get(self) -> Duration {
        self.time
    }

    /// Returns whether the estimate no longer depends on the initial one.
    pub fn is_settled(self) -> bool {
        self.measured >= SETTLED_AFTER
    }

    /// Records that a request took `ratio` times the time that was expected on its target.
    pub fn observe(&mut self, ratio: f64) {
        let factor = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).powf(WEIGHT);
        self.time = self.time.mul_f64(factor).max(MIN_ESTIMATE);
        self.measured = self.measured.saturating_add(1);
    }
}
