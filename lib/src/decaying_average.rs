//! A value that loses weight with its age.

use std::time::Duration;
use std::time::Instant;

/// An average of observations that fades to zero while nothing is observed.
#[derive(Clone, Copy, Debug)]
pub struct DecayingAverage {
    value: f64,
    at: Option<Instant>,
    half_life: Duration,
    /// Weight of a new observation, from 0 to 1.
    weight: f64,
}

impl DecayingAverage {
    /// Makes an average of nothing.
    pub fn new(half_life: Duration, weight: f64) -> Self {
        Self {
            value: 0.0,
            at: None,
            half_life,
            weight,
        }
    }

    /// Takes in an observation.
    pub fn observe(&mut self, now: Instant, value: f64) {
        let past = self.get(now);
        self.value = past + self.weight * (value - past);
        self.at = Some(now);
    }

    /// Returns the value at a moment.
    pub fn get(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        self.value * decay(age, self.half_life)
    }
}

/// Returns the weight, from 0 to 1, that is left at an age.
pub fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
