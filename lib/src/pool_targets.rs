//! The targets that a slot pool may send requests to.

use crate::homes::Homes;
use crate::service::Service;
use crate::slots::Slots;
use crate::target::Target;
use crate::target_id::TargetId;
use crate::target_time::TargetTime;
use crate::vm_id::VmId;

/// All VMs in fallback mode together use one in four of a target's connections.
const FALLBACK_DIVISOR: u32 = 4;

/// One target of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolTarget {
    /// The target's id, unique within its service.
    pub id: TargetId,
    /// The maximum number of the pool's requests in flight on the target.
    pub slots: Slots,
    /// The target's generation; a newer one ends a drain.
    pub generation: u64,
    /// Whether the target is leaving and gets no new requests.
    pub leaving: bool,
}

/// The targets of a pool and the pool's share of the measurement budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolTargets {
    /// The targets to which the pool may send requests.
    pub targets: Vec<PoolTarget>,
    /// The service's measurement budget.
    pub budget: TargetTime,
    /// The number of VMs that share the budget; 0 if this VM has no share.
    pub sharers: u32,
}

impl PoolTargets {
    /// Returns the targets of the VM's pool as a home: those that it owns.
    pub fn owned(service: &Service, homes: &Homes, vm: &VmId) -> Self {
        let owns = |id: &TargetId| homes.owner(id) == Some(vm);
        let targets = service.targets.iter().filter(|(id, _)| owns(id));
        Self {
            targets: targets.map(|(id, t)| pool_target(id, t, t.slots)).collect(),
            budget: service.measuring,
            sharers: if homes.contains(vm) { homes.count() } else { 0 },
        }
    }

    /// Returns the targets of the VM's pool when it does not own slots: all targets, each with the
    /// VM's share of a quarter of the target's connections. Homes and fallback VMs together then
    /// stay within the connection budget.
    ///
    /// `sharers` is the number of VMs when the policy is `two-choices`, and 0 in fallback mode,
    /// where the homes hold the measurement budget.
    pub fn shared(service: &Service, vms: u32, sharers: u32) -> Self {
        let share = service.connections / FALLBACK_DIVISOR / vms.max(1);
        let slots = Slots::try_from(share.clamp(1, Slots::MAX));
        let slots_of = |t: &Target| slots.as_ref().copied().unwrap_or(t.slots);
        let targets = service.targets.iter();
        Self {
            targets: targets
                .map(|(id, t)| pool_target(id, t, slots_of(t)))
                .collect(),
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
