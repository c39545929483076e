//! The offsets up to which peers have applied the log.

use std::collections::BTreeMap;

use crate::offset::Offset;
use crate::vm_id::VmId;

/// The maximum number of peers that are tracked; beyond it the one furthest behind is dropped.
const MAX_PEERS: usize = 64;

/// The applied offset of each reachable peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerOffsets(BTreeMap<VmId, Offset>);

impl PeerOffsets {
    /// Records the applied offset that a peer reported.
    pub(crate) fn set(&mut self, vm: VmId, applied: Offset) {
        self.0.insert(vm, applied);
        if self.0.len() > MAX_PEERS {
            let last = self.0.iter().min_by_key(|(_, applied)| **applied);
            if let Some(vm) = last.map(|(vm, _)| vm.clone()) {
                self.0.remove(&vm);
            }
        }
    }

    /// Removes a peer that cannot be reached.
    pub(crate) fn remove(&mut self, vm: &VmId) {
        self.0.remove(vm);
    }

    /// Returns the peer that is furthest ahead.
    pub(crate) fn best(&self) -> Option<(&VmId, Offset)> {
        let best = self.0.iter().max_by_key(|(_, applied)| **applied);
        best.map(|(vm, applied)| (vm, *applied))
    }

    /// Returns whether no peer is ahead of the offset.
    pub(crate) fn none_ahead_of(&self, offset: Offset) -> bool {
        self.best().is_none_or(|(_, applied)| applied <= offset)
    }
}
