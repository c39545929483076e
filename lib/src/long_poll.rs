//! How long a read of the store waits for something new, and when it is given up.

use std::time::Duration;

/// How long a read waits at the store. A change has to be in force within 2 s. Only an answer
/// proves that the store still serves the connection, and a slow store may look for records before
/// it takes a read into account, so that only the next read finds what came between.
const WAIT: Duration = Duration::from_millis(800);
/// How much later than asked an answer may come at least, and at most, before the read is given up.
const LEAST_SLACK: Duration = Duration::from_millis(300);
const MOST_SLACK: Duration = Duration::from_secs(1);
/// How much longer than the last answer without a wait the next answer may take.
const SLACK_FACTOR: u32 = 3;

/// The wait of reads.
#[derive(Clone, Copy, Debug)]
pub struct LongPoll {
    slack: Duration,
}

impl Default for LongPoll {
    fn default() -> Self {
        Self { slack: LEAST_SLACK }
    }
}

impl LongPoll {
    /// Builds the wait of reads at a store that took `time` for an answer without a wait.
    pub fn from_latency(time: Duration) -> Self {
        let slack = (time * SLACK_FACTOR).clamp(LEAST_SLACK, MOST_SLACK);
        Self { slack }
    }

    /// Returns the wait of a read.
    pub fn wait(self) -> Duration {
        WAIT
    }

    /// Returns how much later the answer may come.
    pub fn slack(self) -> Duration {
        self.slack
    }
}
