//! How long a read of the store waits for something new, and when it can be relied on.

use std::time::Duration;

/// The wait of a VM that reads for itself. A longer wait costs fewer calls.
const LONG: Duration = Duration::from_secs(20);
/// The wait of a VM on which others rely. Only an answer proves that the store still serves it.
const RELIED_ON: Duration = Duration::from_millis(800);
/// How much later than asked an answer may come before the read is given up.
const SLACK: Duration = Duration::from_secs(3);
/// The same where others rely on the VM: changes have to reach them within 2 s all the same.
const RELIED_ON_SLACK: Duration = Duration::from_millis(300);
/// An answer without a wait that takes longer shows that the store is slow.
const SLOW: Duration = Duration::from_millis(60);

/// Pause before a read that waits is confirmed by one that does not.
///
/// A slow store may look for records before it takes a read into account, and the read misses what
/// comes between. A second read finds it. If that one is quick and finds nothing, the first one was
/// taken into account, and nothing can be missed any more.
pub const CONFIRM_PAUSE: Duration = Duration::from_millis(500);

/// The wait of reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadWait {
    relied_on: bool,
}

impl ReadWait {
    /// Builds the wait of a VM; `relied_on` tells whether others take changes from it.
    pub fn new(relied_on: bool) -> Self {
        Self { relied_on }
    }

    /// Returns the wait of a read.
    pub fn get(self) -> Duration {
        match self.relied_on {
            true => RELIED_ON,
            false => LONG,
        }
    }

    /// Returns how much later the answer may come.
    pub fn slack(self) -> Duration {
        match self.relied_on {
            true => RELIED_ON_SLACK,
            false => SLACK,
        }
    }

    /// Returns whether a read has to be confirmed. The next short one comes soon by itself.
    pub fn needs_confirming(self) -> bool {
        !self.relied_on
    }

    /// Returns whether a read that found nothing in `time`, without a wait, confirms an earlier one.
    pub fn confirms(time: Duration) -> bool {
        time <= SLOW
    }
}
