//! A VM's share of the target time that measuring a service may take.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::target_time::TargetTime;
use crate::window_limiter::ChargeId;
use crate::window_limiter::WindowLimiter;

/// How long a superseded share still limits the VM.
///
/// A VM that has not read the newest record may go on for 10 s, the length of its read lease; 5%
/// more allow for different clock rates. The window of the budget is another second.
pub const TRANSITION: Duration = Duration::from_millis(11_500);

/// Limits probes so that the sum over all VMs stays within the budget in any window of one second.
///
/// A VM probes only while its read lease holds, and with the smallest of the shares that it had
/// within the last `TRANSITION`; a VM that was no home had a share of 0. Take the VM with the
/// oldest set of homes among those that probe within one second. Its lease shows that the next set
/// was appended less than 10 s before, so that all others still count the oldest set among theirs.
/// The shares of one set add up to the budget. This needs every set to be passed to `set_share`,
/// also when several were read at once.
#[derive(Clone, Debug, Default)]
pub struct MeasuringBudget {
    share: Duration,
    superseded: VecDeque<(Instant, Duration)>,
    lease: Option<Instant>,
    window: WindowLimiter,
}

impl MeasuringBudget {
    /// Takes over the share that follows from a new set of homes or a new budget. `sharers` is 0
    /// when this VM has no share.
    pub fn set_share(&mut self, now: Instant, budget: TargetTime, sharers: u32) {
        let share = budget.per_second().checked_div(sharers).unwrap_or_default();
        if share != self.share {
            self.superseded.push_back((now + TRANSITION, self.share));
            self.share = share;
        }
    }

    /// Notes until when the VM knows the newest set of homes.
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
        let old = self.superseded.iter().map(|(_, share)| *share).min();
        old.map_or(self.share, |old| old.min(self.share))
    }

    /// Takes target time for a probe, between `least` and `most`, or returns `None` when the probe
    /// has to wait. A probe that is not over after the time it got has to be cancelled: a straggler
    /// would otherwise work on it for longer than the budget allows.
    pub fn charge(
        &mut self,
        now: Instant,
        least: Duration,
        most: Duration,
    ) -> Option<(ChargeId, Duration)> {
        let limit = self.limit(now);
        self.window.charge_up_to(now, limit, least, most)
    }

    /// Notes that the probe ended after `used`.
    pub fn settle(&mut self, now: Instant, charge: ChargeId, used: Duration) {
        self.window.settle_used(now, charge, used);
    }

    /// Returns this VM's share of the budget, per second.
    pub fn share(&self) -> Duration {
        self.share
    }

    /// Returns whether this VM has a share, so that it may probe at some time.
    pub fn has_share(&self) -> bool {
        !self.share.is_zero()
    }

    /// Returns the target time that is in use.
    pub fn held(&mut self, now: Instant) -> Duration {
        self.window.held(now)
    }

    /// Returns the budget's state for the dump.
    pub fn dump(&self, now: Instant) -> serde_json::Value {
        serde_json::json!({
            "share_us": u64::try_from(self.share.as_micros()).unwrap_or(u64::MAX),
            "old_shares": self.superseded.len(),
            "lease": self.lease.is_some_and(|until| until > now),
        })
    }
}
