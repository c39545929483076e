//! Decides which requests a fault hits.

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

/// Hits the next `next` requests and then a random share of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trigger {
    /// How many of the next requests are certain to be hit.
    pub next: u64,
    /// The probability that any other request is hit, from 0 to 1.
    pub rate: f64,
}

impl Trigger {
    /// Hits no request.
    pub const NEVER: Self = Self { next: 0, rate: 0.0 };

    /// Hits every request.
    pub const ALWAYS: Self = Self { next: 0, rate: 1.0 };

    /// Hits the next `count` requests only.
    pub const fn next(count: u64) -> Self {
        Self {
            next: count,
            rate: 0.0,
        }
    }

    /// Hits each request with the probability `rate`.
    pub const fn rate(rate: f64) -> Self {
        Self { next: 0, rate }
    }

    /// Decides whether the fault hits the current request.
    pub fn fires(&mut self, random: &mut impl Rng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.rate > 0.0 && random.random::<f64>() < self.rate
    }
}
