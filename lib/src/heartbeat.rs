//! The message by which VMs tell each other that they are alive.

use serde::Deserialize;
use serde::Serialize;

use crate::leaving_targets::LeavingTarget;
use crate::offset::Offset;
use crate::peer_load::PeerLoad;
use crate::service_id::ServiceId;
use crate::vm_id::VmId;

/// The most leaving targets and the most loads in one heartbeat. Senders rotate longer lists. With
/// 32 entries, heartbeats alone took 18 of the 21 KB/s that a VM's control plane may use.
pub const MAX_ENTRIES: usize = 8;

/// A VM's sign of life, with the small facts that would otherwise need their own messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: VmId,
    /// The offset of the record that the sender applies next.
    pub applied: Offset,
    /// Targets that leave by their own signal.
    pub leaving: Vec<LeavingTarget>,
    /// The load of the services of which the sender is a home.
    pub loads: Vec<(ServiceId, PeerLoad)>,
}

/// Returns the part of a list that the heartbeat of the given number carries.
pub fn rotate<T: Clone>(items: &[T], round: u64) -> Vec<T> {
    if items.len() <= MAX_ENTRIES {
        return items.to_vec();
    }
    let rounds = items.len().div_ceil(MAX_ENTRIES) as u64;
    let start = usize::try_from(round % rounds).unwrap_or(0) * MAX_ENTRIES;
    items[start..items.len().min(start + MAX_ENTRIES)].to_vec()
}
