//! The load report that a home sends to other VMs.

use serde::Deserialize;
use serde::Serialize;

use crate::vm_id::VmId;

/// A home's free slots and queue length for one service at the time of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// The home that sent the report.
    pub vm: VmId,
    /// Slots on which a request could start at once.
    pub free: u32,
    /// Requests that wait in the home's queue.
    pub queued: u32,
}
