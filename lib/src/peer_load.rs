//! The load that a home reports to other VMs.

use serde::Deserialize;
use serde::Serialize;

use crate::vm_id::VmId;

/// A home's free slots and queue length for one service when the report was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// The home.
    pub vm: VmId,
    /// Slots that could take a request at once.
    pub free: u32,
    /// Requests that wait in the home's queue.
    pub queued: u32,
}
