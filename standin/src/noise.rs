//! Simulates interference by other loads on the same machine, which changes every few milliseconds.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A random slowdown that is constant within each period and independent between periods.
#[derive(Clone, Copy, Debug)]
pub struct Noise {
    /// How long each slowdown lasts.
    pub period: Duration,
    /// Maximum slowdown factor; each period draws uniformly from 1 to this.
    pub max_factor: f64,
    /// Random seed of the slowdowns.
    pub seed: u64,
}

impl Noise {
    /// Returns the elapsed time of `work` that starts at `start`.
    pub fn stretch(&self, start: Duration, work: Duration) -> Duration {
        if self.period.is_zero() || self.max_factor <= 1.0 {
            return work;
        }
        let period = self.period.as_secs_f64();
        let begin = start.as_secs_f64();
        let mut remaining = work.as_secs_f64();
        let mut at = begin;
        loop {
            let index = (at / period).floor();
            let end = (index + 1.0) * period;
            let factor = self.factor(index as u64);
            let done = (end - at) / factor;
            if done >= remaining {
                return Duration::from_secs_f64(at + remaining * factor - begin);
            }
            remaining -= done;
            at = end.max(at + f64::EPSILON * at);
        }
    }

    fn factor(&self, index: u64) -> f64 {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        1.0 + (self.max_factor - 1.0) * (hash as f64 / u64::MAX as f64)
    }
}
