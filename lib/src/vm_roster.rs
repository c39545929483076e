//! The VMs that have entered themselves in the store, and from whom each takes changes.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::domain_id::DomainId;

/// The fewest VMs of a failure domain that take changes from one another.
const LEAST_TO_SHARE: usize = 8;

/// A VM as it enters itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it hands changes on to other VMs.
    pub feed: SocketAddr,
}

/// All VMs that have ever entered themselves. Some may be gone, so that the number is an upper
/// bound, which is what shares of a common budget need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmRoster {
    vms: Vec<VmRecord>,
}

impl VmRoster {
    /// Builds a roster from the records in the store.
    pub fn new(vms: Vec<VmRecord>) -> Self {
        Self { vms }
    }

    /// Adds a VM, in place of an earlier record of it.
    pub fn add(&mut self, vm: VmRecord) {
        self.vms.retain(|other| other.name != vm.name);
        self.vms.push(vm);
    }

    /// Returns the number of VMs, or nothing while none is known.
    pub fn len(&self) -> Option<usize> {
        Some(self.vms.len()).filter(|count| *count > 0)
    }

    /// Returns whether no VM is known.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Returns whether the roster has exactly this record.
    pub fn has(&self, vm: &VmRecord) -> bool {
        self.vms.contains(vm)
    }

    /// Returns whether the VMs of a failure domain take changes from one another. In a small one it
    /// costs fewer calls if each waits for changes at the store, because a VM on which others rely
    /// has to prove all the time that the store still serves it.
    pub fn shares_changes(&self, domain: &DomainId) -> bool {
        let near = self.vms.iter().filter(|vm| vm.domain == *domain);
        near.count() >= LEAST_TO_SHARE
    }

    /// Returns the VMs from which `me` may take changes, the preferred one first: those of its
    /// failure domain that come before it in an order on which all VMs agree. So no two VMs take
    /// changes from each other, whatever each of them knows of the others.
    pub fn sources(&self, me: &str, domain: &DomainId) -> Vec<&VmRecord> {
        if !self.shares_changes(domain) {
            return Vec::new();
        }
        let mine = place(me);
        let near = self.vms.iter().filter(|vm| vm.domain == *domain);
        let mut before: Vec<_> = near.filter(|vm| place(&vm.name) < mine).collect();
        before.sort_by_key(|vm| place(&vm.name));
        before
    }
}

/// Returns the place of a VM in the order on which all VMs agree.
fn place(name: &str) -> (u64, &str) {
    (xxh3_64(name.as_bytes()), name)
}
