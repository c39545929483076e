//! The heartbeats that VMs send each other.

use serde::Deserialize;
use serde::Serialize;

use crate::leaving_targets::LeavingTarget;
use crate::offset::Offset;
use crate::peer_load::PeerLoad;
use crate::service_id::ServiceId;
use crate::vm_id::VmId;

/// Maximum number of leaving targets, and of loads, in one heartbeat. Longer lists are rotated over
/// several heartbeats. With 32 entries, heartbeats alone took 18 of the 21 KB/s that a VM's control
/// plane may use.
pub const MAX_ENTRIES: usize = 8;

/// A VM's heartbeat, with small status updates that would otherwise need messages of their own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: VmId,
    /// The offset of the record that the sender applies next.
    pub applied: Offset,
    /// Leaving targets that sent a drain signal themselves.
    pub leaving: Vec<LeavingTarget>,
    /// The load of the services for which the sender is a home.
    pub loads: Vec<(ServiceId, PeerLoad)>,
}

/// Returns the part of a list that the heartbeat of the given round carries.
pub fn rotate<T: Clone>(items: &[T], round: u64) -> Vec<T> {
    if items.len() <= MAX_ENTRIES {
        return items.to_vec();
    }
    let parts = items.len().div_ceil(MAX_ENTRIES) as u64;
    let start = usize::try_from(round % parts).unwrap_or(0) * MAX_ENTRIES;
    items[start..items.len().min(start + MAX_ENTRIES)].to_vec()
}
