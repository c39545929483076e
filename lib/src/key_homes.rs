//! The VMs among which the keys of a service are divided.

use xxhash_rust::xxh3::Xxh3;

use crate::homes::Homes;
use crate::request_key::RequestKey;
use crate::vm_id::VmId;

/// The key owners of one service, without the assignment of targets.
///
/// The set has to be a function of the log and of nothing else. A setting, a request rate or a
/// VM's own view of its peers must not change it: two VMs that disagree for such a reason would
/// both own a key, and no lease wait would separate them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyHomes {
    vms: Box<[VmId]>,
}

impl KeyHomes {
    /// Builds a set from its members, in any order.
    pub fn new(mut vms: Vec<VmId>) -> Self {
        vms.sort_unstable();
        vms.dedup();
        Self { vms: vms.into() }
    }

    /// Returns the members in the order of their ids.
    pub fn vms(&self) -> &[VmId] {
        &self.vms
    }

    /// Returns the VM that owns the key; the same one as `Homes::key_owner`.
    pub fn owner(&self, key: &RequestKey) -> Option<&VmId> {
        self.vms.iter().max_by_key(|vm| (score(key, vm), *vm))
    }
}

impl From<&Homes> for KeyHomes {
    fn from(homes: &Homes) -> Self {
        Self::new(homes.vms().cloned().collect())
    }
}

fn score(key: &RequestKey, vm: &VmId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(vm.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.digest()
}
