//! A VM's share of the target time that measuring a service may take.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::target_time::TargetTime;
use crate::window_limiter::ChargeId;
use crate::window_limiter::WindowLimiter;

/// How long a superseded share still limits the VM.
///
/// A VM that has not read the newest record may continue for 10 s, the length of its read lease; 5%
/// more allow for different clock rates. The window of the budget adds another second.
pub const TRANSITION: Duration = Duration::from_millis(11_500);

/// Limits probes so that the sum over all VMs stays within the budget in any window of one second.
///
/// A VM probes only while its read lease is valid, and with the smallest of the shares that it had
/// within the last `TRANSITION`; a VM that was not a home had a share of 0. Consider the VM with
/// the oldest set of homes among those that probe within one second. Its lease shows that the next
/// set was appended less than 10 s before, so all other VMs are still limited by the oldest set,
/// too. The shares of one set add up to the budget. This requires that every set is passed to
/// `set_share`, also when several were read at once.
#[derive(Clone, Debug, Default)]
pub struct MeasuringBudget {
    share: Duration,
    superseded: VecDeque<(Instant, Duration)>,
    lease: Option<Instant>,
    window: WindowLimiter,
}

impl MeasuringBudget {
    /// Sets the share that follows from a new set of homes or a new budget. `sharers` is 0 if this
    /// VM has no share.
    pub fn set_share(&mut self, now: Instant, budget: TargetTime, sharers: u32) {
        let share = budget.per_second().checked_div(sharers).unwrap_or_default();
        if share != self.share {
            self.superseded.push_back((now + TRANSITION, self.share));
            self.share = share;
        }
    }

    /// Sets the time until which the VM is known to have the newest set of homes.
    pub fn set_lease(&mut self, until: Instant) {
        self.lease = self.lease.max(Some(until));
    }

    /// Returns the target time that the VM may use within one second.
    pub fn limit(&mut self, now: Instant) -> Duration {
        while self.superseded.front().is_some_and(|(end, _)| *end <= now) {
            self.superseded.pop_front();
        }
        if self.lease.is_none_or(|until| until <= now) {
            return Duration::ZERO;
        }
        let min_old = self.superseded.iter().map(|(_, share)| *share).min();
        min_old.map_or(self.share, |old| old.min(self.share))
    }

    /// Acquires target time for a probe, between `min` and `max`, or returns `None` if the probe
    /// has to wait. A probe that has not finished within the granted time has to be cancelled:
    /// otherwise a straggler would work on it for longer than the budget allows.
    pub fn charge(
        &mut self,
        now: Instant,
        min: Duration,
        max: Duration,
    ) -> Option<(ChargeId, Duration)> {
        let limit = self.limit(now);
        self.window.charge_up_to(now, limit, min, max)
    }

    /// Records that the probe ended after `used`.
    pub fn settle(&mut self, now: Instant, charge: ChargeId, used: Duration) {
        self.window.settle_used(now, charge, used);
    }

    /// Returns this VM's share of the budget, per second.
    pub fn share(&self) -> Duration {
        self.share
    }

    /// Returns whether this VM has a share and may probe at all.
    pub fn has_share(&self) -> bool {
        !self.share.is_zero()
    }

    /// Returns the target time in use.
    pub fn held(&mut self, now: Instant) -> Duration {
        self.window.held(now)
    }

    /// Returns the state of the budget for the state dump.
    pub fn dump(&self, now: Instant) -> serde_json::Value {
        serde_json::json!({
            "share_us": u64::try_from(self.share.as_micros()).unwrap_or(u64::MAX),
            "old_shares": self.superseded.len(),
            "lease": self.lease.is_some_and(|until| until > now),
        })
    }
}
