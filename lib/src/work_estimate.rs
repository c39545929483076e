//! How long a kind of request takes on an idle, quiet target.

use std::time::Duration;

/// Part of the time within which a response has its full worth that a request is expected to
/// take, before any has been measured.
const INITIAL_SHARE: f64 = 1.0 / 3.0;
/// Weight of a new measurement.
const WEIGHT: f64 = 0.1;
/// Bounds of one measurement, relative to what was expected.
const BOUNDS: (f64, f64) = (0.5, 2.0);
/// The shortest estimate.
const SHORTEST: Duration = Duration::from_millis(1);

/// An estimate that follows the measured times.
#[derive(Clone, Copy, Debug)]
pub struct WorkEstimate(Duration);

impl WorkEstimate {
    /// Starts with a guess from the time within which a response has its full worth.
    pub fn new(latency: Duration) -> Self {
        Self(latency.mul_f64(INITIAL_SHARE).max(SHORTEST))
    }

    /// Returns the estimate.
    pub fn get(self) -> Duration {
        self.0
    }

    /// Takes in that a request took `ratio` times what was expected of its target.
    pub fn observe(&mut self, ratio: f64) {
        let factor = ratio.clamp(BOUNDS.0, BOUNDS.1).powf(WEIGHT);
        self.0 = self.0.mul_f64(factor).max(SHORTEST);
    }
}
