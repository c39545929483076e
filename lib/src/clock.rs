//! Time as an interface, so that tests and the fault matrix decide what time it is.

use std::time::Instant;
use std::time::SystemTime;

/// Where a process reads the time.
pub trait Clock {
    /// Returns monotonic time, on which all durations and deadlines are based.
    fn now(&self) -> Instant;

    /// Returns wall time, which may step. Only the age of request keys is judged by it.
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
