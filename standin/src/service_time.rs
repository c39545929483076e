//! Random service times of a target.

use std::time::Duration;

use rand::Rng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

/// A log-normal distribution of service times with a given mean.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    mean: Duration,
    distribution: Option<LogNormal<f64>>,
}

impl ServiceTime {
    /// Builds the distribution; a sigma of 0 makes every request take the mean.
    pub fn new(mean: Duration, sigma: f64) -> Self {
        // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        let mu = mean.as_secs_f64().ln() - sigma * sigma / 2.0;
        let distribution = LogNormal::new(mu, sigma).ok();
        Self {
            mean,
            distribution: distribution.filter(|_| sigma > 0.0 && !mean.is_zero()),
        }
    }

    /// Draws the service time of one request.
    pub fn draw(&self, random: &mut impl Rng) -> Duration {
        let sampled = self
            .distribution
            .map(|distribution| distribution.sample(random));
        sampled.map_or(self.mean, Duration::from_secs_f64)
    }
}
