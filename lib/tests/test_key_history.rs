//! Tests of key ownership over time. Each one covers a way in which a request with a key could run
//! twice.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use carobshore_lib::key_history::KEY_LIFETIME;
use carobshore_lib::key_history::MAX_HISTORY;
use carobshore_lib::key_history::SKEW_MARGIN;
use carobshore_lib::key_ownership::key_homes;
use carobshore_lib::prelude::*;
use carobshore_lib::read_lease::LEASE_WAIT;
use carobshore_testutils::keys::key_at;
use carobshore_testutils::manual_clock::ManualClock;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

/// One home per failure domain; each VM is in a domain of its own name.
fn homes(names: &[&str]) -> KeyHomes {
    let member = |name: &&str| Member {
        domain: name.parse().unwrap(),
        rpc: "127.0.0.1:1".parse().unwrap(),
        forward: "127.0.0.1:2".parse().unwrap(),
        joined: Offset(0),
    };
    let members = names.iter().map(|name| (vm(name), member(name)));
    let members = members.collect();
    key_homes(&"stage".parse().unwrap(), &Roster { members })
}

/// The history of VM `me`, with a clock and helpers that query the ownership of keys of a given
/// age.
struct Fixture {
    clock: ManualClock,
    history: KeyHistory,
}

impl Fixture {
    /// Creates a history whose set of homes has been in force for so long that its start has no
    /// effect any more.
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

/// Guards against a new VM that accepts keys that the owners before its join may have run.
#[test]
fn a_joining_vm_waits_and_refuses_older_keys() {
    let mut fixture = Fixture {
        clock: ManualClock::default(),
        history: KeyHistory::new(vm("me")),
    };
    assert_eq!(fixture.fresh(), Ownership::NotOwner);
    fixture.set(&["me"], Handover::Lease);
    let read = fixture.clock.wall();
    assert_eq!(fixture.created(read - SECOND), Ownership::EarlierOwner);
    assert_eq!(fixture.fresh(), Ownership::Moving);
    fixture.clock.advance(LEASE_WAIT - MS);
    assert_eq!(fixture.fresh(), Ownership::Moving);
    fixture.clock.advance(MS);
    assert_eq!(fixture.fresh(), Ownership::EarlierOwner);
    fixture.clock.advance(SKEW_MARGIN);
    assert_eq!(fixture.fresh(), Ownership::Owned);
    assert_eq!(
        fixture.created(fixture.clock.wall() - MS),
        Ownership::EarlierOwner
    );
}

/// Guards against a VM that keeps accepting a key during the wait after which another VM takes it
/// over.
#[test]
fn an_owner_gives_up_its_keys_at_once() {
    let mut fixture = Fixture::settled(&["me"]);
    assert_eq!(fixture.fresh(), Ownership::Owned);
    fixture.set(&["other"], Handover::Lease);
    assert_eq!(fixture.fresh(), Ownership::NotOwner);
}

/// Guards against a set of homes that changes and changes back: between the two changes another VM
/// was the owner, even if this VM read both records at the same time.
#[test]
fn an_owner_between_two_changes_counts() {
    for gap in [Duration::ZERO, SECOND, Duration::from_secs(60)] {
        let mut fixture = Fixture::settled(&["me"]);
        fixture.set(&["other"], Handover::Lease);
        let before = fixture.clock.wall();
        fixture.clock.advance(gap);
        fixture.set(&["me"], Handover::Lease);
        assert_eq!(fixture.fresh(), Ownership::Moving, "after {gap:?}");
        fixture.clock.advance(LEASE_WAIT + SKEW_MARGIN);
        assert_eq!(fixture.fresh(), Ownership::Owned, "after {gap:?}");
        assert_eq!(
            fixture.created(before),
            Ownership::EarlierOwner,
            "after {gap:?}"
        );
    }
}

/// Guards against the second of two overlapping changes ending the wait of the first.
#[test]
fn overlapping_waits_both_count() {
    let mut fixture = Fixture::settled(&["first"]);
    fixture.set(&["second"], Handover::Lease);
    fixture.clock.advance(SECOND);
    // `second` leaves in a planned stop, so its keys need no wait.
    fixture.set(&["me"], Handover::Left(vm("second")));
    fixture.clock.advance(LEASE_WAIT - SECOND - MS);
    assert_eq!(
        fixture.fresh(),
        Ownership::Moving,
        "`first` may still run requests"
    );
    fixture.clock.advance(MS + SKEW_MARGIN);
    assert_eq!(fixture.fresh(), Ownership::Owned);
}

/// Guards against a `leave` that ends the wait for keys of VMs that did not leave: when a home is
/// replaced, the new home also takes over keys of the remaining homes.
#[test]
fn a_leave_skips_the_wait_only_for_the_keys_of_the_leaving_vm() {
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

/// Guards against a wall clock that steps in either direction after the start of an ownership was
/// recorded.
#[test]
fn clock_steps_do_not_make_ownership_start_earlier() {
    for (recorded_wrong, step) in [(true, 30), (false, 30)] {
        let mut fixture = Fixture::settled(&["other"]);
        let step = Duration::from_secs(step);
        let true_wall = fixture.clock.wall();
        if recorded_wrong {
            fixture.clock.step_wall(true_wall - step);
        }
        fixture.set(&["me"], Handover::Lease);
        fixture.clock.advance(Duration::from_secs(60));
        // In the first case the clock is corrected, in the second one it becomes wrong.
        let now = true_wall + Duration::from_secs(60);
        fixture
            .clock
            .step_wall(if recorded_wrong { now } else { now - step });
        let run_by_other = true_wall + LEASE_WAIT - SECOND;
        assert_eq!(fixture.created(run_by_other), Ownership::EarlierOwner);
    }
}

/// Guards against unbounded memory, and against dropped sets of homes that make a VM accept more
/// keys.
#[test]
fn dropped_sets_refuse_more_keys() {
    let mut fixture = Fixture::settled(&["me"]);
    let start = fixture.clock.wall();
    for n in 0..2 * MAX_HISTORY {
        let name = format!("other-{n}");
        fixture.set(&["me", &name], Handover::Lease);
        fixture.clock.advance(100 * MS);
    }
    fixture.set(&["me"], Handover::Lease);
    fixture.clock.advance(LEASE_WAIT + SKEW_MARGIN);
    assert_eq!(fixture.fresh(), Ownership::Owned);
    assert_eq!(fixture.created(start), Ownership::EarlierOwner);
    fixture.clock.advance(KEY_LIFETIME * 2);
    fixture.set(&["me", "x"], Handover::Lease);
    fixture.set(&["me"], Handover::Lease);
    fixture.clock.advance(LEASE_WAIT + SKEW_MARGIN);
    assert_eq!(fixture.fresh(), Ownership::Owned);
}

/// Guards against a margin that is too small for the worst case of clock skew: the earlier owner
/// runs a key from the future at the last moment of its lease, and the clock of the later owner is
/// behind.
#[test]
fn the_margin_covers_future_keys_and_skew_together() {
    let mut fixture = Fixture::settled(&["other"]);
    let skew = carobshore_lib::key_history::VM_SKEW;
    let future = carobshore_lib::key_history::FUTURE_LIMIT;
    let read: Instant = fixture.clock.now();
    let true_wall = fixture.clock.wall();
    fixture.clock.step_wall(true_wall - skew);
    fixture.set(&["me"], Handover::Lease);
    let last_of_other = true_wall + LEASE_WAIT + future - MS;
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

/// Guards against a router and a key history that determine a key's owner differently: the router
/// would send keys to a VM that refuses them.
#[test]
fn the_router_and_the_history_agree_about_the_owner() {
    let service = "stage".parse().unwrap();
    let mut roster = Roster::default();
    for n in 0..9_u64 {
        let member = Member {
            domain: format!("d{}", n % 3).parse().unwrap(),
            rpc: "127.0.0.1:1".parse().unwrap(),
            forward: "127.0.0.1:2".parse().unwrap(),
            joined: Offset(n),
        };
        roster.members.insert(vm(&format!("vm-{n}.0")), member);
    }
    let target = Target {
        addr: "127.0.0.1:3".parse().unwrap(),
        domain: "d0".parse().unwrap(),
        slots: Slots::try_from(2).unwrap(),
        generation: 1,
        state: TargetState::Serving,
    };
    let spec = Service {
        version: Version(1),
        targets: [("t".parse().unwrap(), target)].into(),
        measuring: TargetTime(0),
        connections: 1,
    };
    let routed = Homes::assign(&service, &spec, &roster, &HomesSettings::default());
    let owned = key_homes(&service, &roster);
    let mut owners = std::collections::BTreeSet::new();
    for n in 0..100 {
        let key = key_at(ManualClock::default().wall(), n);
        assert_eq!(routed.key_owner(&key), owned.owner(&key));
        owners.extend(owned.owner(&key));
    }
    assert_eq!(owners.len(), 3);
}
