//! A clock that only moves when a test moves it.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use carobshore_lib::prelude::Clock;

/// Wall time at which a manual clock starts, in seconds since the epoch. It is fixed, so that
/// golden files do not change from run to run.
const START_SECONDS: u64 = 1_800_000_000;

/// A clock that starts at a fixed wall time and stands still until it is advanced.
#[derive(Debug)]
pub struct ManualClock {
    now: Cell<Instant>,
    wall: Cell<SystemTime>,
}

impl Default for ManualClock {
    fn default() -> Self {
        let wall = UNIX_EPOCH + Duration::from_secs(START_SECONDS);
        Self {
            now: Cell::new(Instant::now()),
            wall: Cell::new(wall),
        }
    }
}

impl ManualClock {
    /// Moves monotonic and wall time forward.
    pub fn advance(&self, by: Duration) {
        self.now.set(self.now.get() + by);
        self.wall.set(self.wall.get() + by);
    }

    /// Steps wall time only, as a clock correction does.
    pub fn step_wall(&self, to: SystemTime) {
        self.wall.set(to);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.now.get()
    }

    fn wall(&self) -> SystemTime {
        self.wall.get()
    }
}
