//! Exponential backoff between attempts.

use std::time::Duration;

/// Delays that double with each failure in a row, from `first` up to `max`.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose delays start at `first` and never exceed `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self {
            first,
            max,
            failures: 0,
        }
    }

    /// Counts a failure and returns the delay before the next attempt.
    pub fn failed(&mut self) -> Duration {
        let factor = 1u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_add(1);
        self.first.saturating_mul(factor).min(self.max)
    }

    /// Resets the delay to `first`.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
