//! Measures the cost of routing decisions for increasing numbers of targets and VMs.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::*;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

/// Targets of one service: the present number, and ten and a hundred times as many.
const TARGETS: [usize; 3] = [30, 300, 3_000];
/// Entry VMs: the present number, and up to 64 times as many.
const VMS: [usize; 4] = [16, 64, 256, 1_024];
const DOMAINS: usize = 3;

fn id<T: std::str::FromStr<Err = Error>>(text: &str) -> T {
    text.parse().expect("the benchmark's ids are valid")
}

fn service(targets: usize) -> Service {
    let target = |index: usize| Target {
        addr: "127.0.0.1:80".parse().expect("the address is valid"),
        domain: id(&format!("d{}", index % DOMAINS)),
        slots: Slots::try_from(2).expect("2 slots are allowed"),
        generation: 1,
        state: TargetState::Serving,
    };
    Service {
        version: Version(1),
        targets: (0..targets)
            .map(|index| (id(&format!("t{index}")), target(index)))
            .collect(),
        measuring: TargetTime(30_000),
        connections: 220,
    }
}

fn roster(vms: usize) -> Roster {
    let addr = "127.0.0.1:80".parse().expect("the address is valid");
    let member = |index: usize| Member {
        domain: id(&format!("d{}", index % DOMAINS)),
        rpc: addr,
        forward: addr,
        joined: Offset(index as u64),
    };
    Roster {
        members: (0..vms)
            .map(|index| (id(&format!("e{index}.00000001")), member(index)))
            .collect(),
    }
}

fn submit(pool: &mut SlotPool, now: Instant, number: u64, actions: &mut Vec<PoolAction>) {
    let ticket = Ticket {
        id: TicketId(number),
        caller: CallerId(number % 100),
        deadline: now + Duration::from_secs(10),
        repeatable: true,
        spilled: false,
        retry: false,
    };
    pool.handle(now, PoolEvent::Submit(ticket), actions);
}

/// One request: its route, its start, and the end of the oldest request in flight. About 70% of the
/// slots are in use.
fn request(c: &mut Criterion) {
    let mut group = c.benchmark_group("route_submit_finish");
    for targets in TARGETS {
        let service = service(targets);
        let roster = roster(16);
        let homes = Homes::assign(&id("status"), &service, &roster, &HomesSettings::default());
        let me = homes.vms().next().expect("there are homes").clone();
        let domain = roster.members[&me].domain.clone();
        let mut router = Router::new(me, domain, RouterSettings::default());
        router.set_homes(homes);
        let mut now = Instant::now();
        let mut pool = SlotPool::new(id("status"), PoolSettings::default(), now);
        let mut actions = Vec::new();
        let shared = PoolTargets {
            targets: service
                .targets
                .iter()
                .map(|(id, target)| PoolTarget {
                    id: id.clone(),
                    slots: target.slots,
                    generation: 1,
                    leaving: false,
                })
                .collect(),
            budget: service.measuring,
            sharers: 3,
        };
        pool.set_targets(now, &shared, &mut actions);
        let busy = targets * 2 * 7 / 10;
        let step = Duration::from_millis(20) / u32::try_from(busy).expect("the size is small");
        let mut in_flight = std::collections::VecDeque::new();
        let mut number = 0;
        let mut one = || {
            number += 1;
            now += step;
            black_box(router.route(now, &Call::default()));
            submit(&mut pool, now, number, &mut actions);
            for action in actions.drain(..) {
                if let PoolAction::Start { attempt, .. } | PoolAction::Hedge { attempt, .. } =
                    action
                {
                    in_flight.push_back(attempt);
                }
            }
            while in_flight.len() > busy {
                let attempt = in_flight.pop_front().expect("requests are in flight");
                let result = AttemptResult::Done;
                pool.handle(now, PoolEvent::Finished { attempt, result }, &mut actions);
            }
        };
        // Finish the ramp-up before measuring.
        for _ in 0..targets * 40 {
            one();
        }
        group.bench_function(BenchmarkId::from_parameter(targets), |b| b.iter(&mut one));
    }
    group.finish();
}

/// The assignment of targets to homes, which each view change requires for each service.
fn assign(c: &mut Criterion) {
    let mut group = c.benchmark_group("assign_30_targets");
    let service = service(30);
    for vms in VMS {
        let roster = roster(vms);
        group.bench_function(BenchmarkId::from_parameter(vms), |b| {
            b.iter(|| {
                let settings = HomesSettings::default();
                black_box(Homes::assign(&id("status"), &service, &roster, &settings))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, request, assign);
criterion_main!(benches);
