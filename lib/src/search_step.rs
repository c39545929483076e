//! The next step of a request whose search for a target found no ideal one.

use std::time::Duration;
use std::time::Instant;

/// Pause between two searches while no target is good enough.
pub const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// Until when a request may wait for a target, and when its response is due.
#[derive(Clone, Copy, Debug)]
pub struct SearchDeadlines {
    /// Until when the request may wait for a target with a free slot.
    pub wait_end: Instant,
    /// Until when the response has its full value.
    pub soft_deadline: Instant,
    /// Until when the response has any value.
    pub deadline: Instant,
}

/// The best known target for a request.
#[derive(Clone, Copy, Debug)]
pub struct BestTarget {
    /// How many requests would be queued ahead of this one; 0 or less if a slot is free.
    pub ahead: f64,
    /// The expected duration of the request on the target.
    pub expected: Duration,
}

/// The next step of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Send the request to the best target.
    Take,
    /// Search again after [`SEARCH_PAUSE`].
    Wait,
    /// Refuse the request.
    Refuse,
}

impl SearchStep {
    /// Decides on the next step. A request never waits in a target's queue: it cannot be withdrawn
    /// from there, and some targets never answer a request that they cannot queue. A target on
    /// which the response would miss its soft deadline is used only when there is no time left to
    /// find another one.
    pub fn decide(now: Instant, deadlines: SearchDeadlines, best: BestTarget) -> Self {
        let last = now + SEARCH_PAUSE >= deadlines.wait_end;
        let due = if last {
            deadlines.deadline
        } else {
            deadlines.soft_deadline
        };
        if best.ahead <= 0.0 && now + best.expected <= due {
            Self::Take
        } else if last {
            Self::Refuse
        } else {
            Self::Wait
        }
    }
}
