//! Which VMs watch which others.

use xxhash_rust::xxh3::xxh3_64;

use crate::roster::Roster;
use crate::vm_id::VmId;

/// The number of VMs that watch each VM.
pub const WATCHERS: usize = 3;

/// The members of the roster, ordered by the hashes of their ids. Each VM is watched by its
/// successors, so every VM watches as many others as watch it, regardless of the size of the
/// roster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchRing {
    ring: Vec<(u64, VmId)>,
}

impl WatchRing {
    /// Creates the ring of the members of a roster.
    pub fn new(roster: &Roster) -> Self {
        let members = roster.members.keys();
        let mut ring: Vec<_> = members.map(|vm| (hash(vm), vm.clone())).collect();
        ring.sort_unstable();
        Self { ring }
    }

    /// Returns the VMs that watch the given VM, starting with the one that acts first.
    pub fn watchers(&self, vm: &VmId) -> impl Iterator<Item = &VmId> {
        self.neighbours(vm, |at, step, len| (at + step) % len)
    }

    /// Returns the VMs that the given VM watches, each with its own rank among their watchers.
    pub fn watched(&self, vm: &VmId) -> impl Iterator<Item = (usize, &VmId)> {
        let predecessors = self.neighbours(vm, |at, step, len| (at + len - step) % len);
        predecessors.enumerate()
    }

    /// Returns the member selected by a random number, other than the given one.
    pub fn pick(&self, random: u64, except: &VmId) -> Option<&VmId> {
        let others = self.ring.iter().filter(|(_, vm)| vm != except).count();
        let at = usize::try_from(random.checked_rem(others as u64)?).ok()?;
        let own = self.position(except).unwrap_or(usize::MAX);
        let at = if at >= own { at + 1 } else { at };
        self.ring.get(at).map(|(_, vm)| vm)
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.ring.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    fn neighbours(
        &self,
        vm: &VmId,
        step: impl Fn(usize, usize, usize) -> usize,
    ) -> impl Iterator<Item = &VmId> {
        let len = self.ring.len();
        let at = self.position(vm);
        let count = WATCHERS.min(len.saturating_sub(1));
        let steps = at
            .into_iter()
            .flat_map(move |at| (1..=count).map(move |n| (at, n)));
        steps.map(move |(at, n)| &self.ring[step(at, n, len)].1)
    }

    fn position(&self, vm: &VmId) -> Option<usize> {
        let wanted = hash(vm);
        let at = self
            .ring
            .binary_search_by(|(h, id)| (*h, id).cmp(&(wanted, vm)));
        at.ok()
    }
}

fn hash(vm: &VmId) -> u64 {
    xxh3_64(vm.as_str().as_bytes())
}
