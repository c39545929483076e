//! The VMs among which the keys of a service are divided.

use crate::homes::Homes;
use crate::request_key::RequestKey;
use crate::vm_id::VmId;

/// The key owners of one service.
///
/// This set must depend on the log alone, and not on a setting, a request rate or a VM's own view
/// of its peers. Two VMs that disagreed for such a reason would both own a key, and no lease wait
/// would separate them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyHomes(Homes);

impl KeyHomes {
    /// Returns the VMs, in the order of their failure domains.
    pub fn vms(&self) -> impl ExactSizeIterator<Item = &VmId> {
        self.0.vms()
    }

    /// Returns the VM that owns the key. The router sends requests with the key to it.
    pub fn owner(&self, key: &RequestKey) -> Option<&VmId> {
        self.0.key_owner(key)
    }
}

impl From<Homes> for KeyHomes {
    /// Wraps homes that were assigned without targets, so that two sets are equal when
    /// their key owners are.
    fn from(homes: Homes) -> Self {
        Self(homes)
    }
}
