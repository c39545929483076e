//! Cost of the replicated state at growing sizes: applying changes, encoding and decoding
//! snapshots.

use std::hint::black_box;

use carobshore_lib::prelude::*;
use carobshore_lib::record::Confirm;
use carobshore_lib::snapshot::Snapshot;
use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use uuid::Uuid;

/// Numbers of targets and services: one present service, all services of one operator team, and two
/// steps up to the expected scale.
const SIZES: [(usize, usize); 4] = [(30, 1), (300, 10), (3_000, 100), (21_000, 690)];

fn id<T: std::str::FromStr<Err = Error>>(text: &str) -> T {
    text.parse().expect("the benchmark's ids are valid")
}

fn record(number: u128, body: Body) -> Record {
    let id = RecordId(Uuid::from_u128(number));
    Record { id, body }
}

fn intent(number: u128, changes: Vec<Change>) -> Record {
    let operator = id("gwen");
    let note = "".into();
    let intent = Intent {
        operator,
        note,
        changes,
    };
    record(number, Body::Intent(intent))
}

fn confirm(number: u128, config: &Config, proposed: &Record) -> Record {
    let Body::Intent(intent) = &proposed.body else {
        unreachable!("only intents are confirmed");
    };
    let plan = Plan::new(config, intent).expect("the benchmark's intents are valid");
    let confirm = Confirm {
        operator: id("gwen"),
        intent: proposed.id,
        digest: plan.digest(),
        bases: plan.bases().clone(),
    };
    record(number, Body::Confirm(confirm))
}

fn service(number: usize, targets: usize) -> Vec<Change> {
    let service: ServiceId = id(&format!("service-{number}"));
    let mut changes = vec![Change::AddService {
        service: service.clone(),
        measuring: TargetTime(30_000),
        connections: 220,
    }];
    changes.extend((0..targets).map(|target| Change::AddTarget {
        service: service.clone(),
        target: id(&format!("service-{number}-{target}")),
        addr: std::net::SocketAddr::from((
            [10, (number / 250) as u8, (number % 250) as u8, target as u8],
            80,
        )),
        domain: id(&format!("domain-{}", target % 10)),
        slots: Slots::try_from(2).expect("2 slots are valid"),
    }));
    changes
}

/// Returns a state with the targets spread over the services and a full set of recent ids.
fn state(targets: usize, services: usize) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    let apply = |record: &Record, state: &mut ReplicatedState| {
        assert_eq!(state.apply(state.applied(), record), ApplyOutcome::Applied);
    };
    for number in 0..services {
        let count = targets / services + usize::from(number < targets % services);
        let proposed = intent(2 * number as u128, service(number, count));
        apply(&proposed, &mut state);
        let confirmed = confirm(2 * number as u128 + 1, state.config(), &proposed);
        apply(&confirmed, &mut state);
    }
    for number in 0..carobshore_lib::recent_ids::REMEMBERED_IDS as u128 {
        let unknown = Body::Leave {
            vm: id("entry-1.00000001"),
        };
        state.apply(state.applied(), &record(1_000_000 + number, unknown));
    }
    state
}

/// Returns an encoded intent that changes one target, and its encoded confirm.
fn change(state: &ReplicatedState) -> [String; 2] {
    let slots = Change::SetSlots {
        service: id("service-0"),
        target: id("service-0-0"),
        slots: Slots::try_from(3).expect("3 slots are valid"),
    };
    let proposed = intent(u128::MAX, vec![slots]);
    let confirmed = confirm(u128::MAX - 1, state.config(), &proposed);
    [proposed.to_json(), confirmed.to_json()]
}

fn benches(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fold");
    group.sample_size(20);
    for (targets, services) in SIZES {
        let state = state(targets, services);
        let texts = change(&state);
        let snapshot = Snapshot::encode(&state);
        let bytes: usize = snapshot.iter().map(|record| record.to_json().len()).sum();
        println!(
            "{targets} targets: snapshot of {} records, {bytes} bytes",
            snapshot.len()
        );
        let name = |work| BenchmarkId::new(work, targets);
        group.bench_function(name("apply intent and confirm"), |bencher| {
            bencher.iter_batched_ref(
                || state.clone(),
                |state| {
                    for text in &texts {
                        let applied = state.apply_text(state.applied(), text);
                        assert_eq!(black_box(applied), ApplyOutcome::Applied);
                    }
                },
                BatchSize::LargeInput,
            );
        });
        group.bench_function(name("clone configuration"), |bencher| {
            bencher.iter(|| black_box(state.config().clone()));
        });
        group.bench_function(name("snapshot encode"), |bencher| {
            bencher.iter(|| Snapshot::encode(black_box(&state)));
        });
        group.bench_function(name("snapshot decode"), |bencher| {
            bencher
                .iter(|| Snapshot::decode(black_box(&snapshot)).expect("the snapshot is complete"));
        });
    }
    group.finish();
}

criterion_group!(state_benches, benches);
criterion_main!(state_benches);
