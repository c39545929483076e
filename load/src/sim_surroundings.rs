//! Heartbeats, leases, drains and the loss of a failure domain in a simulation.

use std::time::Duration;

use carobshore_lib::prelude::AttemptResult;
use carobshore_lib::prelude::Homes;
use carobshore_lib::prelude::HomesSettings;
use carobshore_lib::prelude::PoolEvent;
use rand::RngExt;

use crate::sim_event::Event;
use crate::sim_event::Sending;
use crate::sim_setup;
use crate::sim_spec::Scenario;
use crate::sim_vm::PoolId;
use crate::sim_vm::PoolKind;
use crate::sim_world::BREAK_TIMEOUT;
use crate::sim_world::World;

/// How long a read lease holds.
const LEASE: Duration = Duration::from_secs(10);

/// How often heartbeats are sent.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// The watchers of a VM; its other heartbeats go to random VMs.
const WATCHERS: usize = 3;

/// How late the platform's list shows that a target leaves.
const LIST_LAG: Duration = Duration::from_secs(1);

/// How often the list is read; short of a second, so that a target is not reported as leaving
/// after it was configured again.
const LIST_INTERVAL: Duration = Duration::from_millis(900);

/// How often the log is read.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// How long it takes until VMs that are gone are displaced in the log.
const DISPLACE: Duration = Duration::from_secs(6);

const KINDS: [PoolKind; 2] = [PoolKind::Owned, PoolKind::Shared];

impl World<'_> {
    /// Schedules everything that is known beforehand.
    pub(crate) fn start(&mut self) {
        for (index, job) in self.jobs.iter().enumerate() {
            self.events.push_at(job.at, Event::Arrive(index));
        }
        for vm in 0..self.spec.size.vms {
            self.new_view(vm);
        }
        self.events.push(Duration::ZERO, Event::Second);
        match self.spec.scenario {
            Scenario::Drain => self.schedule_drains(),
            Scenario::DomainGone => {
                let at = self.spec.gone_at();
                self.events.push_at(at, Event::DomainGone);
                self.events.push_at(at + DISPLACE, Event::Displaced);
            }
            Scenario::Quiet | Scenario::Straggler | Scenario::Noise => {}
        }
    }

    fn schedule_drains(&mut self) {
        for episode in self.conditions.episodes().to_vec() {
            let target = episode.target;
            for vm in 0..self.spec.size.vms {
                let at = episode.from + LIST_LAG + self.part_of(LIST_INTERVAL);
                self.events.push_at(at, Event::Listed { vm, target });
            }
            self.events.push_at(episode.until, Event::Renewed(target));
        }
    }

    fn part_of(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.random.random::<f64>())
    }

    /// Applies an event of the surroundings.
    pub(crate) fn surroundings(&mut self, event: Event) {
        match event {
            Event::Second => self.second(),
            Event::Listed { vm, target } => {
                for kind in KINDS {
                    let target = self.target_ids[target].clone();
                    self.pool(PoolId { vm, kind }, PoolEvent::Drain { target });
                }
            }
            Event::Renewed(target) => {
                let id = &self.target_ids[target];
                if let Some(target) = self.service.targets.get_mut(id) {
                    target.generation += 1;
                }
                self.publish_view();
            }
            Event::NewView(vm) => self.new_view(vm),
            Event::DomainGone => self.domain_gone(),
            Event::Displaced => self.displaced(),
            _ => {}
        }
    }

    /// Lets every VM see the newest configuration and roster at its next read of the log.
    fn publish_view(&mut self) {
        for vm in 0..self.spec.size.vms {
            let after = self.part_of(LOG_INTERVAL);
            self.events.push(after, Event::NewView(vm));
        }
    }

    fn new_view(&mut self, vm: usize) {
        if !self.exists(vm) {
            return;
        }
        let now = self.instant();
        let count = self.roster.members.len() as u32;
        let mut actions = Vec::new();
        self.vms[vm].set_view(now, &self.service, &self.homes, count, &mut actions);
        for (kind, action) in actions {
            let pool = PoolId { vm, kind };
            if let Some(event) = self.act(pool, action) {
                self.pool(pool, event);
            }
        }
        for kind in KINDS {
            self.schedule_tick(PoolId { vm, kind });
        }
    }

    fn second(&mut self) {
        let until = self.instant() + LEASE;
        for vm in 0..self.spec.size.vms {
            if !self.exists(vm) {
                continue;
            }
            for kind in KINDS {
                self.pool(PoolId { vm, kind }, PoolEvent::Lease { until });
            }
            self.heartbeats(vm);
        }
        if self.events.now() < self.spec.end() {
            self.events.push(HEARTBEAT, Event::Second);
        }
    }

    /// Exchanges the loads of homes: a heartbeat is a call, and both sides report.
    fn heartbeats(&mut self, vm: usize) {
        let vms = self.spec.size.vms;
        for number in 1..=self.spec.heartbeats.min(vms - 1) {
            let step = match number > WATCHERS && self.spec.heartbeats < vms - 1 {
                true => self.random.random_range(1..vms),
                false => number,
            };
            let peer = (vm + step) % vms;
            if !self.exists(peer) {
                continue;
            }
            let delay = self.spec.size.delay(vm, peer);
            for (from, to, after) in [(vm, peer, delay), (peer, vm, delay * 2)] {
                if let Some(load) = self.vms[from].reported_load() {
                    self.events.push(after, Event::Heartbeat { from, to, load });
                }
            }
        }
    }

    /// Breaks everything that was in flight to, from or through the failure domain.
    fn domain_gone(&mut self) {
        let mut attempts: Vec<_> = self
            .places
            .iter()
            .map(|(key, place)| (*key, *place))
            .collect();
        attempts.sort_by_key(|(attempt, _)| (attempt.pool.vm, attempt.id));
        for (attempt, place) in attempts {
            if !self.exists(place.target) {
                let result = AttemptResult::TimedOut;
                self.events
                    .push(BREAK_TIMEOUT, Event::Failed { attempt, result });
            }
        }
        let mut jobs: Vec<_> = self.open.keys().copied().collect();
        jobs.sort_unstable();
        for job in jobs {
            let open = &self.open[&job];
            if !self.exists(open.path[0]) {
                self.lose(job);
            } else if open.path.iter().any(|vm| !self.exists(*vm)) {
                let number = open.number;
                self.events
                    .push(BREAK_TIMEOUT, Event::GiveUp(Sending { job, number }));
            }
        }
    }

    fn displaced(&mut self) {
        let addr = sim_setup::any_addr();
        let conditions = self.conditions.clone();
        let now = self.events.now();
        self.roster = sim_setup::roster(self.spec, addr, |vm| conditions.exists(vm, now));
        let settings = HomesSettings {
            per_domain: self.spec.homes_per_domain,
        };
        let id = sim_setup::service_id();
        self.homes = Homes::assign(&id, &self.service, &self.roster, &settings);
        self.publish_view();
    }
}
