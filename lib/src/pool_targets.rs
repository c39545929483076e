//! The targets that a slot pool works with.

use crate::homes::Homes;
use crate::service::Service;
use crate::slots::Slots;
use crate::target::Target;
use crate::target_id::TargetId;
use crate::target_time::TargetTime;
use crate::vm_id::VmId;

/// All VMs in fallback mode together take one in four of a target's connections.
const FALLBACK_DIVISOR: u32 = 4;

/// One target of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolTarget {
    /// The target.
    pub id: TargetId,
    /// Requests that the pool may have in flight on it.
    pub slots: Slots,
    /// The target's generation; a newer one ends a drain.
    pub generation: u64,
    /// Whether the target leaves and gets nothing new.
    pub leaving: bool,
}

/// The targets of a pool and the pool's share of the measurement budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolTargets {
    /// The targets that the pool may send to.
    pub targets: Vec<PoolTarget>,
    /// The service's measurement budget.
    pub budget: TargetTime,
    /// The number of VMs that share the budget; 0 when this VM has no share.
    pub sharers: u32,
}

impl PoolTargets {
    /// Returns what the VM's pool works with as a home: the targets that it owns.
    pub fn owned(service: &Service, homes: &Homes, vm: &VmId) -> Self {
        let owns = |id: &TargetId| homes.owner(id) == Some(vm);
        let targets = service.targets.iter().filter(|(id, _)| owns(id));
        Self {
            targets: targets.map(|(id, t)| pool_target(id, t, t.slots)).collect(),
            budget: service.measuring,
            sharers: if homes.contains(vm) { homes.count() } else { 0 },
        }
    }

    /// Returns what the VM's pool works with when it does not own slots: all targets, each with
    /// the VM's share of a quarter of the target's connections. Homes and fallback VMs together
    /// then stay within the connection budget.
    ///
    /// `sharers` is the number of VMs when the policy is `two-choices`, and 0 in fallback mode,
    /// where the homes hold the measurement budget.
    pub fn shared(service: &Service, vms: u32, sharers: u32) -> Self {
        let share = service.connections / FALLBACK_DIVISOR / vms.max(1);
        let slots = Slots::try_from(share.clamp(1, Slots::MAX));
        let of = |t: &Target| slots.as_ref().copied().unwrap_or(t.slots);
        let targets = service.targets.iter();
        Self {
            targets: targets.map(|(id, t)| pool_target(id, t, of(t))).collect(),
            budget: service.measuring,
            sharers,
        }
    }
}

fn pool_target(id: &TargetId, target: &Target, slots: Slots) -> PoolTarget {
    PoolTarget {
        id: id.clone(),
        slots,
        generation: target.generation,
        leaving: !target.is_serving(),
    }
}
