//! Exponential delays between attempts to do something again.

use std::time::Duration;

/// Delays that double from `first` up to `most` while something keeps failing.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates delays that start at `first` and never exceed `most`.
    pub fn new(first: Duration, most: Duration) -> Self {
        Self {
            first,
            most,
            failures: 0,
        }
    }

    /// Counts a failure and returns how long to wait before the next attempt.
    pub fn failed(&mut self) -> Duration {
        let factor = 1u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_add(1);
        self.first.saturating_mul(factor).min(self.most)
    }

    /// Starts again at the first delay.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
