//! What is known about the time of a request on a target before the target is asked.

use std::f64::consts::PI;

/// Slope of the logistic curve that comes closest to the normal distribution function. It differs from
/// it by less than 0.01.
const LOGISTIC_SLOPE: f64 = 1.702;

/// The expected time of a request on a target, in milliseconds, as a normal distribution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prospect {
    /// The mean.
    pub mean: f64,
    /// The standard deviation.
    pub spread: f64,
}

impl Prospect {
    /// Returns by how much the target is expected to be better than `best`, where it counts as zero
    /// if it turns out to be worse.
    pub fn improvement(&self, best: f64) -> f64 {
        let ahead = best - self.mean;
        if self.spread <= 0.0 {
            return ahead.max(0.0);
        }
        let z = ahead / self.spread;
        let density = (-z * z / 2.0).exp() / (2.0 * PI).sqrt();
        let below = 1.0 / (1.0 + (-LOGISTIC_SLOPE * z).exp());
        (self.spread * density + ahead * below).max(0.0)
    }
}
