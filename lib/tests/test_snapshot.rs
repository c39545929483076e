//! Tests of snapshots: equal states have equal encodings, and an incomplete set is an error.

mod config_support;

use carobshore_lib::prelude::*;
use carobshore_lib::snapshot::Snapshot;
use config_support::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// Returns a state whose snapshot has several chunks.
fn large_state() -> ReplicatedState {
    let (mut log, mut state) = (TestLog::default(), ReplicatedState::default());
    for number in 0..6 {
        let service = format!("service-{number}");
        confirm_changes(
            &mut log,
            &mut state,
            10 * number + 1,
            service_with_targets(&service, 400),
        );
    }
    state
}

fn code(records: &[Record]) -> Option<ResultCode> {
    Snapshot::decode(records).err().map(|error| error.code)
}

/// Guards against two VMs with the same state appending different snapshots, and against a decoder
/// that depends on the order of the chunks or fails on duplicates.
#[test]
fn equal_states_have_equal_chunks_that_decode_in_any_order() {
    let state = large_state();
    let mut records = Snapshot::encode(&state);
    assert!(records.len() > 3);
    assert_eq!(Snapshot::encode(&large_state()), records);
    records.extend(records.clone());
    records.shuffle(&mut StdRng::seed_from_u64(1));
    let decoded = Snapshot::decode(&records).unwrap();
    assert_eq!(decoded, state);
    let texts: Vec<_> = records.iter().map(Record::to_json).collect();
    let parsed: Vec<_> = texts
        .iter()
        .map(|text| Record::parse(text).unwrap())
        .collect();
    assert_eq!(Snapshot::decode(&parsed).unwrap(), state);
}

/// Guards against mistaking a part of a configuration for all of it.
#[test]
fn incomplete_mixed_or_corrupted_sets_are_rejected() {
    let bad = Some(ResultCode::BadSnapshot);
    let records = Snapshot::encode(&large_state());
    assert_eq!(code(&[]), bad);
    for missing in 0..records.len() {
        let mut rest = records.clone();
        rest.remove(missing);
        assert_eq!(code(&rest), bad, "chunk {missing} is missing");
    }
    let other = Snapshot::encode(&ReplicatedState::default());
    assert_eq!(code(&[&records[..], &other].concat()), bad);
    assert_eq!(
        code(&[records.clone(), vec![join(1, "entry-1.00000001")]].concat()),
        bad
    );
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..200 {
        let mut damaged = records.clone();
        let index = rng.random_range(0..damaged.len());
        let Body::Snapshot(chunk) = &mut damaged[index].body else {
            panic!("a snapshot consists of chunks");
        };
        let mut data = chunk.data.to_string().into_bytes();
        let at = rng.random_range(0..data.len());
        data[at] = if data[at] == b'A' { b'B' } else { b'A' };
        chunk.data = String::from_utf8(data).unwrap().into();
        assert_eq!(code(&damaged), bad);
    }
    for edit in [
        |chunk: &mut carobshore_lib::record::Chunk| chunk.count += 1,
        |chunk: &mut carobshore_lib::record::Chunk| chunk.upto = chunk.upto.next(),
        |chunk: &mut carobshore_lib::record::Chunk| chunk.digest.0[0] ^= 1,
    ] {
        let mut damaged = records.clone();
        for record in &mut damaged {
            if let Body::Snapshot(chunk) = &mut record.body {
                edit(chunk);
            }
        }
        assert_eq!(code(&damaged), bad);
    }
}

/// Guards against a VM that started from a snapshot accepting what other VMs reject as a duplicate
/// or as a stale confirm.
#[test]
fn duplicates_and_stale_confirms_have_the_same_result_after_a_snapshot() {
    let (mut log, mut state) = (TestLog::default(), ReplicatedState::default());
    confirm_changes(&mut log, &mut state, 1, service_with_targets("status", 3));
    let gwen = intent(10, "gwen", vec![set_slots("status", 1, 4)]);
    let salma = intent(20, "salma", vec![set_slots("status", 1, 6)]);
    let second = confirm(21, "salma", state.config(), &salma);
    let first = confirm(11, "gwen", state.config(), &gwen);
    for record in [&gwen, &salma, &first] {
        state.apply(state.applied(), record);
    }
    let mut restored = Snapshot::decode(&Snapshot::encode(&state)).unwrap();
    for record in [&first, &gwen, &second, &second] {
        let applied = state.apply(state.applied(), record);
        assert_eq!(restored.apply(restored.applied(), record), applied);
    }
    assert_eq!(restored, state);
    assert_eq!(
        state.entry_of(record_id(21)),
        restored.entry_of(record_id(21))
    );
    assert!(!state.entry_of(record_id(21)).unwrap().is_in_force());
}
