//! The cost of membership on one VM, for several numbers of VMs.
//!
//! One round is the work of a VM within one second: it chooses the recipients, builds and encodes
//! its heartbeat, and decodes and processes as many heartbeats as it sends. The bytes per round are
//! printed first.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::membership::HEARTBEAT_INTERVAL;
use carobshore_lib::prelude::*;
use carobshore_lib::record::Join;
use carobshore_lib::watch_ring::WatchRing;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

const SIZES: [usize; 4] = [16, 64, 256, 1_024];

/// The services and failure domains at the expected scale. They determine the number of loads of a
/// VM.
const SERVICES: usize = 690;
const DOMAINS: usize = 10;

fn join(n: usize) -> Join {
    Join {
        vm: VmId::with_incarnation(&format!("entry-{n}"), 0x1234_5678).unwrap(),
        domain: format!("region-1-domain-{}", n % DOMAINS).parse().unwrap(),
        rpc: "10.1.2.3:7101".parse().unwrap(),
        forward: "10.1.2.3:7102".parse().unwrap(),
    }
}

fn roster(size: usize) -> Roster {
    let member = |n: usize| {
        let join = join(n);
        let member = Member {
            domain: join.domain,
            rpc: join.rpc,
            forward: join.forward,
            joined: Offset(n as u64),
        };
        (join.vm, member)
    };
    Roster {
        members: (0..size).map(member).collect(),
    }
}

/// One VM in a roster of the given size, with the heartbeats that it receives in a round.
struct Fixture {
    membership: Membership,
    now: Instant,
    loads: Vec<(ServiceId, PeerLoad)>,
    leaving: Vec<LeavingTarget>,
    received: Vec<Vec<u8>>,
}

impl Fixture {
    fn new(size: usize) -> Self {
        let now = Instant::now();
        let seed = 1;
        let mut membership = Membership::new(LocalVm {
            join: join(0),
            seed,
        });
        let mut out = Vec::new();
        let roster = roster(size);
        let ring = WatchRing::new(&roster);
        membership.handle(now, MembershipEvent::Ready, &mut out);
        membership.handle(now, MembershipEvent::Roster { roster }, &mut out);
        let homes = (SERVICES * DOMAINS).div_ceil(size).min(SERVICES);
        let load = |n| {
            let vm = join(0).vm;
            let service = format!("service-{n}").parse().unwrap();
            let (free, queued) = (12, 3);
            (service, PeerLoad { vm, free, queued })
        };
        let leaving = |n| LeavingTarget {
            service: format!("service-{n}").parse().unwrap(),
            target: format!("target-{n}").parse().unwrap(),
            generation: 17,
        };
        let mut fixture = Self {
            membership,
            now,
            loads: (0..homes).map(load).collect(),
            leaving: (0..4).map(leaving).collect(),
            received: Vec::new(),
        };
        let own = join(0).vm;
        let watched = ring.watched(&own).map(|(_, vm)| vm.clone());
        let senders: Vec<_> = watched.chain([join(size - 1).vm]).collect();
        for from in senders {
            let mut heartbeat = fixture.heartbeat(1);
            heartbeat.from = from;
            fixture
                .received
                .push(serde_json::to_vec(&heartbeat).unwrap());
        }
        fixture
    }

    fn heartbeat(&self, round: u64) -> Heartbeat {
        self.membership.heartbeat(round, &self.leaving, &self.loads)
    }

    /// Runs one second of one VM and returns the bytes sent.
    fn round(&mut self) -> usize {
        let mut out = Vec::new();
        for bytes in &self.received {
            let heartbeat = serde_json::from_slice(bytes).unwrap();
            let received = MembershipEvent::HeartbeatReceived(heartbeat);
            self.membership.handle(self.now, received, &mut out);
        }
        let mut sent = 0;
        for _ in 0..4 {
            self.now += HEARTBEAT_INTERVAL / 4;
            self.membership
                .handle(self.now, MembershipEvent::Tick, &mut out);
        }
        for action in out {
            if let MembershipAction::Heartbeat { to, round } = action {
                let bytes = serde_json::to_vec(&self.heartbeat(round)).unwrap();
                sent += bytes.len() * to.len();
            }
        }
        sent
    }
}

fn rounds(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("heartbeat round");
    for size in SIZES {
        let mut fixture = Fixture::new(size);
        let received: usize = fixture.received.iter().map(Vec::len).sum();
        println!(
            "{size} VMs: {} bytes sent, {received} bytes received a second",
            fixture.round()
        );
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(fixture.round()));
        });
    }
    group.finish();
}

fn roster_changes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("roster change");
    for size in SIZES {
        let roster = roster(size);
        let mut fixture = Fixture::new(size);
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                let mut out = Vec::new();
                let roster = roster.clone();
                let event = MembershipEvent::Roster { roster };
                fixture.membership.handle(fixture.now, event, &mut out);
                black_box(out)
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    targets = rounds, roster_changes
}
criterion_main!(benches);
