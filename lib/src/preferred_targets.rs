//! The targets of a service that a VM prefers, so that few connections serve most requests.
//!
//! With a connection from each VM to each target, connections go unused until the target closes
//! them, and each new one costs. Every VM therefore prefers a few targets and turns to the others
//! when none of these is idle.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// VMs that prefer the same target, on average.
const VMS_PER_TARGET: usize = 4;
/// The fewest targets that a VM prefers.
const LEAST: usize = 6;
/// Preferred targets outside the VM's failure domain, one in so many.
const FAR_ONE_IN: usize = 3;

/// A target as the choice of preferred ones sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankedTarget {
    /// The target's rank for this VM; see [`rank`].
    pub rank: u64,
    /// Whether it is in the VM's own failure domain.
    pub local: bool,
}

/// Returns a target's rank for a VM (rendezvous hashing): a change of the targets or of the VMs
/// moves few preferences.
pub fn rank(vm: &str, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), xxh3_64_with_seed(vm.as_bytes(), 0))
}

/// Returns for each target whether the VM prefers it. `vms` is the number of all VMs.
pub fn preferred(targets: &[RankedTarget], vms: usize) -> Vec<bool> {
    let wanted = (targets.len() * VMS_PER_TARGET)
        .div_ceil(vms.max(1))
        .max(LEAST);
    let far = wanted / FAR_ONE_IN;
    let mut chosen = vec![false; targets.len()];
    let locals = choose(targets, true, wanted - far, &mut chosen);
    choose(targets, false, wanted - locals, &mut chosen);
    chosen
}

/// Marks up to `count` targets of the highest ranks, and returns how many there were.
fn choose(targets: &[RankedTarget], local: bool, count: usize, chosen: &mut [bool]) -> usize {
    let mut ranked: Vec<usize> = (0..targets.len())
        .filter(|at| targets[*at].local == local)
        .collect();
    ranked.sort_unstable_by_key(|at| std::cmp::Reverse(targets[*at].rank));
    ranked.truncate(count);
    ranked.iter().for_each(|at| chosen[*at] = true);
    ranked.len()
}
