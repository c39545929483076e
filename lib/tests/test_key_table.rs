//! Tests of the key table and of the detection of wall-clock steps.

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
    /// Creates a table that is old enough to accept fresh keys, under a valid lease.
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

    fn advance(&mut self, time: Duration) {
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

    fn refusal_of(&mut self, key: RequestKey) -> (Outcome, ResultCode) {
        refusal(&self.begin(key))
    }
}

fn refusal(decision: &KeyDecision) -> (Outcome, ResultCode) {
    match decision {
        KeyDecision::Refuse { outcome, code } => (*outcome, *code),
        other => panic!("not refused: {other:?}"),
    }
}

fn response(size: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: vec![7; size].into(),
    }
}

/// Guards against a duplicate that runs, and against a duplicate that gets another response.
#[test]
fn duplicates_wait_and_get_the_first_response() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let key = fixture.key(1);
    assert_eq!(fixture.begin(key), KeyDecision::Run);
    assert_eq!(fixture.begin(key), KeyDecision::Wait);
    let waiters = fixture
        .table
        .finish(key, StoredOutcome::Whole(Some(response(3))));
    assert_eq!(waiters, KeyDecision::Replay(response(3)));
    assert_eq!(fixture.begin(key), KeyDecision::Replay(response(3)));
    // A known result is returned without a lease and without ownership, because nothing runs.
    fixture.clock.advance(Duration::from_secs(60));
    let decision = fixture.begin_as(key, 7, Ownership::NotOwner);
    assert_eq!(decision, KeyDecision::Replay(response(3)));
}

/// Guards against a false "not run" or a second run, for each way in which the first request can
/// end.
#[test]
fn requests_without_a_response_decide_the_outcome_of_duplicates() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let large = response(MAX_STORED_RESPONSE.as_usize() + 1);
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
        assert_eq!(fixture.refusal_of(key), (Outcome::MayHaveRun, code));
    }
    let key = fixture.key(9);
    assert_eq!(fixture.begin(key), KeyDecision::Run);
    let refused = StoredOutcome::NotRun(ResultCode::TargetRefused);
    let waiters = fixture.table.finish(key, refused);
    assert_eq!(refusal(&waiters).0, Outcome::NotRun);
    assert_eq!(
        fixture.begin(key),
        KeyDecision::Run,
        "the key may be used again"
    );
    // Reporting the end of a request a second time has no effect.
    fixture
        .table
        .finish(key, StoredOutcome::Whole(Some(response(1))));
    fixture
        .table
        .finish(key, StoredOutcome::NotRun(ResultCode::TargetRefused));
    assert_eq!(fixture.begin(key), KeyDecision::Replay(response(1)));
}

/// Guards against a caller that gets the response to the request of another caller.
#[test]
fn a_key_with_another_fingerprint_is_refused() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let key = fixture.key(1);
    fixture.begin(key);
    let reused = (Outcome::NotRun, ResultCode::KeyReused);
    assert_eq!(refusal(&fixture.begin_as(key, 8, Ownership::Owned)), reused);
    fixture
        .table
        .finish(key, StoredOutcome::Whole(Some(response(1))));
    assert_eq!(refusal(&fixture.begin_as(key, 8, Ownership::Owned)), reused);
}

/// Guards against running a request without ownership, without a lease, or with a key outside the
/// accepted age.
#[test]
fn refusals_name_their_reason() {
    use Outcome::MayHaveRun;
    use Outcome::NotRun;
    let mut fixture = Fixture::new(KeyLimits::default());
    let wall = fixture.clock.wall();
    let late = key_at(wall + FUTURE_LIMIT + MS, 1);
    assert_eq!(
        fixture.refusal_of(late),
        (NotRun, ResultCode::KeyFromFuture)
    );
    let early = key_at(wall - KEY_LIFETIME - MS, 2);
    assert_eq!(
        fixture.refusal_of(early),
        (MayHaveRun, ResultCode::KeyTooOld)
    );
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
    assert_eq!(fixture.refusal_of(key), (NotRun, ResultCode::LeaseLapsed));
}

/// Guards against a VM that is paused between the decision to run a request and its first byte.
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

/// Guards against accepting keys again after the table was lost with its component while the VM
/// kept its id.
#[test]
fn a_new_table_refuses_keys_created_before_it() {
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
    assert_eq!(fixture.refusal_of(key), before);
    fixture.advance(SKEW_MARGIN);
    assert_eq!(fixture.refusal_of(key), before);
    let key = fixture.key(2);
    assert_eq!(fixture.begin(key), KeyDecision::Run);
}

/// Guards against a wall clock that steps back after an outcome was evicted: its key would look
/// young again.
#[test]
fn an_expired_key_stays_refused_when_the_clock_steps_back() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let key = fixture.key(1);
    fixture.begin(key);
    fixture
        .table
        .finish(key, StoredOutcome::Whole(Some(response(1))));
    fixture.advance(KEY_LIFETIME + SECOND);
    let wall = fixture.clock.wall();
    fixture.table.tick(fixture.clock.now(), wall);
    assert!(fixture.table.is_empty());
    fixture.clock.step_wall(wall - Duration::from_secs(60));
    for _ in 0..100 {
        fixture.advance(SECOND);
        let (outcome, _) = fixture.refusal_of(key);
        let stepped = fixture.table.clock_steps() > 0;
        assert!(stepped, "the step was not detected");
        let decision = fixture.begin(key);
        assert_ne!(decision, KeyDecision::Run);
        assert!(outcome != Outcome::Whole);
    }
}

/// Guards against unbounded memory, and against eviction that lets a request with the key run
/// again.
#[test]
fn memory_is_bounded_and_evicted_keys_stay_refused() {
    let limits = KeyLimits {
        keys: 50,
        responses: ByteSize(1_000),
    };
    let mut fixture = Fixture::new(limits);
    let mut keys = Vec::new();
    for n in 0..200 {
        fixture.advance(10 * MS);
        let key = fixture.key(n);
        assert_eq!(fixture.begin(key), KeyDecision::Run);
        fixture
            .table
            .finish(key, StoredOutcome::Whole(Some(response(100))));
        keys.push(key);
        assert!(fixture.table.len() <= 50);
        assert!(fixture.table.response_bytes() <= 1_000);
    }
    for (n, key) in keys.into_iter().enumerate() {
        let decision = fixture.begin(key);
        match n {
            0..150 => assert_eq!(refusal(&decision).1, ResultCode::KeyTooOld),
            150..190 => assert_eq!(refusal(&decision).1, ResultCode::AnswerNotKept),
            _ => assert_eq!(decision, KeyDecision::Replay(response(100))),
        }
    }
}

/// Guards against the expiry of a key whose request is still running, and against an unlimited
/// number of waiting duplicates.
#[test]
fn running_keys_do_not_expire() {
    let mut fixture = Fixture::new(KeyLimits::default());
    let key = fixture.key(1);
    fixture.begin(key);
    fixture.advance(KEY_LIFETIME * 2);
    for _ in 0..MAX_WAITERS {
        assert_eq!(fixture.begin(key), KeyDecision::Wait);
    }
    let refused = (Outcome::MayHaveRun, ResultCode::StillRunning);
    assert_eq!(fixture.refusal_of(key), refused);
    fixture.table.waiter_gone(&key);
    assert_eq!(fixture.begin(key), KeyDecision::Wait);
    assert_eq!(fixture.table.running(), 1);
}

/// Guards against accepting keys by a wall clock that has just stepped, and against trusting the
/// lease of a VM whose monotonic clock stood still while the wall clock went on.
#[test]
fn a_clock_step_stops_keyed_requests_for_the_step_and_the_margin() {
    for (step, forward) in [(30, true), (30, false), (2, true), (3_600, false)] {
        let mut fixture = Fixture::new(KeyLimits::default());
        let step = Duration::from_secs(step);
        let wall = fixture.clock.wall();
        let moved = if forward { wall + step } else { wall - step };
        fixture.clock.step_wall(moved);
        let key = fixture.key(1);
        assert_eq!(
            fixture.refusal_of(key),
            (Outcome::NotRun, ResultCode::ClockStepped)
        );
        let hold = step.min(KEY_LIFETIME) + SKEW_MARGIN;
        fixture.advance(hold - MS);
        let key = fixture.key(2);
        assert_eq!(fixture.refusal_of(key).1, ResultCode::ClockStepped);
        fixture.advance(MS);
        let key = fixture.key(3);
        let held = fixture.clock.wall() < wall - Duration::from_secs(60) + SKEW_MARGIN;
        match held {
            // After a large step back, the key looks older than the table.
            true => assert_eq!(fixture.refusal_of(key).0, Outcome::MayHaveRun),
            false => assert_eq!(fixture.begin(key), KeyDecision::Run),
        }
    }
    let mut fixture = Fixture::new(KeyLimits::default());
    let wall: SystemTime = fixture.clock.wall();
    // Suspended for a minute: the lease looks fresh, but no read was issued since.
    fixture.clock.step_wall(wall + Duration::from_secs(60));
    let key = fixture.key(1);
    assert_eq!(fixture.refusal_of(key).1, ResultCode::ClockStepped);
    let (now, wall) = (fixture.clock.now(), fixture.clock.wall());
    assert!(!fixture.table.may_send(now, wall, &fixture.lease));
}

/// Guards against small steps that go undetected one by one, and against false detections on a
/// slewed clock.
#[test]
fn small_steps_accumulate_and_a_slew_is_tolerated() {
    let clock = ManualClock::default();
    let mut detector = ClockStepDetector::new(clock.now(), clock.wall());
    for _ in 0..2_000 {
        clock.advance(SECOND);
        clock.step_wall(clock.wall() + Duration::from_micros(500));
        assert!(detector.observe(clock.now(), clock.wall()));
    }
    let mut trusted = true;
    for _ in 0..3 {
        clock.advance(SECOND);
        clock.step_wall(clock.wall() + 600 * MS);
        trusted &= detector.observe(clock.now(), clock.wall());
    }
    assert!(!trusted);
    assert_eq!(detector.steps(), 1);
}
