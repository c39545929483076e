//! What the VMs of one group together send to a cold target.

use std::fmt;

use serde::Serialize;

use crate::request_rate::RequestRate;

/// The number of groups among which the bound is divided: while VMs have two lists of VMs, there are
/// two groups.
const GROUPS: f64 = 2.0;

/// What the VMs of one group together send to a cold target: half of what the bound allows.
///
/// In any second a group sends at most one second of `rate`, and `saved` requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ColdLimit {
    /// Requests per second.
    rate: f64,
    /// Requests that the members may have saved.
    saved: f64,
}

impl ColdLimit {
    /// Divides the bound of a target that takes `rate` while it is cold: in any second at most
    /// `rate` x `over` + `slack` requests, all VMs together.
    pub fn new(rate: RequestRate, over: f64, slack: f64) -> Self {
        Self {
            rate: rate.per_second() * (over / GROUPS).clamp(0.0, 1.0),
            saved: (slack / GROUPS).max(0.0),
        }
    }

    /// Returns the requests per second that the group sends.
    pub fn rate(self) -> f64 {
        self.rate
    }

    /// Returns the requests that the members together may have saved.
    pub fn saved(self) -> f64 {
        self.saved
    }

    /// Returns the number of members, of `vms` VMs: each of them can save one request. With less
    /// than one request to save, no VM could ever send one, so that there is always one member.
    pub fn members(self, vms: usize) -> usize {
        (self.saved as usize).clamp(1, vms.max(1))
    }
}

impl fmt::Display for ColdLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}/s and {:.1} saved", self.rate, self.saved)
    }
}
