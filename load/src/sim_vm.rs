//! The decision structs of one simulated entry VM.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::Homes;
use carobshore_lib::prelude::Policy;
use carobshore_lib::prelude::PoolAction;
use carobshore_lib::prelude::PoolSettings;
use carobshore_lib::prelude::PoolTargets;
use carobshore_lib::prelude::Router;
use carobshore_lib::prelude::RouterSettings;
use carobshore_lib::prelude::Service;
use carobshore_lib::prelude::SlotPool;
use carobshore_lib::prelude::VmId;

use crate::sim_setup;
use crate::sim_spec::SimSpec;

/// Which of a VM's two pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PoolKind {
    /// The slots that the VM owns as a home.
    Owned,
    /// All targets, without ownership.
    Shared,
}

/// Names a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PoolId {
    /// The VM.
    pub vm: usize,
    /// Which of its pools.
    pub kind: PoolKind,
}

/// The router and the pools of one entry VM.
#[derive(Debug)]
pub struct SimVm {
    /// The VM's id.
    pub id: VmId,
    /// Decides where a call goes.
    pub router: Router,
    policy: Policy,
    owned: SlotPool,
    shared: SlotPool,
    ticks: [Option<Duration>; 2],
}

impl SimVm {
    /// Builds the structs as the daemon does at its start.
    pub fn new(index: usize, spec: &SimSpec, policy: Policy, now: Instant) -> Self {
        let id = sim_setup::vm_id(index);
        let domain = sim_setup::domain_id(spec.size.domain(index));
        let service = sim_setup::service_id();
        let settings = |policy, salt| PoolSettings {
            policy,
            seed: spec.seed * 1000 + index as u64 * 2 + salt,
            initial_time: spec.mean,
            probe_cost: spec.size.probe,
            spill_delay: spec.size.far * 2,
            ..PoolSettings::default()
        };
        // Without homes, and when none can be reached, two choices is the fallback.
        let shared = if policy.owns_slots() {
            Policy::TwoChoices
        } else {
            policy
        };
        let router = RouterSettings {
            policy,
            ..RouterSettings::default()
        };
        Self {
            router: Router::new(id.clone(), domain, router),
            id,
            policy,
            owned: SlotPool::new(service.clone(), settings(Policy::Homes, 0), now),
            shared: SlotPool::new(service, settings(shared, 1), now),
            ticks: [None; 2],
        }
    }

    /// Takes over a new set of homes or a new configuration.
    pub fn set_view(
        &mut self,
        now: Instant,
        service: &Service,
        homes: &Homes,
        vms: u32,
        actions: &mut Vec<(PoolKind, PoolAction)>,
    ) {
        let mut buffer = Vec::new();
        if self.policy.owns_slots() {
            self.router.set_homes(homes.clone());
            let owned = PoolTargets::owned(service, homes, &self.id);
            self.owned.set_targets(now, &owned, &mut buffer);
            actions.extend(buffer.drain(..).map(|action| (PoolKind::Owned, action)));
        }
        let sharers = if self.policy == Policy::TwoChoices {
            vms
        } else {
            0
        };
        let shared = PoolTargets::shared(service, vms, sharers);
        self.shared.set_targets(now, &shared, &mut buffer);
        actions.extend(buffer.drain(..).map(|action| (PoolKind::Shared, action)));
    }

    /// Returns one of the pools.
    pub fn pool(&mut self, kind: PoolKind) -> &mut SlotPool {
        match kind {
            PoolKind::Owned => &mut self.owned,
            PoolKind::Shared => &mut self.shared,
        }
    }

    /// Returns the load that the VM reports as a home, if it is one.
    pub fn reported_load(&self) -> Option<(u32, u32)> {
        let is_home = self.policy.owns_slots() && self.router.homes().contains(&self.id);
        is_home.then(|| self.owned.load())
    }

    /// Returns when the next tick of a pool is scheduled.
    pub fn tick(&mut self, kind: PoolKind) -> &mut Option<Duration> {
        match kind {
            PoolKind::Owned => &mut self.ticks[0],
            PoolKind::Shared => &mut self.ticks[1],
        }
    }

    /// Returns the sums of requests passed on, second copies and probes.
    pub fn counts(&self) -> [u64; 3] {
        let (owned, shared) = (self.owned.counters(), self.shared.counters());
        [
            owned.spilled + shared.spilled,
            owned.hedges + shared.hedges,
            owned.probes + shared.probes,
        ]
    }
}
