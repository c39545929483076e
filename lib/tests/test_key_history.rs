//! Tests of key ownership over time. Each one is a hole through which a key could run twice.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use carobshore_lib::key_history::KEY_LIFETIME;
use carobshore_lib::key_history::MAX_SETS;
use carobshore_lib::key_history::SKEW_MARGIN;
use carobshore_lib::log_page::LogRecord;
use carobshore_lib::prelude::*;
use carobshore_lib::read_lease::LEASE_WAIT;
use carobshore_lib::record::Confirm;
use carobshore_lib::record::Join;
use carobshore_testutils::keys::key_at;
use carobshore_testutils::manual_clock::ManualClock;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn homes(names: &[&str]) -> KeyHomes {
    KeyHomes::new(names.iter().map(|name| vm(name)).collect())
}

/// The history of VM `me`, with a clock and a way to ask about keys created at a given age.
struct Fixture {
    clock: ManualClock,
    history: KeyHistory,
}

impl Fixture {
    /// Starts with a set that has been in force for so long that it has no effect any more.
    fn settled(names: &[&str]) -> Self {
        let mut fixture = Self {
            clock: ManualClock::default(),
            history: KeyHistory::new(vm("me")),
        };
        fixture.set(names, Handover::Lease);
        fixture.clock.advance(Duration::from_secs(3_600));
        fixture
    }

    fn set(&mut self, names: &[&str], handover: Handover) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        self.history.set_homes(now, wall, homes(names), handover);
    }

    fn created(&self, created: SystemTime) -> Ownership {
        let key = key_at(created, 1);
        let (now, wall) = (self.clock.now(), self.clock.wall());
        self.history.owned_since_creation(&key, now, wall)
    }

    fn fresh(&self) -> Ownership {
        self.created(self.clock.wall())
    }
}

/// Guards against a new VM that accepts keys which the owners before its join may have run.
#[test]
fn a_joining_vm_waits_and_refuses_older_keys() {
    let mut fixture = Fixture {
        clock: ManualClock::default(),
        history: KeyHistory::new(vm("me")),
    };
    assert_eq!(fixture.fresh(), Ownership::NotOwner);
    fixture.set(&["me"], Handover::Lease);
    let read = fixture.clock.wall();
    assert_eq!(fixture.created(read - SECOND), Ownership::Before);
    assert_eq!(fixture.fresh(), Ownership::Moving);
    fixture.clock.advance(LEASE_WAIT - MS);
    assert_eq!(fixture.fresh(), Ownership::Moving);
    fixture.clock.advance(MS);
    assert_eq!(fixture.fresh(), Ownership::Before);
    fixture.clock.advance(SKEW_MARGIN);
    assert_eq!(fixture.fresh(), Ownership::Owned);
    assert_eq!(
        fixture.created(fixture.clock.wall() - MS),
        Ownership::Before
    );
}

/// Guards against a VM that keeps a key during the wait after which another VM takes it.
#[test]
fn an_owner_gives_up_at_once() {
    let mut fixture = Fixture::settled(&["me"]);
    assert_eq!(fixture.fresh(), Ownership::Owned);
    fixture.set(&["other"], Handover::Lease);
    assert_eq!(fixture.fresh(), Ownership::NotOwner);
}

/// Guards against a home set that changes back: between the two changes another VM was the owner,
/// also when this VM read both records at the same moment.
#[test]
fn a_set_that_changes_back_counts() {
    for gap in [Duration::ZERO, SECOND, Duration::from_secs(60)] {
        let mut fixture = Fixture::settled(&["me"]);
        fixture.set(&["other"], Handover::Lease);
        let before = fixture.clock.wall();
        fixture.clock.advance(gap);
        fixture.set(&["me"], Handover::Lease);
        assert_eq!(fixture.fresh(), Ownership::Moving, "after {gap:?}");
        fixture.clock.advance(LEASE_WAIT + SKEW_MARGIN);
        assert_eq!(fixture.fresh(), Ownership::Owned, "after {gap:?}");
        assert_eq!(fixture.created(before), Ownership::Before, "after {gap:?}");
    }
}

/// Guards against the second of two overlapping changes ending the wait of the first.
#[test]
fn overlapping_waits_both_count() {
    let mut fixture = Fixture::settled(&["first"]);
    fixture.set(&["second"], Handover::Lease);
    fixture.clock.advance(SECOND);
    // `second` leaves in a planned stop, so nothing has to be waited for on its account.
    fixture.set(&["me"], Handover::Left(vm("second")));
    fixture.clock.advance(LEASE_WAIT - SECOND - MS);
    assert_eq!(fixture.fresh(), Ownership::Moving, "`first` may still act");
    fixture.clock.advance(MS + SKEW_MARGIN);
    assert_eq!(fixture.fresh(), Ownership::Owned);
}

/// Guards against a `leave` that ends the wait for keys of VMs that did not leave: when a home is
/// replaced, the new one also takes over keys of the others.
#[test]
fn a_leave_spares_the_wait_only_for_the_keys_of_its_writer() {
    let before = homes(&["stays", "leaves"]);
    let after = homes(&["stays", "me"]);
    let mut seen = [0, 0];
    for n in 0..200 {
        let mut fixture = Fixture::settled(&["stays", "leaves"]);
        fixture.set(&["stays", "me"], Handover::Left(vm("leaves")));
        fixture.clock.advance(SKEW_MARGIN);
        let wall = fixture.clock.wall();
        let key = key_at(wall, n);
        let ownership = fixture
            .history
            .owned_since_creation(&key, fixture.clock.now(), wall);
        if after.owner(&key) != Some(&vm("me")) {
            assert_eq!(ownership, Ownership::NotOwner);
        } else if before.owner(&key) == Some(&vm("leaves")) {
            assert_eq!(ownership, Ownership::Owned);
            seen[0] += 1;
        } else {
            assert_eq!(ownership, Ownership::Moving);
            seen[1] += 1;
        }
    }
    assert!(seen[0] > 10 && seen[1] > 10, "{seen:?}");
}

/// Guards against a wall clock that steps after the boundary was recorded, in either direction.
#[test]
fn clock_steps_do_not_move_the_boundary_back() {
    for (recorded_wrong, step) in [(true, 30), (false, 30)] {
        let mut fixture = Fixture::settled(&["other"]);
        let step = Duration::from_secs(step);
        let truth = fixture.clock.wall();
        if recorded_wrong {
            fixture.clock.step_wall(truth - step);
        }
        fixture.set(&["me"], Handover::Lease);
        fixture.clock.advance(Duration::from_secs(60));
        // The clock is corrected in the first case and goes wrong in the second one.
        let now = truth + Duration::from_secs(60);
        fixture
            .clock
            .step_wall(if recorded_wrong { now } else { now - step });
        let run_by_other = truth + LEASE_WAIT - SECOND;
        assert_eq!(fixture.created(run_by_other), Ownership::Before);
    }
}

/// Guards against unbounded memory, and against forgetting that makes a VM accept more keys.
#[test]
fn forgotten_sets_refuse_more_keys() {
    let mut fixture = Fixture::settled(&["me"]);
    let start = fixture.clock.wall();
    for n in 0..2 * MAX_SETS {
        let name = format!("other-{n}");
        fixture.set(&["me", &name], Handover::Lease);
        fixture.clock.advance(100 * MS);
    }
    fixture.set(&["me"], Handover::Lease);
    fixture.clock.advance(LEASE_WAIT + SKEW_MARGIN);
    assert_eq!(fixture.fresh(), Ownership::Owned);
    assert_eq!(fixture.created(start), Ownership::Before);
    fixture.clock.advance(KEY_LIFETIME * 2);
    fixture.set(&["me", "x"], Handover::Lease);
    fixture.set(&["me"], Handover::Lease);
    fixture.clock.advance(LEASE_WAIT + SKEW_MARGIN);
    assert_eq!(fixture.fresh(), Ownership::Owned);
}

/// A clock skew of the stated size, worst case on both sides: the earlier owner runs a key from
/// the future at the last moment of its lease, and the later owner's clock is behind.
#[test]
fn the_margin_covers_future_keys_and_skew_together() {
    let mut fixture = Fixture::settled(&["other"]);
    let skew = carobshore_lib::key_history::VM_SKEW;
    let future = carobshore_lib::key_history::FUTURE_LIMIT;
    let read: Instant = fixture.clock.now();
    let truth = fixture.clock.wall();
    fixture.clock.step_wall(truth - skew);
    fixture.set(&["me"], Handover::Lease);
    let last_of_other = truth + LEASE_WAIT + future - MS;
    for _ in 0..200 {
        fixture.clock.advance(100 * MS);
        let ownership = fixture.created(last_of_other);
        assert_ne!(
            ownership,
            Ownership::Owned,
            "{:?}",
            fixture.clock.now() - read
        );
    }
}

/// Guards against a page of records whose middle made another VM the owner: the fold only shows
/// the roster after the whole page, which may equal the one before it.
#[test]
fn histories_see_the_rosters_between_the_records_of_a_page() {
    let mut log = Vec::new();
    let service: ServiceId = "stage".parse().unwrap();
    log.extend(confirmed(&service));
    let rival = other_that_takes_over(&service);
    log.push(join("me.0"));
    let mut fold = Fold::default();
    let clock = ManualClock::default();
    let mut histories = KeyHistories::new(vm("me.0"));
    advance(&mut fold, &log, &mut histories, &clock);
    clock.advance(Duration::from_secs(3_600));
    let fresh = |histories: &KeyHistories, clock: &ManualClock| {
        let key = key_at(clock.wall(), 1);
        let history = histories.get(&service).unwrap();
        history.owned_since_creation(&key, clock.now(), clock.wall())
    };
    assert_eq!(fresh(&histories, &clock), Ownership::Owned);
    let roster = fold.roster().clone();
    let by = vm("me.0");
    let vm = rival.clone();
    let flip = [join(rival.as_str()), Body::Displace { vm, by }];
    advance(&mut fold, &flip, &mut histories, &clock);
    assert_eq!(*fold.roster(), roster, "the fold shows no difference");
    assert_eq!(fresh(&histories, &clock), Ownership::Moving);
    clock.advance(LEASE_WAIT + SKEW_MARGIN);
    assert_eq!(fresh(&histories, &clock), Ownership::Owned);
    // A fold that came from a snapshot hides what happened in between.
    let steps = RosterSteps::of(&Fold::default(), &[]);
    histories.advance(clock.now(), clock.wall(), &steps, &fold, assign);
    assert_eq!(fresh(&histories, &clock), Ownership::Moving);
}

fn assign(service: &ServiceId, roster: &Roster) -> KeyHomes {
    let spec = Service {
        version: Version(1),
        targets: Default::default(),
        measuring: TargetTime(0),
        connections: 1,
    };
    KeyHomes::from(&Homes::assign(
        service,
        &spec,
        roster,
        &HomesSettings::default(),
    ))
}

fn join(name: &str) -> Body {
    Body::Join(Join {
        vm: vm(name),
        domain: "north".parse().unwrap(),
        rpc: "127.0.0.1:1".parse().unwrap(),
        forward: "127.0.0.1:2".parse().unwrap(),
    })
}

/// Finds a VM that becomes the domain's home beside `me.0`.
fn other_that_takes_over(service: &ServiceId) -> VmId {
    let wins = |name: &VmId| {
        let mut fold = Fold::default();
        for (at, body) in [join("me.0"), join(name.as_str())].into_iter().enumerate() {
            fold.apply(Offset(at as u64), &record(body, at));
        }
        assign(service, fold.roster()).vms() == std::slice::from_ref(name)
    };
    let names = (0..100).map(|n| vm(&format!("rival-{n}.0")));
    names.into_iter().find(wins).unwrap()
}

fn confirmed(service: &ServiceId) -> [Body; 2] {
    let operator: OperatorId = "morning".parse().unwrap();
    let add = Change::AddService {
        service: service.clone(),
        measuring: TargetTime(0),
        connections: 1,
    };
    let intent = Intent {
        operator: operator.clone(),
        note: "".into(),
        changes: vec![add],
    };
    let plan = Plan::new(&Config::default(), &intent).unwrap();
    let confirm = Confirm {
        operator,
        intent: record(Body::Intent(intent.clone()), 0).id,
        digest: plan.digest(),
        bases: plan.bases().clone(),
    };
    [Body::Intent(intent), Body::Confirm(confirm)]
}

fn record(body: Body, at: usize) -> Record {
    let id = format!("00000000-0000-4000-8000-{at:012x}")
        .parse()
        .unwrap();
    Record { id, body }
}

fn advance(fold: &mut Fold, bodies: &[Body], histories: &mut KeyHistories, clock: &ManualClock) {
    let first = fold.applied().0;
    let records: Vec<_> = bodies
        .iter()
        .zip(first..)
        .map(|(body, at)| LogRecord {
            offset: Offset(at),
            data: record(body.clone(), at as usize).to_json().into(),
        })
        .collect();
    let steps = RosterSteps::of(fold, &records);
    for record in &records {
        assert_eq!(
            fold.apply_text(record.offset, &record.data),
            Applied::Applied
        );
    }
    histories.advance(clock.now(), clock.wall(), &steps, fold, assign);
}
