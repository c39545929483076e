//! How long a read of the store waits for something new.

use std::time::Duration;

/// The wait while the store is quick and nothing changes. A longer wait costs fewer calls.
const LONG: Duration = Duration::from_secs(20);
/// The wait right after a change, or while the store is slow. A slow store may look for records
/// before it takes the read into account and miss what comes between; the next read finds it.
const SHORT: Duration = Duration::from_secs(1);
/// The wait of a VM on which others rely. Only an answer proves that the store still serves it.
const RELIED_ON: Duration = Duration::from_millis(800);
/// A read that takes this much longer than it was asked to wait shows that the store is slow.
const SLOW: Duration = Duration::from_millis(60);
/// How much later than asked an answer may come before the read is given up.
const SLACK: Duration = Duration::from_secs(3);
/// The same where others rely on the VM: changes have to reach them within 2 s all the same.
const RELIED_ON_SLACK: Duration = Duration::from_millis(300);

/// Chooses the wait of each read from how the last one went.
#[derive(Clone, Copy, Debug)]
pub struct ReadWait {
    wait: Duration,
    relied_on: bool,
}

impl Default for ReadWait {
    fn default() -> Self {
        Self::new()
    }
}

impl ReadWait {
    /// Starts with a short wait.
    pub fn new() -> Self {
        Self {
            wait: SHORT,
            relied_on: false,
        }
    }

    /// Notes whether other VMs take changes from this one.
    pub fn set_relied_on(&mut self, relied_on: bool) {
        self.relied_on = relied_on;
    }

    /// Returns the wait of the next read.
    pub fn get(self) -> Duration {
        match self.relied_on {
            true => RELIED_ON,
            false => self.wait,
        }
    }

    /// Returns how much later the answer may come.
    pub fn slack(self) -> Duration {
        match self.relied_on {
            true => RELIED_ON_SLACK,
            false => SLACK,
        }
    }

    /// Takes in that a read brought nothing and took `time`.
    pub fn was_empty(&mut self, time: Duration) {
        let late = time.saturating_sub(self.wait);
        self.wait = if late > SLOW { SHORT } else { LONG };
    }

    /// Takes in that a read brought records, or failed.
    pub fn was_eventful(&mut self) {
        self.wait = SHORT;
    }
}
