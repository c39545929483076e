//! One VM's share of the health checks that all VMs may send together.

use std::time::Duration;
use std::time::Instant;

/// Seconds of unused budget that are kept for a burst.
const SAVED: f64 = 3.0;
/// Part of the common budget that is shared out; the rest is for VMs that are not known yet.
const SHARED_OUT: f64 = 0.7;

/// A token bucket of health checks.
#[derive(Clone, Debug)]
pub struct CheckBudget {
    tokens: f64,
    per_second: f64,
    at: Instant,
}

impl CheckBudget {
    /// Starts with a full bucket for `per_second` checks a second.
    pub fn new(now: Instant, per_second: f64) -> Self {
        Self {
            tokens: per_second * SAVED,
            per_second,
            at: now,
        }
    }

    /// Returns the share of one of `vms` VMs in the checks of `targets` targets, each of which
    /// may get `per_target` checks a second.
    pub fn share(per_target: f64, targets: usize, vms: usize) -> f64 {
        SHARED_OUT * per_target * targets as f64 / vms.max(1) as f64
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    /// Returns whether less than half of a full bucket is left.
    pub fn is_short(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens < self.per_second * SAVED / 2.0
    }

    /// Takes a check from the budget. Returns false when it is spent.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    fn refill(&mut self, now: Instant) {
        let passed: Duration = now.saturating_duration_since(self.at);
        self.at = now;
        let most = self.per_second * SAVED;
        self.tokens = (self.tokens + passed.as_secs_f64() * self.per_second).min(most);
    }
}
