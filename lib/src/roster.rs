//! The entry VMs in the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::domain_id::DomainId;
use crate::offset::Offset;
use crate::vm_id::VmId;

/// One entry VM in the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The failure domain in which the VM runs.
    pub domain: DomainId,
    /// The address at which the VM receives control messages of its peers.
    pub rpc: SocketAddr,
    /// The address at which the VM accepts forwarded calls.
    pub forward: SocketAddr,
    /// The offset of the VM's `join` record.
    pub joined: Offset,
}

/// The VMs that joined and have neither left nor been displaced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The members by their ids.
    pub members: BTreeMap<VmId, Member>,
}

impl Roster {
    /// Returns the member with the given id.
    pub fn member(&self, vm: &VmId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns whether the VM is in the roster.
    pub fn contains(&self, vm: &VmId) -> bool {
        self.members.contains_key(vm)
    }

    /// Returns the VM's position in the order of ids. Delays that depend on it keep VMs from doing
    /// the same work at the same time.
    pub fn rank(&self, vm: &VmId) -> Option<usize> {
        self.members.keys().position(|member| member == vm)
    }
}
