//! Tests of the follower: whatever the log and the peers answer, its state is that of the log at
//! some offset, never goes back to a lower one, and a gap is reported as an error.

mod config_support;

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::follower::Follower;
use carobshore_lib::follower_message::FollowerAction;
use carobshore_lib::follower_message::FollowerEvent;
use carobshore_lib::follower_message::FollowerSettings;
use carobshore_lib::log_page::LogPage;
use carobshore_lib::prelude::*;
use carobshore_lib::snapshot::Snapshot;
use config_support::*;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const STEP: Duration = Duration::from_millis(100);

/// A follower, its clock, and the actions that it has returned.
struct Vm {
    follower: Follower,
    now: Instant,
    actions: Vec<FollowerAction>,
    /// The highest applied offset that the follower has reported.
    reported: Option<Offset>,
}

impl Vm {
    fn new(settings: FollowerSettings) -> Self {
        let now = Instant::now();
        Self {
            follower: Follower::new(now, settings),
            now,
            actions: Vec::new(),
            reported: None,
        }
    }

    fn handle(&mut self, event: FollowerEvent) {
        self.follower.handle(self.now, event, &mut self.actions);
        let applied = self.follower.applied_offset();
        assert!(
            applied >= self.reported,
            "from {:?} back to {applied:?}",
            self.reported
        );
        self.reported = applied;
    }

    fn tick(&mut self) {
        self.now += STEP;
        self.handle(FollowerEvent::Tick);
    }

    fn peer_offset(&mut self, vm: &str, applied: Offset) {
        let vm = id(vm);
        self.handle(FollowerEvent::PeerOffset { vm, applied });
    }

    fn read(&mut self) -> Option<(Offset, u32)> {
        let is_read = |action: &FollowerAction| matches!(action, FollowerAction::Read { .. });
        let index = self.actions.iter().position(is_read)?;
        match self.actions.remove(index) {
            FollowerAction::Read { from, max } => Some((from, max)),
            _ => None,
        }
    }

    /// Ticks and answers all reads from the log.
    fn run(&mut self, log: &TestLog, ticks: usize) {
        for _ in 0..ticks {
            self.tick();
            while let Some((from, max)) = self.read() {
                let event = response(log, self.now, from, max);
                self.handle(event);
            }
        }
    }

    fn error(&self) -> Option<&Error> {
        self.actions.iter().find_map(|action| match action {
            FollowerAction::Report(error) => Some(error),
            _ => None,
        })
    }

    fn has_caught_up(&self) -> bool {
        let caught_up = |action: &FollowerAction| matches!(action, FollowerAction::CaughtUp { .. });
        self.actions.iter().any(caught_up)
    }

    fn snapshot_due(&self) -> bool {
        let due = |action: &FollowerAction| matches!(action, FollowerAction::AppendSnapshot { .. });
        self.actions.iter().any(due)
    }

    fn fetches(&mut self, wanted: &FollowerAction) -> bool {
        let found = self.actions.contains(wanted);
        self.actions.clear();
        found
    }
}

fn response(log: &TestLog, issued: Instant, from: Offset, max: u32) -> FollowerEvent {
    match log.read(from, max) {
        Ok(page) => FollowerEvent::Page { from, issued, page },
        Err(first) => FollowerEvent::Expired { first },
    }
}

fn settings(vm: Option<&str>) -> FollowerSettings {
    FollowerSettings {
        vm: vm.map(id),
        page_size: 7,
        ..FollowerSettings::default()
    }
}

fn append_many(log: &mut TestLog, state: &mut ReplicatedState, rng: &mut StdRng, count: usize) {
    let old = state.config().clone();
    for _ in 0..count {
        append_random(log, state, rng, &old);
    }
}

/// Corrupts a page at random: truncates, removes, shuffles or duplicates records, or changes the
/// end.
fn corrupt_page(rng: &mut StdRng, page: &mut LogPage) {
    let length = page.records.len();
    match rng.random_range(0..6) {
        0 => page.records.truncate(rng.random_range(0..=length)),
        1 if length > 0 => drop(page.records.remove(rng.random_range(0..length))),
        2 => page.records.shuffle(rng),
        3 => page.records.extend(page.records.clone()),
        4 => page.next = Offset(rng.random_range(0..page.next.0 + 2)),
        _ => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against reordered, repeated or incomplete responses and expired records giving a
    /// configuration that differs from the log's, is older than before, or is empty where an error
    /// is due.
    #[test]
    fn a_follower_has_the_configuration_of_the_log_or_reports_an_error(seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut log, mut state) = (TestLog::default(), ReplicatedState::default());
        // A short range, so that the search for a snapshot takes several steps.
        let mut vm = Vm::new(FollowerSettings { snapshot_every: 8, ..settings(None) });
        let mut responses: Vec<FollowerEvent> = Vec::new();
        let mut compared = None;
        for _ in 0..60 {
            let count = rng.random_range(0..4);
            append_many(&mut log, &mut state, &mut rng, count);
            if rng.random_bool(0.1) {
                for record in Snapshot::encode(&state) {
                    state.apply(log.append(&record), &record);
                }
            }
            if rng.random_bool(0.05) {
                log.first = rng.random_range(log.first..=log.next().0);
            }
            vm.tick();
            if let Some((from, max)) = vm.read() {
                let mut event = response(&log, vm.now, from, max);
                if let FollowerEvent::Page { page, .. } = &mut event {
                    corrupt_page(&mut rng, page);
                }
                responses.push(event);
            }
            if rng.random_bool(0.1) {
                vm.handle(FollowerEvent::ReadFailed);
            }
            for _ in 0..rng.random_range(0..3) {
                if !responses.is_empty() {
                    let event = responses[rng.random_range(0..responses.len())].clone();
                    vm.handle(event);
                }
            }
            if rng.random_bool(0.3) {
                responses.clear();
            }
            if let Some(offset) = vm.reported.filter(|offset| compared != Some(*offset)) {
                prop_assert_eq!(vm.follower.state(), &log.replay(offset.0));
                compared = Some(offset);
            }
        }
        vm.actions.clear();
        vm.run(&log, 120);
        if vm.follower.applied_offset() == Some(log.next()) {
            prop_assert!(vm.follower.is_ready());
            prop_assert_eq!(vm.follower.state(), &state);
            prop_assert!(vm.has_caught_up());
        } else {
            prop_assert!(log.first > 0, "nothing has expired");
            prop_assert_eq!(vm.error().map(|error| error.code), Some(ResultCode::LogGap));
            prop_assert!(!vm.has_caught_up());
        }
    }
}

/// Guards against the property above passing only because its random logs change nothing.
#[test]
fn random_logs_have_accepted_and_rejected_confirms() {
    let (mut log, mut state) = (TestLog::default(), ReplicatedState::default());
    let mut rng = StdRng::seed_from_u64(3);
    append_many(&mut log, &mut state, &mut rng, 1_000);
    let rejected = state.history().filter(|entry| !entry.is_in_force()).count();
    assert!(state.confirms() > 20, "{}", state.confirms());
    assert!(rejected > 20, "{rejected}");
    assert!(state.skipped() > 0 && !state.roster().members.is_empty());
}

/// Returns a log with one service and two members, and its state.
fn sample() -> (TestLog, ReplicatedState) {
    let (mut log, mut state) = (TestLog::default(), ReplicatedState::default());
    confirm_changes(&mut log, &mut state, 1, service_with_targets("status", 3));
    for record in [join(5, "entry-1.00000001"), join(6, "entry-2.00000001")] {
        state.apply(log.append(&record), &record);
    }
    (log, state)
}

/// Guards against a VM that starts during a log outage serving nothing, or an older state than a
/// reachable peer has.
#[test]
fn without_a_log_a_vm_starts_from_the_most_advanced_peer() {
    let (mut log, older) = sample();
    let mut newer = older.clone();
    confirm_changes(&mut log, &mut newer, 10, vec![set_slots("status", 1, 5)]);
    let mut vm = Vm::new(settings(Some("entry-3.00000001")));
    for _ in 0..40 {
        vm.tick();
        vm.handle(FollowerEvent::ReadFailed);
    }
    assert!(!vm.follower.is_ready(), "neither log nor peers");
    let peer = |vm: &str, state: &ReplicatedState| FollowerEvent::PeerSnapshot {
        vm: id(vm),
        records: Snapshot::encode(state),
    };
    vm.peer_offset("entry-1.00000001", older.applied());
    vm.handle(peer("entry-1.00000001", &older));
    assert!(vm.follower.is_ready(), "no reachable peer has more");

    let mut vm = Vm::new(settings(Some("entry-3.00000001")));
    vm.handle(FollowerEvent::ReadFailed);
    vm.peer_offset("entry-1.00000001", older.applied());
    vm.peer_offset("entry-2.00000001", newer.applied());
    vm.handle(peer("entry-1.00000001", &older));
    for _ in 0..30 {
        vm.tick();
    }
    assert!(!vm.follower.is_ready(), "a reachable peer has more");
    vm.actions.clear();
    vm.handle(peer("entry-2.00000001", &newer));
    assert!(vm.follower.is_ready());
    vm.handle(peer("entry-1.00000001", &older));
    assert_eq!(
        vm.follower.state(),
        &newer,
        "an older snapshot changes nothing"
    );
    vm.run(&log, 10);
    assert_eq!(vm.follower.state(), &newer);
    assert!(vm.error().is_none());
}

/// Guards against a change reaching a VM that cannot read the log after more than 4 s, and against
/// records from a peer renewing the read lease.
#[test]
fn a_vm_that_cannot_read_the_log_asks_a_peer_for_records() {
    let (mut log, mut state) = sample();
    let mut peer = Vm::new(settings(None));
    let mut vm = Vm::new(settings(None));
    vm.run(&log, 10);
    confirm_changes(&mut log, &mut state, 10, vec![set_slots("status", 1, 5)]);
    peer.run(&log, 10);
    let start = vm.now;
    let asked = FollowerAction::FetchRecords {
        vm: id("entry-1.00000001"),
        from: vm.follower.state().applied(),
    };
    vm.actions.clear();
    while !vm.fetches(&asked) {
        vm.peer_offset("entry-1.00000001", state.applied());
        vm.tick();
        vm.handle(FollowerEvent::ReadFailed);
        assert!(vm.now < start + Duration::from_secs(2), "asks too late");
    }
    let from = vm.follower.state().applied();
    let page = peer.follower.records_since(from);
    let peer_id: VmId = id("entry-1.00000001");
    vm.handle(FollowerEvent::PeerRecords { vm: peer_id, page });
    assert_eq!(vm.follower.state(), &state);
    assert!(!vm.has_caught_up());
}

/// Guards against a VM that missed expired records being stuck: a snapshot from a peer or from the
/// log closes the gap. Without either it reports an error and keeps the old configuration.
#[test]
fn only_a_snapshot_closes_a_gap_of_expired_records() {
    let (mut log, mut state) = sample();
    let mut vm = Vm::new(settings(None));
    vm.run(&log, 10);
    let before = vm.follower.state().clone();
    confirm_changes(&mut log, &mut state, 10, vec![set_slots("status", 1, 5)]);
    log.first = log.next().0;
    confirm_changes(&mut log, &mut state, 20, vec![set_slots("status", 1, 6)]);
    vm.run(&log, 100);
    assert_eq!(vm.error().unwrap().code, ResultCode::LogGap);
    assert_eq!(vm.follower.state(), &before);

    let mut by_peer = Vm {
        follower: vm.follower.clone(),
        actions: Vec::new(),
        ..vm
    };
    by_peer.peer_offset("entry-1.00000001", state.applied());
    let peer: VmId = id("entry-1.00000001");
    assert!(by_peer.fetches(&FollowerAction::FetchSnapshot { vm: peer.clone() }));
    let records = Snapshot::encode(&state);
    by_peer.handle(FollowerEvent::PeerSnapshot { vm: peer, records });
    assert_eq!(by_peer.follower.state(), &state);

    let mut by_log = Vm {
        actions: Vec::new(),
        ..vm
    };
    for record in Snapshot::encode(&state) {
        state.apply(log.append(&record), &record);
    }
    by_log.run(&log, 100);
    assert_eq!(by_log.follower.state(), &state);
}

/// Guards against serving from a snapshot whose following records have expired: changes that were
/// confirmed after it would be undone.
#[test]
fn a_snapshot_without_the_records_after_it_is_not_used() {
    let (mut log, mut state) = sample();
    let records = Snapshot::encode(&state);
    confirm_changes(&mut log, &mut state, 10, vec![set_slots("status", 1, 5)]);
    log.first = log.next().0;
    for record in &records {
        log.append(record);
    }
    let mut vm = Vm::new(settings(None));
    vm.run(&log, 100);
    assert_eq!(vm.error().unwrap().code, ResultCode::LogGap);
    for _ in 0..100 {
        vm.tick();
        vm.handle(FollowerEvent::ReadFailed);
    }
    assert!(!vm.follower.is_ready());
    assert_eq!(vm.follower.applied_offset(), None);
}

/// Guards against a starting VM reading a whole day of records to find the last snapshot, and
/// against a corrupted last snapshot hiding an older one.
#[test]
fn the_search_for_a_snapshot_starts_at_the_end_of_the_log() {
    let (mut log, mut state) = sample();
    let add = |log: &mut TestLog, state: &mut ReplicatedState, corrupt: bool| {
        for record in Snapshot::encode(state) {
            let text = record.to_json();
            let text = match corrupt {
                true => text.replace("\"data\":\"e", "\"data\":\"f"),
                false => text,
            };
            let offset = log.append_text(text.clone());
            state.apply_text(offset, &text);
        }
    };
    let fill = |log: &mut TestLog, state: &mut ReplicatedState, count: usize| {
        for _ in 0..count {
            state.apply_text(log.append_text("{}".to_owned()), "{}");
        }
    };
    fill(&mut log, &mut state, 500);
    add(&mut log, &mut state, false);
    fill(&mut log, &mut state, 60);
    add(&mut log, &mut state, true);
    for first in [0, 1] {
        log.first = first;
        let mut vm = Vm::new(FollowerSettings {
            snapshot_every: 8,
            ..settings(None)
        });
        let mut reads = Vec::new();
        for _ in 0..200 {
            vm.tick();
            while let Some((from, max)) = vm.read() {
                reads.push(from.0);
                let event = response(&log, vm.now, from, max);
                vm.handle(event);
            }
        }
        assert_eq!(vm.follower.state(), &state);
        assert_eq!(vm.error().unwrap().code, ResultCode::BadSnapshot);
        let between = reads.iter().find(|from| (2..400).contains(*from));
        assert_eq!(between, None, "first {first}");
    }
}

/// Guards against rejecting a long log without a snapshot from which nothing has expired.
#[test]
fn a_long_log_without_a_snapshot_is_applied_from_its_beginning() {
    let (mut log, mut state) = sample();
    for _ in 0..100 {
        state.apply_text(log.append_text("{}".to_owned()), "{}");
    }
    let mut vm = Vm::new(FollowerSettings {
        snapshot_every: 8,
        ..settings(None)
    });
    vm.run(&log, 20);
    assert!(vm.follower.is_ready());
    assert_eq!((vm.follower.state(), vm.error()), (&state, None));
}

/// Guards against a VM going back to an older state if its log is replaced by that of another
/// installation or emptied.
#[test]
fn a_truncated_log_is_reported() {
    let (log, state) = sample();
    let mut vm = Vm::new(settings(None));
    vm.run(&log, 10);
    vm.actions.clear();
    vm.run(&TestLog::default(), 10);
    assert_eq!(vm.error().unwrap().code, ResultCode::LogGap);
    assert_eq!(vm.follower.state(), &state);
}

/// Guards against renewing the read lease, or becoming ready, before the VM has applied everything
/// that was on the log: it could accept keys that another VM owns by now.
#[test]
fn a_follower_has_caught_up_only_after_a_read_to_the_end() {
    let (mut log, _) = sample();
    for _ in 0..20 {
        log.append_text("{}".to_owned());
    }
    let mut vm = Vm::new(settings(None));
    vm.tick();
    while let Some((from, max)) = vm.read() {
        let early = vm.follower.state().applied() < log.next();
        assert_eq!(vm.has_caught_up(), !early);
        assert_eq!(vm.follower.is_ready(), !early);
        let event = response(&log, vm.now, from, max);
        vm.handle(event);
    }
    assert!(vm.has_caught_up() && vm.follower.is_ready());
    assert_eq!(vm.follower.state().applied(), log.next());
}

/// Guards against unbounded memory for the records that are kept for peers, and against a peer
/// mistaking a part of the records for all.
#[test]
fn the_records_kept_for_peers_are_bounded() {
    let (mut log, _) = sample();
    let large = intent(900, "gwen", service_with_targets("rack", 20));
    for _ in 0..50 {
        log.append(&large);
    }
    let size = large.to_json().len();
    let mut vm = Vm::new(FollowerSettings {
        recent_records: 40,
        recent_bytes: 10 * size,
        ..FollowerSettings::default()
    });
    vm.run(&log, 5);
    let oldest = Offset(log.next().0 - 10);
    let kept = vm.follower.records_since(oldest);
    assert_eq!((kept.first, kept.records.len()), (oldest, 10));
    let before = vm.follower.records_since(Offset(oldest.0 - 1));
    assert_eq!((before.first, before.records.len()), (oldest, 0));
    for _ in 0..50 {
        log.append_text("{}".to_owned());
    }
    vm.run(&log, 10);
    let oldest = Offset(log.next().0 - 40);
    assert_eq!(vm.follower.records_since(oldest).records.len(), 40);
}

/// Guards against a follower that stalls because the records do not fit in one response.
#[test]
fn failed_reads_reduce_the_page_size() {
    let (log, state) = sample();
    let mut vm = Vm::new(FollowerSettings::default());
    for _ in 0..2_000 {
        vm.tick();
        while let Some((from, max)) = vm.read() {
            let fits = max <= 2;
            let event = match fits {
                true => response(&log, vm.now, from, max),
                false => FollowerEvent::ReadFailed,
            };
            vm.handle(event);
        }
    }
    assert_eq!(vm.follower.state(), &state);
}

/// Guards against every VM appending a snapshot, and against none doing so: after many records,
/// after a long time on a quiet log, close to expiry, or if the VM with the first rank is gone.
#[test]
fn a_snapshot_is_due_by_count_or_age_and_the_first_rank_appends_it() {
    let (mut log, mut state) = sample();
    let eager = |vm: &str| FollowerSettings {
        snapshot_every: 2,
        ..settings(Some(vm))
    };
    let mut first = Vm::new(eager("entry-1.00000001"));
    let mut second = Vm::new(eager("entry-2.00000001"));
    first.run(&log, 5);
    second.run(&log, 5);
    assert!(first.snapshot_due());
    assert!(!second.snapshot_due(), "the second rank waits");
    let mut alone = Vm::new(eager("entry-2.00000001"));
    alone.run(&log, 40);
    assert!(alone.snapshot_due(), "the first rank is gone");
    for record in Snapshot::encode(&state) {
        state.apply(log.append(&record), &record);
    }
    second.run(&log, 60);
    assert!(!second.snapshot_due(), "the first rank has appended it");

    let mut quiet = Vm::new(settings(Some("entry-1.00000001")));
    quiet.run(&log, 5);
    assert!(!quiet.snapshot_due());
    quiet.now += FollowerSettings::default().snapshot_age;
    quiet.run(&log, 5);
    assert!(quiet.snapshot_due());
    log.first = state.newest_snapshot().unwrap().upto.0;
    let mut expiring = Vm::new(settings(Some("entry-1.00000001")));
    expiring.run(&log, 5);
    assert_eq!(expiring.follower.state(), &state);
    assert!(
        expiring.snapshot_due(),
        "the snapshot is the oldest that is retained"
    );
}
