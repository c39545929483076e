//! What a request does next that has asked around and found no ideal target.

use std::time::Duration;
use std::time::Instant;

/// Pause between two searches while no target has room.
pub const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// Until when a request may wait, and when its response has to be there.
#[derive(Clone, Copy, Debug)]
pub struct SearchDeadlines {
    /// Until when it may wait for a target with room.
    pub wait_end: Instant,
    /// Until when the response is worth most.
    pub soft_deadline: Instant,
    /// Until when the response is worth anything.
    pub deadline: Instant,
}

/// The best target that is known.
#[derive(Clone, Copy, Debug)]
pub struct BestTarget {
    /// How many requests are ahead there beyond the free slots.
    pub ahead: f64,
    /// How long the request is expected to take there.
    pub expected: Duration,
}

/// What the request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// It goes to the best target.
    Take,
    /// It looks around again after [`SEARCH_PAUSE`].
    Wait,
    /// It is refused.
    Refuse,
}

impl SearchStep {
    /// Decides. A request never waits inside a target: it cannot be taken back from there, and some
    /// targets never answer what they cannot queue. A target that is too slow for the response to be
    /// worth most is taken only when there is no time left to find another one.
    pub fn decide(now: Instant, times: SearchDeadlines, best: BestTarget) -> Self {
        let last = now + SEARCH_PAUSE >= times.wait_end;
        let end = if last {
            times.deadline
        } else {
            times.soft_deadline
        };
        if best.ahead <= 0.0 && now + best.expected <= end {
            Self::Take
        } else if last {
            Self::Refuse
        } else {
            Self::Wait
        }
    }
}
