//! Guards against a configuration that differs from the confirmed one because it was put together
//! from differences, and against differences as large as the configuration.

use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_lib::store_mirror::StoreMirror;
use carobshore_lib::text_patch::TextPatch;
use proptest::prelude::*;

fn document(version: u64, timeouts: &[u32]) -> String {
    let routes = timeouts.iter().enumerate().map(|(index, timeout)| {
        format!("{{\"Name\":\"r-{index}\",\"Spec\":{{\"Timeout\":\"{timeout}ms\"}}}}")
    });
    let routes: Vec<_> = routes.collect();
    format!(
        "{{\"Version\":\"r{version}\",\"Resources\":[{}]}}",
        routes.join(",")
    )
}

fn at(offset: u64) -> StorePosition {
    StorePosition::new(StoreEra::default(), offset)
}

fn record(offset: u64, value: &str) -> KeyedRecord {
    KeyedRecord {
        offset,
        key: "config".into(),
        value: Some(value.into()),
    }
}

#[test]
fn the_difference_of_one_route_is_small() {
    let old = document(1, &[100; 500]);
    let mut timeouts = [100; 500];
    timeouts[250] = 900;
    let new = document(2, &timeouts);
    let patch = TextPatch::between(&old, &new);
    assert_eq!(patch.apply(&old).as_deref(), Some(&*new));
    let size = serde_json::to_vec(&patch).expect("a patch").len();
    assert!(size < 500, "{size} bytes");
}

#[test]
fn a_difference_is_not_applied_to_another_text() {
    let [old, new] = [document(1, &[1, 2, 3]), document(2, &[1, 2, 4])];
    let patch = TextPatch::between(&old, &new);
    for other in [document(1, &[1, 1, 3]), String::new(), "ü".repeat(200)] {
        assert_eq!(patch.apply(&other), None);
    }
}

proptest! {
    #[test]
    fn every_difference_restores_the_new_text(
        old in "[a-cü{}\",]{0,60}",
        new in "[a-cü{}\",]{0,60}",
    ) {
        let patch = TextPatch::between(&old, &new);
        prop_assert_eq!(patch.apply(&old), Some(new));
    }

    /// Whatever a reader has missed or read elsewhere, it gets the newest record or learns that it
    /// has to read it whole.
    #[test]
    fn a_reader_of_differences_has_the_newest_record_or_reads_it_whole(
        steps in prop::collection::vec((0_u8..4, any::<bool>()), 1..30),
    ) {
        let [mut source, mut reader] = [StoreMirror::default(), StoreMirror::default()];
        let mut newest = record(0, &document(1, &[1; 200]));
        source.load(vec![newest.clone()], at(1));
        reader.load(vec![newest.clone()], at(1));
        for (step, is_polled) in steps {
            let next = newest.offset + 1 + u64::from(step);
            let mut timeouts = [1; 200];
            timeouts[next as usize % 200] = 7;
            newest = record(next, &document(next, &timeouts));
            match step {
                0 => source.load(vec![newest.clone()], at(next + 1)),
                1 => reader.extend([newest.clone()], at(next + 1)),
                _ => source.extend([newest.clone()], at(next + 1)),
            }
            if step == 1 || !is_polled {
                continue;
            }
            let from = Some(reader.next().expect("records"));
            let changes = source.patches_since(from);
            let changes = reader.restore(changes).unwrap_or_else(|| source.since(from));
            match changes.complete {
                true => reader.load(changes.records, at(changes.next)),
                false => reader.extend(changes.records, at(changes.next)),
            }
            let held = reader.since(None).records;
            prop_assert_eq!(held, vec![newest.clone()]);
        }
    }
}
