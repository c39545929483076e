//! Whether a bound was met lately, so that its log has a line for each change and not for each client.

use std::time::Duration;
use std::time::Instant;

/// How long a bound must not have been met until it counts as free again.
const QUIET_TIME: Duration = Duration::from_secs(5);

/// Whether a bound was met lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pressure {
    last: Option<Instant>,
}

impl Pressure {
    /// Records that the bound was met. Returns whether it was free before.
    pub fn met(&mut self, now: Instant) -> bool {
        self.last.replace(now).is_none()
    }

    /// Returns, once, whether the bound is free again.
    pub fn is_over(&mut self, now: Instant) -> bool {
        let over = |last| now.saturating_duration_since(last) >= QUIET_TIME;
        self.last.take_if(|last| over(*last)).is_some()
    }
}
