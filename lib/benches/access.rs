//! What organisations and evacuated domains add to each request: the look-up of a key, and the check of
//! a target's domain.

use std::hint::black_box;
use std::time::Instant;

use carobshore_lib::access::access_table::AccessTable;
use carobshore_lib::access::allowed_regions::AllowedRegions;
use carobshore_lib::access::key_hash::KeyHash;
use carobshore_lib::access::organisation::Organisation;
use carobshore_lib::access::presented_key::PresentedKey;
use carobshore_lib::evacuation::evacuations::Evacuations;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

const ORGANISATIONS: usize = 10_000;
const KEYS: usize = 4;

fn key(organisation: usize, number: usize) -> String {
    format!("26tta828m82thhkmgjqn-{organisation}-{number}")
}

fn look_up(c: &mut Criterion) {
    let holders = (0..ORGANISATIONS).map(|index| {
        let organisation = Organisation {
            id: format!("org-{index}").parse().expect("an id"),
            priority: None,
            quota: None,
            regions: AllowedRegions::default(),
        };
        let keys = (0..KEYS).map(|number| KeyHash::of(key(index, number).as_bytes()));
        (organisation, keys.collect())
    });
    let table = AccessTable::try_from(holders.collect::<Vec<_>>()).expect("a table");
    let keys: Vec<String> = (0..ORGANISATIONS).map(|index| key(index, 2)).collect();
    let mut next = 0;
    c.bench_function("look up one of 40,000 keys", |b| {
        b.iter(|| {
            next = (next + 7) % keys.len();
            let key = PresentedKey::Hash(KeyHash::of(black_box(keys[next].as_bytes())));
            black_box(table.authorise(key, false)).is_ok()
        });
    });
}

fn evacuated(c: &mut Criterion) {
    let domain = |index: u64| -> DomainId { format!("zone-{index}").parse().expect("a domain") };
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    for index in 0..3 {
        evacuations.apply(
            now,
            StorePosition::new(StoreEra::default(), index),
            &domain(index),
            index == 0,
        );
    }
    let target = domain(1);
    c.bench_function("check whether a target's domain is evacuated", |b| {
        b.iter(|| black_box(evacuations.state(now, "vm-1", black_box(&target))));
    });
}

criterion_group!(benches, look_up, evacuated);
criterion_main!(benches);
