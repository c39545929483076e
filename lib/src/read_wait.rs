//! How long a read of the store waits for something new.

use std::time::Duration;

/// The wait while the store is quick and nothing changes. A longer wait costs fewer calls.
const LONG: Duration = Duration::from_secs(20);
/// The wait right after a change, or while the store is slow. A slow store may look for records
/// before it takes the read into account and miss what comes between; the next read finds it.
const SHORT: Duration = Duration::from_secs(1);
/// A read that takes this much longer than it was asked to wait shows that the store is slow.
const SLOW: Duration = Duration::from_millis(60);

/// Chooses the wait of each read from how the last one went.
#[derive(Clone, Copy, Debug)]
pub struct ReadWait(Duration);

impl Default for ReadWait {
    fn default() -> Self {
        Self(SHORT)
    }
}

impl ReadWait {
    /// Returns the wait of the next read.
    pub fn get(self) -> Duration {
        self.0
    }

    /// Takes in that a read brought nothing and took `time`.
    pub fn was_empty(&mut self, time: Duration) {
        let late = time.saturating_sub(self.0);
        self.0 = if late > SLOW { SHORT } else { LONG };
    }

    /// Takes in that a read brought records, or failed.
    pub fn was_eventful(&mut self) {
        self.0 = SHORT;
    }
}
