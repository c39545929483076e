//! The targets of a service that a VM prefers, so that few connections serve most requests.
//!
//! With a connection from each VM to each target, connections would stay unused until the target
//! closes them, and opening new ones is expensive. Each VM therefore prefers a few targets and uses
//! the others when none of these is idle.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of VMs that prefer the same target, on average.
const VMS_PER_TARGET: usize = 4;
/// The minimum number of targets that a VM prefers.
const MIN_PREFERRED: usize = 6;
/// One in this many preferred targets is outside the VM's failure domain.
const REMOTE_DIVISOR: usize = 3;

/// A target with the properties that decide whether a VM prefers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankedTarget {
    /// The target's rank for this VM; see [`rank`].
    pub rank: u64,
    /// Whether the target is in the VM's own failure domain.
    pub local: bool,
}

/// Returns a target's rank for a VM by rendezvous hashing, so that a change of the targets or VMs
/// changes few preferences.
pub fn rank(vm: &str, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), xxh3_64_with_seed(vm.as_bytes(), 0))
}

/// Returns for each target whether the VM prefers it. `vms` is the total number of VMs.
pub fn preferred(targets: &[RankedTarget], vms: usize) -> Vec<bool> {
    let wanted = (targets.len() * VMS_PER_TARGET)
        .div_ceil(vms.max(1))
        .max(MIN_PREFERRED);
    let remote = wanted / REMOTE_DIVISOR;
    let mut chosen = vec![false; targets.len()];
    let locals = choose(targets, true, wanted - remote, &mut chosen);
    choose(targets, false, wanted - locals, &mut chosen);
    chosen
}

/// Marks up to `count` local or remote targets with the highest ranks, and returns how many.
fn choose(targets: &[RankedTarget], local: bool, count: usize, chosen: &mut [bool]) -> usize {
    let mut ranked: Vec<usize> = (0..targets.len())
        .filter(|index| targets[*index].local == local)
        .collect();
    ranked.sort_unstable_by_key(|index| std::cmp::Reverse(targets[*index].rank));
    ranked.truncate(count);
    ranked.iter().for_each(|index| chosen[*index] = true);
    ranked.len()
}
