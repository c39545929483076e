//! Bounds how many log lines are written in a second.

use std::time::Duration;
use std::time::Instant;

/// The time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts lines, and those that are left out.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    most: u32,
    since: Instant,
    written: u32,
    left_out: u64,
}

impl LogRateLimiter {
    /// Allows `most` lines a second.
    pub fn new(now: Instant, most: u32) -> Self {
        Self {
            most,
            since: now,
            written: 0,
            left_out: 0,
        }
    }

    /// Takes a line from the budget. Returns how many lines were left out since the last one, or
    /// nothing if this one is left out too.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        if now >= self.since + WINDOW {
            self.since = now;
            self.written = 0;
        }
        if self.written >= self.most {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
