//! Tests of the histories of key ownership that are derived from the log.

use std::time::Duration;

use carobshore_lib::key_ownership::KeyOwnership;
use carobshore_lib::key_ownership::key_homes;
use carobshore_lib::prelude::*;
use carobshore_testutils::manual_clock::ManualClock;
use uuid::Timestamp;
use uuid::Uuid;

fn vm(name: &str) -> VmId {
    VmId::with_incarnation(name, 1).unwrap()
}

/// A roster whose VMs share one failure domain, so that one of them owns all keys.
fn roster(vms: &[&str]) -> Roster {
    let member = |at: usize| Member {
        domain: "d1".parse().unwrap(),
        rpc: "127.0.0.1:1".parse().unwrap(),
        forward: "127.0.0.1:2".parse().unwrap(),
        joined: Offset(at as u64),
    };
    let members = vms.iter().enumerate();
    Roster {
        members: members.map(|(at, name)| (vm(name), member(at))).collect(),
    }
}

fn config(services: &[&str]) -> Config {
    let service = Service {
        version: Version(1),
        targets: Default::default(),
        measuring: TargetTime(0),
        connections: 1,
    };
    let services = services.iter();
    Config {
        services: services
            .map(|id| (id.parse().unwrap(), service.clone().into()))
            .collect(),
        ..Config::default()
    }
}

fn key_now(clock: &ManualClock) -> RequestKey {
    let since = clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap();
    let at = Timestamp::from_unix(uuid::NoContext, since.as_secs(), since.subsec_nanos());
    RequestKey::try_from(Uuid::new_v7(at)).unwrap()
}

fn ownership_of(
    ownership: &KeyOwnership,
    service: &str,
    key: &RequestKey,
    clock: &ManualClock,
) -> Ownership {
    let history = &ownership.histories()[&service.parse().unwrap()];
    history.owned_since_creation(key, clock.now(), clock.wall())
}

/// Guards against a later owner that accepts keys of a VM that was their owner only between two
/// records of one read.
#[test]
fn an_owner_between_two_records_of_one_read_counts() {
    let service = "booking".parse().unwrap();
    let owner_of = |vms: &[&str]| {
        key_homes(&service, &roster(vms))
            .vms()
            .next()
            .unwrap()
            .clone()
    };
    // Finds a VM that takes over the keys of `a` when it joins.
    let names: Vec<String> = (0..64).map(|at| format!("b{at}")).collect();
    let new_owner = names
        .iter()
        .find(|name| owner_of(&["a", name]) == vm(name))
        .unwrap();

    let clock = ManualClock::default();
    let mut ownership = KeyOwnership::new(vm("a"));
    ownership.config_changed(&config(&["booking"]));
    ownership.roster_changed(clock.now(), clock.wall(), roster(&["a"]), Handover::Lease);
    clock.advance(Duration::from_secs(60));
    let key = key_now(&clock);
    assert_eq!(
        ownership_of(&ownership, "booking", &key, &clock),
        Ownership::Owned
    );

    let joined = roster(&["a", new_owner]);
    ownership.roster_changed(clock.now(), clock.wall(), joined, Handover::Lease);
    assert_eq!(
        ownership_of(&ownership, "booking", &key, &clock),
        Ownership::NotOwner
    );
    ownership.roster_changed(clock.now(), clock.wall(), roster(&["a"]), Handover::Lease);
    clock.advance(Duration::from_secs(11));
    assert_eq!(
        ownership_of(&ownership, "booking", &key, &clock),
        Ownership::EarlierOwner
    );
}

/// Guards against refusing all keys of a service during a lease wait after the service was added.
#[test]
fn a_service_that_is_added_later_has_the_whole_history() {
    let clock = ManualClock::default();
    let mut ownership = KeyOwnership::new(vm("a"));
    ownership.roster_changed(clock.now(), clock.wall(), roster(&["a"]), Handover::Lease);
    clock.advance(Duration::from_secs(60));
    ownership.config_changed(&config(&["late"]));
    let key = key_now(&clock);
    assert_eq!(
        ownership_of(&ownership, "late", &key, &clock),
        Ownership::Owned
    );
}

/// Guards against accepting keys after a snapshot hid changes of the roster.
#[test]
fn a_snapshot_resets_the_history() {
    let clock = ManualClock::default();
    let mut ownership = KeyOwnership::new(vm("a"));
    ownership.config_changed(&config(&["booking"]));
    ownership.roster_changed(clock.now(), clock.wall(), roster(&["a"]), Handover::Lease);
    clock.advance(Duration::from_secs(60));
    let key = key_now(&clock);
    ownership.snapshot_installed(clock.now(), clock.wall(), roster(&["a"]));
    assert_ne!(
        ownership_of(&ownership, "booking", &key, &clock),
        Ownership::Owned
    );
    clock.advance(Duration::from_secs(11));
    assert_eq!(
        ownership_of(&ownership, "booking", &key, &clock),
        Ownership::EarlierOwner
    );
    clock.advance(Duration::from_secs(5));
    assert_eq!(
        ownership_of(&ownership, "booking", &key_now(&clock), &clock),
        Ownership::Owned
    );
}

/// Guards against treating the displaced id of this VM as its new one.
#[test]
fn a_renamed_vm_does_not_own_what_it_owned_before() {
    let clock = ManualClock::default();
    let mut ownership = KeyOwnership::new(vm("a"));
    ownership.config_changed(&config(&["booking"]));
    ownership.roster_changed(clock.now(), clock.wall(), roster(&["a"]), Handover::Lease);
    clock.advance(Duration::from_secs(60));
    let key = key_now(&clock);
    ownership.id_changed(vm("c"));
    assert_eq!(
        ownership_of(&ownership, "booking", &key, &clock),
        Ownership::NotOwner
    );
    ownership.roster_changed(clock.now(), clock.wall(), roster(&["c"]), Handover::Lease);
    assert_ne!(
        ownership_of(&ownership, "booking", &key, &clock),
        Ownership::Owned
    );
}
