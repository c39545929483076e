//! The budget of hedges, the second copies of slow idempotent requests.

use std::time::Duration;
use std::time::Instant;

use crate::window_limiter::ChargeId;
use crate::window_limiter::WindowLimiter;

/// Limits the slot time that hedges use. A refused hedge only means a slower response, so no part
/// of the budget is reserved for later.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    permille: u32,
    limit: Duration,
    window: WindowLimiter,
}

impl HedgeBudget {
    /// Creates a budget of the given thousandths of the pool's slot time; with 0 nothing is hedged.
    pub fn new(permille: u32) -> Self {
        Self {
            permille,
            limit: Duration::ZERO,
            window: WindowLimiter::default(),
        }
    }

    /// Sets the number of the pool's slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit = Duration::from_millis(u64::from(self.permille) * u64::from(slots));
    }

    /// Charges the cost of a hedge, or returns `None` when the budget is spent. At least one hedge
    /// always fits, because a pool with few slots would never hedge otherwise.
    pub fn charge(&mut self, now: Instant, cost: Duration) -> Option<ChargeId> {
        if self.permille == 0 {
            return None;
        }
        let limit = self.limit.max(cost);
        self.window.charge(now, limit, cost)
    }

    /// Records that the hedge with this charge ended.
    pub fn settle(&mut self, now: Instant, charge: ChargeId) {
        self.window.settle(now, charge);
    }
}
