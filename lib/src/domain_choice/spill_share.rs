//! The share of a VM's requests that may leave its failure domain.

use std::time::Duration;
use std::time::Instant;

/// Largest change of the share in a second, upwards and downwards. Waves of demand must not reverse
/// the share within seconds, and requests return faster than they leave, because the other domain may be
/// filling up.
const RISE_PER_S: f64 = 0.25;
const FALL_PER_S: f64 = 0.5;
/// Longest time without a change that allows a rise. A VM that was without requests knows nothing of
/// what the others did meanwhile.
const MAX_RISE_TIME: Duration = Duration::from_secs(1);

/// A share that moves at a limited rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpillShare {
    value: f64,
    changed: Option<Instant>,
}

impl SpillShare {
    /// Moves the share towards `wanted`.
    pub fn follow(&mut self, now: Instant, wanted: f64) {
        let passed = self
            .changed
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let rise = RISE_PER_S * passed.min(MAX_RISE_TIME).as_secs_f64();
        let fall = FALL_PER_S * passed.as_secs_f64();
        let next = wanted.clamp(self.value - fall, self.value + rise);
        self.value = next.clamp(0.0, 1.0);
        self.changed = Some(now);
    }

    /// Returns the share, from 0 to 1.
    pub fn get(&self) -> f64 {
        self.value
    }
}
