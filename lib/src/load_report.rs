//! What a target says of its load.

use serde::Serialize;

/// What a target says of its load at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Requests that the target works on.
    pub running: u32,
    /// Requests that wait inside the target.
    pub waiting: u32,
    /// How many requests the target works on at the same time.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual time. Neighbours on the same
    /// machine change it many times a second.
    pub pace: u32,
}

impl LoadReport {
    /// Returns whether a request would start at once and find the target's whole machine.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting == 0
    }

    /// Returns whether a request would start at once.
    pub fn has_room(&self) -> bool {
        self.waiting == 0 && self.running < self.slots
    }
}
