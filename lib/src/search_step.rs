//! What a request does next that has asked around and found no ideal target.

use std::time::Duration;
use std::time::Instant;

/// Pause between two searches while no target has room.
pub const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// Until when a request may wait, and when its response has to be there.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Until when it may wait for a target with room.
    pub patience: Instant,
    /// Until when the response is worth most.
    pub aim: Instant,
    /// Until when the response is worth anything.
    pub limit: Instant,
}

/// The best target that is known.
#[derive(Clone, Copy, Debug)]
pub struct Best {
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
    pub fn decide(now: Instant, times: Times, best: Best) -> Self {
        let last = now + SEARCH_PAUSE >= times.patience;
        let end = if last { times.limit } else { times.aim };
        if best.ahead <= 0.0 && now + best.expected <= end {
            Self::Take
        } else if last {
            Self::Refuse
        } else {
            Self::Wait
        }
    }
}
