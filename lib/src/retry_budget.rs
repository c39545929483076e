//! How many requests may be tried again.

use std::time::Duration;
use std::time::Instant;

/// Retries allowed per first attempt.
const SHARE: f64 = 0.03;
/// Retries allowed per second however few first attempts there are.
const FLOOR_PER_SECOND: f64 = 1.0;
/// Largest number of saved retries. A failure after a quiet time must not release a burst.
const CAPACITY: f64 = 30.0;

/// Limits retries to a share of the first attempts, with a floor.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled: Instant,
}

impl RetryBudget {
    /// Makes a budget that allows one retry at once.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: FLOOR_PER_SECOND,
            refilled: now,
        }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.add(SHARE);
    }

    /// Takes one retry from the budget. Returns false when it is spent.
    pub fn retry(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the retries that are possible at once.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Lifts the level to the floor's refill; the floor does not add to the share.
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled);
        if self.tokens >= FLOOR_PER_SECOND {
            self.refilled = now;
        } else if passed >= Duration::from_secs(1) {
            self.tokens = FLOOR_PER_SECOND;
            self.refilled = now;
        }
    }

    fn add(&mut self, amount: f64) {
        self.tokens = (self.tokens + amount).min(CAPACITY);
    }
}
