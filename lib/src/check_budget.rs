//! One VM's share of the health checks that all VMs may send together.
//!
//! One part of the common budget is divided equally among the VMs. Another part comes with
//! requests: each request adds as many checks as the budget of its service allows per request. No
//! VM knows the number of requests of all VMs, but it follows from how busy the targets are. A VM
//! that gets more requests than others may therefore send more checks, without any message between
//! VMs.

use std::time::Duration;
use std::time::Instant;

/// Seconds of unused budget that are saved for a burst.
const BURST_SECONDS: f64 = 3.0;
/// Fraction of the common budget that is divided equally. The sum with [`REQUEST_SHARE`] is below 1
/// because some VMs may not be known yet, and because the load of targets is not known exactly.
const EQUAL_SHARE: f64 = 0.5;
/// Fraction of the common budget that comes with requests.
const REQUEST_SHARE: f64 = 0.4;
/// Maximum number of checks that one request adds: a search for a target checks no more than this.
const MAX_PER_REQUEST: f64 = 16.0;
/// Fraction of slots in use above which requests add fewer checks. When few targets have free
/// slots, more checks find little, and each check of a target without an open connection opens one.
const HIGH_UTILIZATION: f64 = 0.5;

/// A token bucket of health checks.
#[derive(Clone, Debug)]
pub struct CheckBudget {
    tokens: f64,
    per_second: f64,
    last_refill: Instant,
}

impl CheckBudget {
    /// Creates a full bucket for `per_second` checks per second.
    pub fn new(now: Instant, per_second: f64) -> Self {
        Self {
            tokens: per_second * BURST_SECONDS,
            per_second,
            last_refill: now,
        }
    }

    /// Returns the checks per second that one of `vms` VMs gets from the equally divided part, for
    /// `targets` targets that may each get `per_target` checks per second.
    pub fn share(per_target: f64, targets: usize, vms: usize) -> f64 {
        EQUAL_SHARE * per_target * targets as f64 / vms.max(1) as f64
    }

    /// Returns how many checks a request adds. Targets with `in_flight` requests each, which take
    /// `latency`, serve `in_flight / latency` requests per second (Little's law), and each target
    /// may get `per_target` checks per second. `utilization` is the fraction of slots in use.
    pub fn per_request(
        per_target: f64,
        in_flight: f64,
        latency: Duration,
        utilization: f64,
    ) -> f64 {
        let scale = ((1.0 - utilization) / (1.0 - HIGH_UTILIZATION)).clamp(0.0, 1.0);
        let served = in_flight / latency.as_secs_f64().max(f64::EPSILON);
        let checks = REQUEST_SHARE * per_target / served.max(f64::EPSILON);
        checks.min(MAX_PER_REQUEST) * scale
    }

    /// Sets the rate, in checks per second.
    pub fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    /// Adds the checks that a request brings.
    pub fn deposit(&mut self, now: Instant, checks: f64) {
        self.refill(now);
        self.tokens += checks;
    }

    /// Returns whether less than half of the burst capacity is left.
    pub fn is_low(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens < self.per_second * BURST_SECONDS / 2.0
    }

    /// Takes one check from the budget. Returns false if it is used up.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    fn refill(&mut self, now: Instant) {
        let elapsed: Duration = now.saturating_duration_since(self.last_refill);
        self.last_refill = now;
        let capacity = self.per_second * BURST_SECONDS;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(capacity);
    }
}
