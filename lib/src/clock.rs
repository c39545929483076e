//! A clock interface, through which tests and the fault matrix control time.

use std::time::Instant;
use std::time::SystemTime;

/// A source of monotonic time and wall-clock time.
pub trait Clock {
    /// Returns monotonic time, on which all durations and deadlines are based.
    fn now(&self) -> Instant;

    /// Returns wall-clock time, which may step. It is only used to determine the age of request
    /// keys.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
