//! A budget for retries.

use std::time::Duration;
use std::time::Instant;

/// Retries allowed per first attempt.
const RATIO: f64 = 0.03;
/// Retries allowed per second, even if there are few first attempts.
const MIN_PER_SECOND: f64 = 1.0;
/// Maximum number of saved retries. A failure after a period of few failures must not cause a
/// burst.
const MAX_TOKENS: f64 = 30.0;

/// Limits retries to a share of the first attempts, with a floor.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    last_refill: Instant,
}

impl RetryBudget {
    /// Creates a budget that allows one retry at once.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: MIN_PER_SECOND,
            last_refill: now,
        }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.add(RATIO);
    }

    /// Takes one retry from the budget. Returns false if it is used up.
    pub fn retry(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns how many retries are possible now.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Raises the tokens to the floor once a second. The floor is not added on top of the share.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill);
        if self.tokens >= MIN_PER_SECOND {
            self.last_refill = now;
        } else if elapsed >= Duration::from_secs(1) {
            self.tokens = MIN_PER_SECOND;
            self.last_refill = now;
        }
    }

    fn add(&mut self, amount: f64) {
        self.tokens = (self.tokens + amount).min(MAX_TOKENS);
    }
}
