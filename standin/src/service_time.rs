//! How long a target works on a request.

use std::time::Duration;

use rand::Rng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

/// A log-normal distribution of service times with a given mean.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    mean: Duration,
    shape: Option<LogNormal<f64>>,
}

impl ServiceTime {
    /// Builds the distribution; a sigma of 0 makes every request take the mean.
    pub fn new(mean: Duration, sigma: f64) -> Self {
        // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        let mu = mean.as_secs_f64().ln() - sigma * sigma / 2.0;
        let shape = LogNormal::new(mu, sigma).ok();
        Self {
            mean,
            shape: shape.filter(|_| sigma > 0.0 && !mean.is_zero()),
        }
    }

    /// Draws the time of one request.
    pub fn draw(&self, random: &mut impl Rng) -> Duration {
        let drawn = self.shape.map(|shape| shape.sample(random));
        drawn.map_or(self.mean, Duration::from_secs_f64)
    }
}
