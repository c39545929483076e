//! The cost that organisations add to each request: the look-up of a key.

use std::hint::black_box;

use carobshore_lib::access::access_table::AccessTable;
use carobshore_lib::access::allowed_regions::AllowedRegions;
use carobshore_lib::access::key_hash::KeyHash;
use carobshore_lib::access::organisation::Organisation;
use carobshore_lib::access::presented_key::PresentedKey;
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

criterion_group!(benches, look_up);
criterion_main!(benches);
