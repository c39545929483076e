//! An average whose value decays with the age of the last observation.

use std::time::Duration;
use std::time::Instant;

/// An exponentially weighted average that decays to zero while nothing is observed.
#[derive(Clone, Copy, Debug)]
pub struct DecayingAverage {
    value: f64,
    at: Option<Instant>,
    half_life: Duration,
    /// Weight of a new observation, from 0 to 1.
    weight: f64,
}

impl DecayingAverage {
    /// Creates an average without observations, whose value is 0.
    pub fn new(half_life: Duration, weight: f64) -> Self {
        Self {
            value: 0.0,
            at: None,
            half_life,
            weight,
        }
    }

    /// Adds an observation.
    pub fn observe(&mut self, now: Instant, value: f64) {
        let past = self.get(now);
        self.value = past + self.weight * (value - past);
        self.at = Some(now);
    }

    /// Returns the value at the given time.
    pub fn get(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        self.value * decay(age, self.half_life)
    }
}

/// Returns the weight, from 0 to 1, that remains at the given age.
pub fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
