//! Second copies of idempotent requests.

use std::time::Duration;
use std::time::Instant;

use crate::charge_window::ChargeId;
use crate::charge_window::ChargeWindow;

/// Limits the slot time that second copies take. A copy that is refused is only a slower response,
/// so no part of the budget is saved for later.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    permille: u32,
    limit: Duration,
    window: ChargeWindow,
}

impl HedgeBudget {
    /// Makes a budget of the given thousandths of the pool's slot time.
    pub fn new(permille: u32) -> Self {
        Self {
            permille,
            limit: Duration::ZERO,
            window: ChargeWindow::default(),
        }
    }

    /// Takes over the number of slots. At least one copy of the given time fits, or a pool with
    /// few slots would never hedge.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit = Duration::from_millis(u64::from(self.permille) * u64::from(slots));
    }

    /// Takes the cost of a second copy, or returns `None` when the budget is spent.
    pub fn charge(&mut self, now: Instant, cost: Duration) -> Option<ChargeId> {
        if self.permille == 0 {
            return None;
        }
        let limit = self.limit.max(cost);
        self.window.charge(now, limit, cost)
    }

    /// Notes that the copy ended.
    pub fn settle(&mut self, now: Instant, charge: ChargeId) {
        self.window.settle(now, charge);
    }
}
