//! Limits the number of log lines per second.

use std::time::Duration;
use std::time::Instant;

/// The time window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts the lines of the present window, and the suppressed lines since the last one written.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    max_lines: u32,
    window_start: Instant,
    written: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Allows `max_lines` lines per second.
    pub fn new(now: Instant, max_lines: u32) -> Self {
        Self {
            max_lines,
            window_start: now,
            written: 0,
            suppressed: 0,
        }
    }

    /// Asks to write one line. Returns the number of lines suppressed since the last one written,
    /// or `None` if this one must be suppressed too.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        if now >= self.window_start + WINDOW {
            self.window_start = now;
            self.written = 0;
        }
        if self.written >= self.max_lines {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
