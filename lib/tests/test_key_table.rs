//! Tests of the key table and of the check of the wall clock.

use std::time::Duration;
use std::time::SystemTime;

use carobshore_lib::key_history::FUTURE_LIMIT;
use carobshore_lib::key_history::KEY_LIFETIME;
use carobshore_lib::key_history::SKEW_MARGIN;
use carobshore_lib::key_table::MAX_STORED_RESPONSE;
use carobshore_lib::key_table::MAX_WAITERS;
use carobshore_lib::prelude::*;
use carobshore_testutils::keys::key_at;
use carobshore_testutils::manual_clock::ManualClock;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

struct Fixture {
    clock: ManualClock,
    table: KeyTable,
    lease: ReadLease,
}

impl Fixture {
    /// A table that is old enough to accept fresh keys, under a valid lease.
    fn new(limits: KeyLimits) -> Self {
        let clock = ManualClock::default();
        let table = KeyTable::new(clock.now(), clock.wall(), limits);
        clock.advance(Duration::from_secs(60));
        let mut fixture = Self {
            clock,
            table,
            lease: ReadLease::default(),
        };
        fixture.renew();
        fixture
    }

    fn renew(&mut self) {
        self.lease.read_ok(self.clock.now(), true);
    }

    fn pass(&mut self, time: Duration) {
        self.clock.advance(time);
        self.renew();
    }

    fn begin_as(&mut self, key: RequestKey, fingerprint: u64, own: Ownership) -> KeyDecision {
        let call = KeyedCall { key, fingerprint };
        let (now, wall) = (self.clock.now(), self.clock.wall());
        self.table.begin(now, wall, call, own, &self.lease)
    }

    fn begin(&mut self, key: RequestKey) -> KeyDecision {
        self.begin_as(key, 7, Ownership::Owned)
    }

    fn key(&self, n: u64) -> RequestKey {
        key_at(self.clock.wall(), n)
    }

    fn code(&mut self, key: RequestKey) -> (Outcome, ResultCode) {
        refusal(&self.begin(key))
    }
}

fn refusal(decision: &KeyDecision) -> (Outcome, ResultCode) {
    match decision {
        KeyDecision::Refuse { outcome, code } => (*outcome, *code),
        other => panic!("not refused: {other:?}"),
    }
}

fn answer(size: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: vec![7; size].into(),
    }
}

/// Guards against a duplicate that runs, and against one that gets another answer.
#[test]
fn duplicates_wait_and_get_the_first_answer() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let key = fixture.key(1);
    assert_eq!(fixture.begin(key), KeyDecision::Run);
    assert_eq!(fixture.begin(key), KeyDecision::Wait);
    let waiters = fixture
        .table
        .finish(key, StoredOutcome::Whole(Some(answer(3))));
    assert_eq!(waiters, KeyDecision::Replay(answer(3)));
    assert_eq!(fixture.begin(key), KeyDecision::Replay(answer(3)));
    // What is known is told without a lease and without ownership: nothing runs.
    fixture.clock.advance(Duration::from_secs(60));
    let decision = fixture.begin_as(key, 7, Ownership::NotOwner);
    assert_eq!(decision, KeyDecision::Replay(answer(3)));
}

/// Guards against a false "not run" or a second run after each way in which the first can end.
#[test]
fn ends_without_an_answer_decide_about_duplicates() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let large = answer(MAX_STORED_RESPONSE.as_usize() + 1);
    let cases = [
        (StoredOutcome::Whole(Some(large)), ResultCode::AnswerNotKept),
        (StoredOutcome::Whole(None), ResultCode::AnswerNotKept),
        (
            StoredOutcome::MayHaveRun(ResultCode::ConnectionBroken),
            ResultCode::ConnectionBroken,
        ),
    ];
    for (n, (outcome, code)) in cases.into_iter().enumerate() {
        let key = fixture.key(n as u64);
        assert_eq!(fixture.begin(key), KeyDecision::Run);
        let waiters = fixture.table.finish(key, outcome);
        assert_eq!(refusal(&waiters), (Outcome::MayHaveRun, code));
        assert_eq!(fixture.code(key), (Outcome::MayHaveRun, code));
    }
    let key = fixture.key(9);
    assert_eq!(fixture.begin(key), KeyDecision::Run);
    let refused = StoredOutcome::NotRun(ResultCode::TargetRefused);
    let waiters = fixture.table.finish(key, refused);
    assert_eq!(refusal(&waiters).0, Outcome::NotRun);
    assert_eq!(
        fixture.begin(key),
        KeyDecision::Run,
        "the key is free again"
    );
    // An end that is reported twice changes nothing.
    fixture
        .table
        .finish(key, StoredOutcome::Whole(Some(answer(1))));
    fixture
        .table
        .finish(key, StoredOutcome::NotRun(ResultCode::TargetRefused));
    assert_eq!(fixture.begin(key), KeyDecision::Replay(answer(1)));
}

/// Guards against a caller who gets the response to another caller's request.
#[test]
fn a_key_with_another_fingerprint_is_refused() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let key = fixture.key(1);
    fixture.begin(key);
    let reused = (Outcome::NotRun, ResultCode::KeyReused);
    assert_eq!(refusal(&fixture.begin_as(key, 8, Ownership::Owned)), reused);
    fixture
        .table
        .finish(key, StoredOutcome::Whole(Some(answer(1))));
    assert_eq!(refusal(&fixture.begin_as(key, 8, Ownership::Owned)), reused);
}

/// Guards against a run without ownership, without a lease, or outside the age that is covered.
#[test]
fn refusals_name_their_reason() {
    use Outcome::MayHaveRun;
    use Outcome::NotRun;
    let mut fixture = Fixture::new(KeyLimits::default());
    let wall = fixture.clock.wall();
    let late = key_at(wall + FUTURE_LIMIT + MS, 1);
    assert_eq!(fixture.code(late), (NotRun, ResultCode::KeyFromFuture));
    let early = key_at(wall - KEY_LIFETIME - MS, 2);
    assert_eq!(fixture.code(early), (MayHaveRun, ResultCode::KeyTooOld));
    let key = fixture.key(3);
    let cases = [
        (Ownership::NotOwner, NotRun, ResultCode::NotKeyOwner),
        (Ownership::Moving, NotRun, ResultCode::OwnershipMoving),
        (
            Ownership::EarlierOwner,
            MayHaveRun,
            ResultCode::KeyBeforeOwnership,
        ),
    ];
    for (ownership, outcome, code) in cases {
        let decision = fixture.begin_as(key, 7, ownership);
        assert_eq!(refusal(&decision), (outcome, code));
    }
    fixture.clock.advance(Duration::from_secs(10));
    let key = fixture.key(4);
    assert_eq!(fixture.code(key), (NotRun, ResultCode::LeaseLapsed));
}

/// Guards against a VM that is paused between its decision and the first byte.
#[test]
fn the_lease_is_checked_again_before_the_first_byte() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let key = fixture.key(1);
    assert_eq!(fixture.begin(key), KeyDecision::Run);
    let (now, wall) = (fixture.clock.now(), fixture.clock.wall());
    assert!(fixture.table.may_send(now, wall, &fixture.lease));
    fixture.clock.advance(Duration::from_secs(11));
    let (now, wall) = (fixture.clock.now(), fixture.clock.wall());
    assert!(!fixture.table.may_send(now, wall, &fixture.lease));
}

/// Guards against a table that was lost with its component while the VM kept its id.
#[test]
fn a_new_table_refuses_keys_from_before() {
    let clock = ManualClock::default();
    let table = KeyTable::new(clock.now(), clock.wall(), KeyLimits::default());
    let mut fixture = Fixture {
        clock,
        table,
        lease: ReadLease::default(),
    };
    fixture.renew();
    let key = fixture.key(1);
    let before = (Outcome::MayHaveRun, ResultCode::KeyBeforeOwnership);
    assert_eq!(fixture.code(key), before);
    fixture.pass(SKEW_MARGIN);
    assert_eq!(fixture.code(key), before);
    let key = fixture.key(2);
    assert_eq!(fixture.begin(key), KeyDecision::Run);
}

/// Guards against a wall clock that steps back after an outcome was given up: its key would look
/// young again.
#[test]
fn a_forgotten_key_stays_refused_when_the_clock_goes_back() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let key = fixture.key(1);
    fixture.begin(key);
    fixture
        .table
        .finish(key, StoredOutcome::Whole(Some(answer(1))));
    fixture.pass(KEY_LIFETIME + SECOND);
    let wall = fixture.clock.wall();
    fixture.table.tick(fixture.clock.now(), wall);
    assert!(fixture.table.is_empty());
    fixture.clock.step_wall(wall - Duration::from_secs(60));
    for _ in 0..100 {
        fixture.pass(SECOND);
        let (outcome, _) = fixture.code(key);
        let stepped = fixture.table.clock_steps() > 0;
        assert!(stepped, "the step goes unnoticed");
        let decision = fixture.begin(key);
        assert_ne!(decision, KeyDecision::Run);
        assert!(outcome != Outcome::Whole);
    }
}

/// Guards against unbounded memory, and against eviction that lets a key run again.
#[test]
fn memory_is_bounded_and_evicted_keys_stay_refused() {
    let limits = KeyLimits {
        keys: 50,
        responses: ByteSize(1_000),
    };
    let mut fixture = Fixture::new(limits);
    let mut keys = Vec::new();
    for n in 0..200 {
        fixture.pass(10 * MS);
        let key = fixture.key(n);
        assert_eq!(fixture.begin(key), KeyDecision::Run);
        fixture
            .table
            .finish(key, StoredOutcome::Whole(Some(answer(100))));
        keys.push(key);
        assert!(fixture.table.len() <= 50);
        assert!(fixture.table.response_bytes() <= 1_000);
    }
    for (n, key) in keys.into_iter().enumerate() {
        let decision = fixture.begin(key);
        match n {
            0..150 => assert_eq!(refusal(&decision).1, ResultCode::KeyTooOld),
            150..190 => assert_eq!(refusal(&decision).1, ResultCode::AnswerNotKept),
            _ => assert_eq!(decision, KeyDecision::Replay(answer(100))),
        }
    }
}

/// Guards against an expiring key whose request still runs, and against endless waiters.
#[test]
fn running_keys_outlive_their_age() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let key = fixture.key(1);
    fixture.begin(key);
    fixture.pass(KEY_LIFETIME * 2);
    for _ in 0..MAX_WAITERS {
        assert_eq!(fixture.begin(key), KeyDecision::Wait);
    }
    let refused = (Outcome::MayHaveRun, ResultCode::StillRunning);
    assert_eq!(fixture.code(key), refused);
    fixture.table.waiter_gone(&key);
    assert_eq!(fixture.begin(key), KeyDecision::Wait);
    assert_eq!(fixture.table.running(), 1);
}

/// Guards against keys judged by a clock that has just stepped, and against a lease of a VM whose
/// monotonic clock stood still while the wall clock went on.
#[test]
fn a_clock_step_stops_keyed_requests_until_the_margin_is_safe() {
    for (step, forward) in [(30, true), (30, false), (2, true), (3_600, false)] {
        let mut fixture = Fixture::new(KeyLimits::default());
        let step = Duration::from_secs(step);
        let wall = fixture.clock.wall();
        let moved = if forward { wall + step } else { wall - step };
        fixture.clock.step_wall(moved);
        let key = fixture.key(1);
        assert_eq!(
            fixture.code(key),
            (Outcome::NotRun, ResultCode::ClockStepped)
        );
        let hold = step.min(KEY_LIFETIME) + SKEW_MARGIN;
        fixture.pass(hold - MS);
        let key = fixture.key(2);
        assert_eq!(fixture.code(key).1, ResultCode::ClockStepped);
        fixture.pass(MS);
        let key = fixture.key(3);
        let held = fixture.clock.wall() < wall - Duration::from_secs(60) + SKEW_MARGIN;
        match held {
            // The table is older than the moment that a large step back has set as "now".
            true => assert_eq!(fixture.code(key).0, Outcome::MayHaveRun),
            false => assert_eq!(fixture.begin(key), KeyDecision::Run),
        }
    }
    let mut fixture = Fixture::new(KeyLimits::default());
    let wall: SystemTime = fixture.clock.wall();
    // Suspended for a minute: the lease looks young, and no read was issued since.
    fixture.clock.step_wall(wall + Duration::from_secs(60));
    let key = fixture.key(1);
    assert_eq!(fixture.code(key).1, ResultCode::ClockStepped);
    let (now, wall) = (fixture.clock.now(), fixture.clock.wall());
    assert!(!fixture.table.may_send(now, wall, &fixture.lease));
}

/// Guards against small steps that go unnoticed one by one, and against alarms by a slewed clock.
#[test]
fn small_steps_add_up_and_a_slew_is_followed() {
    let clock = ManualClock::default();
    let mut guard = ClockStepDetector::new(clock.now(), clock.wall());
    for _ in 0..2_000 {
        clock.advance(SECOND);
        clock.step_wall(clock.wall() + Duration::from_micros(500));
        assert!(guard.observe(clock.now(), clock.wall()));
    }
    let mut trusted = true;
    for _ in 0..3 {
        clock.advance(SECOND);
        clock.step_wall(clock.wall() + 600 * MS);
        trusted &= guard.observe(clock.now(), clock.wall());
    }
    assert!(!trusted);
    assert_eq!(guard.steps(), 1);
}
