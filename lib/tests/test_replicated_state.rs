//! Tests of the replicated state: conflicting confirms, duplicates, bounds and invalid records.

mod config_support;

use carobshore_lib::history::MAX_HISTORY;
use carobshore_lib::history::Verdict;
use carobshore_lib::pending::MAX_PENDING;
use carobshore_lib::pending::MAX_PENDING_CHANGES;
use carobshore_lib::plan::MAX_CHANGES;
use carobshore_lib::prelude::*;
use carobshore_lib::snapshot::Snapshot;
use config_support::*;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

fn base() -> (TestLog, ReplicatedState) {
    let (mut log, mut state) = (TestLog::default(), ReplicatedState::default());
    confirm_changes(&mut log, &mut state, 1, service_with_targets("status", 3));
    (log, state)
}

/// Guards against two confirms of plans on the same base both taking effect, and against VMs that
/// decide differently because they read duplicates or started from a snapshot.
#[test]
fn exactly_one_of_two_conflicting_confirms_takes_effect() {
    for seed in 0..1_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut log, mut state) = base();
        let gwen = intent(10, "gwen", vec![set_slots("status", 1, 4)]);
        let salma = intent(20, "salma", vec![add_target("status", 9)]);
        let mut intents = [gwen.clone(), gwen.clone(), salma.clone()];
        intents.shuffle(&mut rng);
        let first = confirm(11, "gwen", state.config(), &gwen);
        let second = confirm(21, "salma", state.config(), &salma);
        let mut rest = vec![first.clone(), first, second.clone(), second, gwen, salma];
        rest.shuffle(&mut rng);
        for record in intents.iter().chain(&rest) {
            let offset = log.append(record);
            state.apply(offset, record);
        }
        let entries = [record_id(11), record_id(21)].map(|id| state.entry_of(id).unwrap().clone());
        let winner = entries
            .iter()
            .position(|entry| entry.is_in_force())
            .unwrap();
        let (winner, loser) = (&entries[winner], &entries[1 - winner]);
        assert!(winner.confirm.offset < loser.confirm.offset, "seed {seed}");
        let by = Some(winner.confirm.clone());
        let code = ResultCode::StalePlan.number();
        assert_eq!(loser.verdict, Verdict::Rejected { code, by }, "seed {seed}");
        assert_eq!(
            state.config().version(&id("status")),
            Version(2),
            "seed {seed}"
        );

        assert_eq!(log.replay(u64::MAX), state, "seed {seed}");
        let cut = rng.random_range(0..log.texts.len() as u64);
        let mut restored = Snapshot::decode(&Snapshot::encode(&log.replay(cut))).unwrap();
        for (offset, text) in log.texts.iter().enumerate() {
            restored.apply_text(Offset(offset as u64), text);
            restored.apply_text(Offset(offset as u64), text);
        }
        assert_eq!(restored, state, "seed {seed}, snapshot at {cut}");
    }
}

/// Guards against the second of two operators who confirm the same intent being told that it is
/// unknown, since confirmed intents are no longer pending.
#[test]
fn a_second_confirm_of_the_same_intent_names_the_first() {
    let (mut log, mut state) = base();
    let proposed = intent(10, "gwen", vec![set_slots("status", 1, 4)]);
    let first = confirm(11, "gwen", state.config(), &proposed);
    let second = confirm(12, "salma", state.config(), &proposed);
    for record in [&proposed, &first] {
        state.apply(log.append(record), record);
    }
    let applied = state.apply(log.append(&second), &second);
    let by = Some(state.entry_of(record_id(11)).unwrap().confirm.offset);
    let code = ResultCode::StalePlan;
    assert_eq!(applied, ApplyOutcome::Rejected { code, by });
}

/// Guards against accepting a confirm with another plan, other bases or an unknown intent.
#[test]
fn a_confirm_must_match_the_plan() {
    let (_, state) = base();
    let proposed = intent(10, "gwen", vec![set_slots("status", 1, 4)]);
    let good = confirm(11, "gwen", state.config(), &proposed);
    let edit = |change: &dyn Fn(&mut carobshore_lib::record::Confirm)| {
        let mut record = good.clone();
        if let Body::Confirm(confirm) = &mut record.body {
            change(confirm);
        }
        let mut state = state.clone();
        let at = state.applied();
        state.apply(at, &proposed);
        state.apply(at.next(), &record)
    };
    let rejected = |code| ApplyOutcome::Rejected { code, by: None };
    assert_eq!(edit(&|_| {}), ApplyOutcome::Applied);
    let digest = edit(&|confirm| confirm.digest.0[31] ^= 1);
    assert_eq!(digest, rejected(ResultCode::DigestMismatch));
    let fewer = edit(&|confirm| confirm.bases.clear());
    assert_eq!(fewer, rejected(ResultCode::DigestMismatch));
    let more = edit(&|confirm| {
        confirm.bases.insert(id("rack"), Version(0));
    });
    assert_eq!(more, rejected(ResultCode::DigestMismatch));
    let unknown = edit(&|confirm| confirm.intent = record_id(99));
    assert_eq!(unknown, rejected(ResultCode::UnknownIntent));
    let newer = edit(&|confirm| {
        confirm.bases.insert(id("status"), Version(2));
    });
    assert!(matches!(
        newer,
        ApplyOutcome::Rejected {
            code: ResultCode::StalePlan,
            ..
        }
    ));
}

/// Guards against reusing a version or generation if a service is removed and added again: VMs
/// would mistake the new target for the drained one.
#[test]
fn versions_and_generations_never_repeat() {
    let (mut log, mut state) = base();
    let remove = vec![Change::RemoveService {
        service: id("status"),
    }];
    confirm_changes(&mut log, &mut state, 10, vec![mark_leaving("status", 1)]);
    confirm_changes(&mut log, &mut state, 20, remove);
    confirm_changes(&mut log, &mut state, 30, service_with_targets("status", 1));
    let service = &state.config().services[&id::<ServiceId>("status")];
    assert_eq!(service.version, Version(3));
    assert_eq!(service.targets[&id::<TargetId>("status-1")].generation, 3);
    confirm_changes(&mut log, &mut state, 40, vec![mark_leaving("status", 1)]);
    confirm_changes(&mut log, &mut state, 50, vec![add_target("status", 1)]);
    let target = &state.config().services[&id::<ServiceId>("status")].targets[&id("status-1")];
    assert_eq!((target.generation, target.state), (5, TargetState::Serving));
}

/// Guards against unbounded growth of the state through unconfirmed intents and rejected confirms.
#[test]
fn the_state_is_bounded() {
    let mut state = ReplicatedState::default();
    for number in 0..3 * MAX_PENDING as u128 {
        let small = intent(number, "gwen", vec![add_service("status")]);
        state.apply(state.applied(), &small);
    }
    assert_eq!(state.pending().count(), MAX_PENDING);
    assert_eq!(
        state.pending().next().unwrap().id,
        record_id(2 * MAX_PENDING as u128)
    );
    let large: Vec<_> = (0..MAX_CHANGES).map(|n| add_target("status", n)).collect();
    for number in 10_000..10_100 {
        let large = intent(number, "gwen", large.clone());
        state.apply(state.applied(), &large);
    }
    assert_eq!(state.pending().count(), MAX_PENDING_CHANGES / MAX_CHANGES);
    let too_large = [large, vec![add_target("status", 1)]].concat();
    let too_large = intent(20_000, "gwen", too_large);
    let code = ResultCode::BadIntent;
    let applied = state.apply(state.applied(), &too_large);
    assert_eq!(applied, ApplyOutcome::Rejected { code, by: None });
    let proposed = intent(1, "gwen", vec![add_service("rack")]);
    for number in 30_000..30_000 + 2 * MAX_HISTORY as u128 {
        let unknown = confirm(number, "gwen", state.config(), &proposed);
        state.apply(state.applied(), &unknown);
    }
    assert_eq!(state.history().count(), MAX_HISTORY);
}

/// Guards against skipping a missing record.
#[test]
fn a_gap_changes_nothing() {
    let (_, mut state) = base();
    let before = state.clone();
    let record = join(50, "entry-1.00000001");
    let expected = state.applied();
    assert_eq!(
        state.apply(expected.next(), &record),
        ApplyOutcome::Gap { expected }
    );
    assert_eq!(state, before);
}

proptest! {
    /// Guards against a panic on text that is not a valid record, and against miscounting it.
    #[test]
    fn invalid_records_are_skipped(texts in prop::collection::vec(".{0,80}", 0..20)) {
        let mut state = ReplicatedState::default();
        for text in &texts {
            let code = ResultCode::BadRecord;
            let applied = state.apply_text(state.applied(), text);
            prop_assert_eq!(applied, ApplyOutcome::Rejected { code, by: None });
        }
        prop_assert_eq!(state.skipped(), texts.len() as u64);
        prop_assert_eq!(state.applied(), Offset(texts.len() as u64));
    }

    /// Guards against a corrupted record, which may still be valid JSON, having another effect on a
    /// VM that started from a snapshot.
    #[test]
    fn corrupted_records_have_the_same_effect_after_a_snapshot(seed: u64, cut in 0usize..40) {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut log, mut state) = base();
        let old = state.config().clone();
        for _ in 0..40 {
            append_random(&mut log, &mut state, &mut rng, &old);
            let mut text = log.texts[rng.random_range(0..log.texts.len())].clone().into_bytes();
            let at = rng.random_range(0..text.len());
            text[at] = rng.random_range(32..127);
            let text = String::from_utf8_lossy(&text).into_owned();
            let offset = log.append_text(text.clone());
            state.apply_text(offset, &text);
        }
        let mut restored = Snapshot::decode(&Snapshot::encode(&log.replay(cut as u64))).unwrap();
        for (offset, text) in log.texts.iter().enumerate().skip(cut) {
            restored.apply_text(Offset(offset as u64), text);
        }
        prop_assert_eq!(&restored, &state);
        prop_assert_eq!(Snapshot::encode(&restored), Snapshot::encode(&state));
    }
}
