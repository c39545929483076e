//! The timing of reads that wait at the store for new records (long polls).

use std::time::Duration;

/// How long the store may hold a read without new records. A change must be in force within 2 s,
/// and only a response proves that the store still serves the connection. A slow store may also
/// look up records before it registers a waiting read, so that only the next read finds what was
/// written in between.
const HOLD: Duration = Duration::from_millis(800);
/// The minimum and the maximum time by which a response may exceed the wait before the read times
/// out.
const MIN_SLACK: Duration = Duration::from_millis(300);
const MAX_SLACK: Duration = Duration::from_millis(500);
/// The slack as a multiple of the time of the last response without a wait.
const SLACK_FACTOR: u32 = 3;

/// How long reads wait at the store, and how long after that a response may come.
#[derive(Clone, Copy, Debug)]
pub struct LongPoll {
    slack: Duration,
}

impl Default for LongPoll {
    fn default() -> Self {
        Self { slack: MIN_SLACK }
    }
}

impl LongPoll {
    /// Derives the timing from the time that the store took for a response without a wait.
    pub fn from_latency(latency: Duration) -> Self {
        let slack = (latency * SLACK_FACTOR).clamp(MIN_SLACK, MAX_SLACK);
        Self { slack }
    }

    /// Records that the store answered a read without new records `time` after it was sent, which
    /// waited for `wait`.
    pub fn observe(&mut self, time: Duration, wait: Duration) {
        if let Some(latency) = time.checked_sub(wait) {
            *self = Self::from_latency(latency);
        }
    }

    /// Returns how long a read waits at the store for new records, if the store last confirmed the
    /// known ones `age` ago.
    pub fn wait(self, age: Duration) -> Duration {
        HOLD.saturating_sub(age)
    }

    /// Returns the time after the wait within which the response must arrive.
    pub fn slack(self) -> Duration {
        self.slack
    }
}
