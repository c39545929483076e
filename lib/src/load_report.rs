//! The load that a target reports.

use serde::Serialize;

/// A target's load at one moment, as the target reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Requests that the target is working on.
    pub running: u32,
    /// Requests in the target's own queue.
    pub waiting: u32,
    /// How many requests the target can work on at the same time.
    pub slots: u32,
    /// The current duration of a piece of work, in percent of the usual one. Other processes on the
    /// same machine change it many times a second.
    pub pace: u32,
}

impl LoadReport {
    /// Returns whether the target has no requests, so that a new one would start at once and have
    /// the target to itself.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting == 0
    }

    /// Returns whether a request would start at once.
    pub fn has_room(&self) -> bool {
        self.waiting == 0 && self.running < self.slots
    }
}
