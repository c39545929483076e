//! The VMs that have entered themselves in the store, and from whom each takes changes.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::domain_id::DomainId;

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

    /// Returns the VMs from which `me` may take changes, the preferred one first: those of its
    /// failure domain that come before it in an order on which all VMs agree. So no two VMs take
    /// changes from each other, whatever each of them knows of the others.
    pub fn sources(&self, me: &str, domain: &DomainId) -> Vec<&VmRecord> {
        let mut before = self.near(domain);
        before.retain(|vm| place(&vm.name) < place(me));
        before
    }

    /// Returns the other VMs of the failure domain, which may take changes from `me`. While nothing
    /// else reaches it, it may learn from them, but must not hand that on as if it had a source.
    pub fn followers(&self, me: &str, domain: &DomainId) -> Vec<&VmRecord> {
        let mut after = self.near(domain);
        after.retain(|vm| place(&vm.name) > place(me));
        after
    }

    fn near(&self, domain: &DomainId) -> Vec<&VmRecord> {
        let near = self.vms.iter().filter(|vm| vm.domain == *domain);
        let mut near: Vec<_> = near.collect();
        near.sort_by_key(|vm| place(&vm.name));
        near
    }
}

/// Returns the place of a VM in the order on which all VMs agree.
fn place(name: &str) -> (u64, &str) {
    (xxh3_64(name.as_bytes()), name)
}
