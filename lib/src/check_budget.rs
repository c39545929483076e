//! One VM's part of the health checks that all VMs may send together.
//!
//! A part of the common budget is divided equally among the VMs. The rest comes with the requests:
//! each one brings as many checks as the budget of its service has for a request. The number of
//! requests that all VMs have is not known to any of them, but it follows from how busy the targets
//! are. So a VM that gets more requests than others may ask more, and no message is needed for it.

use std::time::Duration;
use std::time::Instant;

/// Seconds of unused budget that are kept for a burst.
const SAVED: f64 = 3.0;
/// Part of the common budget that is divided equally. The sum with the next one is below 1 because
/// of VMs that are not known yet, and because the load of targets is not known exactly.
const DIVIDED: f64 = 0.5;
/// Part of the common budget that comes with requests.
const WITH_REQUESTS: f64 = 0.4;
/// The most checks that one request brings: a look around asks no more targets.
const MOST_PER_REQUEST: f64 = 16.0;
/// Part of the slots in use from which requests bring fewer checks. Where few targets have room, more
/// checks find little, and each one at a target without an open connection opens one.
const CROWDED: f64 = 0.5;

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
        DIVIDED * per_target * targets as f64 / vms.max(1) as f64
    }

    /// Returns how many checks a request brings. Targets that hold `held` requests each, for the time
    /// `took`, serve `held / took` of them a second (Little's law), and each target may get
    /// `per_target` checks a second. `full` is the part of the slots in use.
    pub fn per_request(per_target: f64, held: f64, took: Duration, full: f64) -> f64 {
        let fruitful = ((1.0 - full) / (1.0 - CROWDED)).clamp(0.0, 1.0);
        let served = held / took.as_secs_f64().max(f64::EPSILON);
        let checks = WITH_REQUESTS * per_target / served.max(f64::EPSILON);
        checks.min(MOST_PER_REQUEST) * fruitful
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    /// Adds what a request brings.
    pub fn deposit(&mut self, now: Instant, checks: f64) {
        self.refill(now);
        self.tokens += checks;
    }

    /// Returns whether less than half of what is kept for a burst is left.
    pub fn is_low(&mut self, now: Instant) -> bool {
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
