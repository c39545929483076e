//! Builders for the routing tests.

#![allow(dead_code, unreachable_pub)]

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::config::Config;
use carobshore_lib::prelude::*;
use carobshore_lib::roster::Member;
use carobshore_lib::roster::Roster;
use carobshore_lib::service::Service;
use carobshore_lib::target::Target;
use carobshore_lib::target::TargetState;

pub const MS: Duration = Duration::from_millis(1);

pub fn service_id() -> ServiceId {
    "status".parse().unwrap()
}

pub fn domain(index: usize) -> DomainId {
    format!("d{index}").parse().unwrap()
}

pub fn target_id(index: usize) -> TargetId {
    format!("t{index}").parse().unwrap()
}

pub fn vm_id(index: usize) -> VmId {
    VmId::with_incarnation(&format!("e{index}"), 7).unwrap()
}

/// A service whose targets are spread over the failure domains.
pub fn service(targets: usize, domains: usize, slots: u32) -> Service {
    let make = |index: usize| Target {
        addr: "127.0.0.1:80".parse().unwrap(),
        domain: domain(index % domains),
        slots: Slots::try_from(slots).unwrap(),
        generation: 1,
        state: TargetState::Serving,
    };
    Service {
        version: Version(1),
        targets: (0..targets).map(|t| (target_id(t), make(t))).collect(),
        measuring: TargetTime(30_000),
        connections: 220,
    }
}

/// A roster whose VMs are spread over the failure domains.
pub fn roster(vms: usize, domains: usize) -> Roster {
    let make = |index: usize| Member {
        domain: domain(index % domains),
        rpc: "127.0.0.1:81".parse().unwrap(),
        forward: "127.0.0.1:82".parse().unwrap(),
        joined: Offset(index as u64),
    };
    Roster {
        members: (0..vms).map(|vm| (vm_id(vm), make(vm))).collect(),
    }
}

pub fn config(service: Service) -> Config {
    Config {
        services: [(service_id(), service.into())].into(),
        ..Config::default()
    }
}

pub fn pool_targets(count: usize, slots: u32) -> PoolTargets {
    let make = |index: usize| PoolTarget {
        id: target_id(index),
        slots: Slots::try_from(slots).unwrap(),
        generation: 1,
        leaving: false,
    };
    PoolTargets {
        targets: (0..count).map(make).collect(),
        budget: TargetTime(30_000),
        sharers: 1,
    }
}

pub fn ticket(id: u64, caller: &str, deadline: Instant) -> Ticket {
    Ticket {
        id: TicketId(id),
        caller: CallerId::of(caller),
        deadline,
        repeatable: false,
        spilled: false,
        retry: false,
    }
}

/// A pool with a manual clock.
pub struct Bench {
    pub now: Instant,
    pub pool: SlotPool,
    pub next: u64,
}

impl Bench {
    pub fn new(settings: PoolSettings, targets: &PoolTargets) -> Self {
        let now = Instant::now();
        let mut pool = SlotPool::new(service_id(), settings, now);
        pool.set_targets(now, targets, &mut Vec::new());
        Self { now, pool, next: 0 }
    }

    pub fn event(&mut self, event: PoolEvent) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        self.pool.handle(self.now, event, &mut actions);
        actions
    }

    pub fn tick_after(&mut self, time: Duration) -> Vec<PoolAction> {
        self.now += time;
        self.event(PoolEvent::Tick)
    }

    pub fn set_targets(&mut self, targets: &PoolTargets) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        self.pool.set_targets(self.now, targets, &mut actions);
        actions
    }

    pub fn ticket(&mut self) -> Ticket {
        self.next += 1;
        ticket(self.next, "caller", self.now + Duration::from_secs(10))
    }

    pub fn submit(&mut self) -> Vec<PoolAction> {
        let ticket = self.ticket();
        self.event(PoolEvent::Submit(ticket))
    }

    pub fn submit_repeatable(&mut self) -> Vec<PoolAction> {
        let ticket = Ticket {
            repeatable: true,
            ..self.ticket()
        };
        self.event(PoolEvent::Submit(ticket))
    }

    pub fn finish(&mut self, attempt: AttemptId, result: AttemptResult) -> Vec<PoolAction> {
        self.event(PoolEvent::Finished { attempt, result })
    }

    /// Serves requests one after the other, each with the latency that `time` returns for its
    /// target.
    pub fn serve(&mut self, count: usize, time: impl Fn(&TargetId) -> Duration) {
        for _ in 0..count {
            let actions = self.submit();
            let (attempt, target) = started(&actions).expect("a target is free");
            self.now += time(&target);
            self.finish(attempt, AttemptResult::Done);
        }
    }
}

pub fn started(actions: &[PoolAction]) -> Option<(AttemptId, TargetId)> {
    actions.iter().find_map(|action| match action {
        PoolAction::Start {
            attempt, target, ..
        } => Some((*attempt, target.clone())),
        _ => None,
    })
}

pub fn rejected(actions: &[PoolAction]) -> Option<ResultCode> {
    actions.iter().find_map(|action| match action {
        PoolAction::Reject { code, .. } => Some(*code),
        _ => None,
    })
}
