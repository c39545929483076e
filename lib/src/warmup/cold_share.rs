//! One VM's part of what a group sends to a cold target.

use serde::Serialize;

use crate::limit_share;
use crate::target_id::TargetId;
use crate::vm_roster::VmRoster;
use crate::warmup::cold_limit::ColdLimit;

/// One VM's part of what a group sends to a cold target; nothing for a VM outside the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ColdShare {
    /// Requests per second.
    pub rate: f64,
    /// Requests that the VM may have saved.
    pub burst: f64,
}

impl ColdShare {
    /// Returns the part of the VM `me`. One that others may not know of yet (`is_new`) has none,
    /// because the others divide the whole limit among themselves. Neither has a VM that is not on
    /// its own list, or that has no list.
    pub fn new(
        roster: &VmRoster,
        me: &str,
        is_new: bool,
        target: &TargetId,
        limit: ColdLimit,
    ) -> Self {
        let members = limit.members(roster.len().unwrap_or(0));
        let group = limit_share::first_of_group(roster, target, members);
        if is_new || !group.iter().any(|vm| *vm.name == *me) {
            return Self::default();
        }
        Self {
            rate: limit.rate() / members as f64,
            burst: limit.saved() / members as f64,
        }
    }
}
