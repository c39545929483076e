//! When refused callers may return.

use std::time::Duration;
use std::time::Instant;

/// The longest time after which a caller is asked to return. Callers with deadlines of 6 s or more
/// can still use a response after it.
const MAX_RETURN: Duration = Duration::from_secs(4);
/// The shortest time after which a caller is asked to return.
const MIN_RETURN: Duration = Duration::from_millis(50);

/// Gives each refused caller a time of its own, as far apart as the queue needs for one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnTimes {
    /// When the last of the refused callers returns.
    last: Option<Instant>,
}

impl ReturnTimes {
    /// Returns the time after which a caller may return, if the queue needs `backlog` for the
    /// requests that wait and `step` for one request. Times that would be too late start over.
    pub fn next(&mut self, now: Instant, backlog: Duration, step: Duration) -> Duration {
        let latest = now + MAX_RETURN;
        let own = now + backlog.clamp(MIN_RETURN, MAX_RETURN);
        let behind = self.last.and_then(|last| last.checked_add(step));
        let at = behind.filter(|at| *at <= latest).unwrap_or(own).max(own);
        self.last = Some(at);
        at.saturating_duration_since(now)
    }
}
