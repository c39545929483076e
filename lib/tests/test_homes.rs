//! Tests of the choice of homes and of the router.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::*;
use carobshore_lib::roster::Roster;
use common::*;
use uuid::Uuid;

fn assign(targets: usize, roster: &Roster, per_domain: u32) -> Homes {
    let settings = HomesSettings { per_domain };
    Homes::assign(&service_id(), &service(targets, 3, 2), roster, &settings)
}

fn key(index: u128) -> RequestKey {
    let uuid = Uuid::from_u128((index << 80) | (7 << 76) | (2 << 62) | index);
    RequestKey::try_from(uuid).unwrap()
}

fn moved(a: &Homes, b: &Homes, targets: usize) -> usize {
    let differs = |t: &usize| a.owner(&target_id(*t)) != b.owner(&target_id(*t));
    (0..targets).filter(differs).count()
}

/// Guards against a failure domain without a home, targets without an owner, homes with unequal
/// shares, and avoidable traffic between failure domains.
#[test]
fn every_domain_has_a_home_with_an_equal_share() {
    for (targets, vms, per_domain) in [(6, 15, 1), (16, 15, 1), (100, 30, 2), (300, 4, 1)] {
        let homes = assign(targets, &roster(vms, 3), per_domain);
        assert_eq!(homes.count(), 3 * per_domain);
        let mut owned = BTreeMap::<&VmId, usize>::new();
        for target in 0..targets {
            *owned
                .entry(homes.owner(&target_id(target)).unwrap())
                .or_default() += 1;
        }
        let (least, most) = (owned.values().min().unwrap(), owned.values().max().unwrap());
        assert!(most - least <= 1, "{targets} targets: {owned:?}");
        let near = |target: &usize| {
            let owner = homes.owner(&target_id(*target)).unwrap();
            homes
                .homes_in(&domain(target % 3))
                .any(|home| home == owner)
        };
        let near = (0..targets).filter(near).count();
        assert!(
            near + 2 * 3 >= targets,
            "{near} of {targets} have a home in their domain"
        );
    }
}

/// Guards against homes that depend on the order of insertion or on chance, which would make VMs
/// with the same roster disagree.
#[test]
fn equal_inputs_give_equal_homes() {
    let mut reversed = Roster::default();
    for (vm, member) in roster(15, 3).members.into_iter().rev() {
        reversed.members.insert(vm, member);
    }
    assert_eq!(assign(16, &roster(15, 3), 1), assign(16, &reversed, 1));
    assert_eq!(assign(16, &Roster::default(), 1), Homes::default());
}

/// Guards against the replacement of a VM moving targets and keys of other homes.
#[test]
fn one_vm_moves_only_its_own_share() {
    let before = roster(15, 3);
    let homes = assign(16, &before, 1);
    for gone in 0..15 {
        let mut after = before.clone();
        after.members.remove(&vm_id(gone));
        let changed = assign(16, &after, 1);
        let own = homes.targets_of(&vm_id(gone)).count();
        assert_eq!(moved(&homes, &changed, 16), own, "VM {gone} left");
        for index in 0..200 {
            let (old, new) = (homes.key_owner(&key(index)), changed.key_owner(&key(index)));
            assert!(old == new || *old.unwrap() == vm_id(gone), "key {index}");
        }
    }
    // The loss of a whole failure domain moves little more than its share.
    let mut after = before.clone();
    after.members.retain(|_, member| member.domain != domain(1));
    let changed = assign(16, &after, 1);
    assert!(moved(&homes, &changed, 16) <= 5 + 2);
}

/// Guards against an uneven distribution of keys over the homes.
#[test]
fn keys_are_spread_over_homes() {
    let homes = assign(16, &roster(15, 3), 1);
    let mut owned = BTreeMap::<&VmId, usize>::new();
    for index in 0..3_000 {
        *owned
            .entry(homes.key_owner(&key(index)).unwrap())
            .or_default() += 1;
    }
    assert!(
        owned.values().all(|count| (900..1_100).contains(count)),
        "{owned:?}"
    );
}

struct Entry {
    now: Instant,
    router: Router,
    near: VmId,
    far: Vec<VmId>,
}

/// The router of a VM that is not a home, in failure domain 0.
fn entry() -> Entry {
    let homes = assign(16, &roster(15, 3), 1);
    let me = (0..15)
        .step_by(3)
        .map(vm_id)
        .find(|vm| !homes.contains(vm))
        .unwrap();
    let near = homes.home_for(&domain(0)).unwrap().clone();
    let far = homes.vms().filter(|vm| **vm != near).cloned().collect();
    let mut router = Router::new(me, domain(0), RouterSettings::default());
    router.set_homes(homes);
    Entry {
        now: Instant::now(),
        router,
        near,
        far,
    }
}

fn load(vm: &VmId, free: u32, queued: u32) -> PeerLoad {
    PeerLoad {
        vm: vm.clone(),
        free,
        queued,
    }
}

impl Entry {
    fn route(&mut self, call: &Call) -> RoutingDecision {
        self.router.route(self.now, call)
    }

    fn forward(&mut self) -> VmId {
        match self.route(&Call::default()) {
            RoutingDecision::Forward { vm } => vm,
            route => panic!("{route:?}"),
        }
    }
}

/// Guards against calls to a home that is down or full while another home is available.
#[test]
fn router_avoids_homes_that_are_down_or_full() {
    let mut entry = entry();
    assert_eq!(entry.forward(), entry.near);
    let (near, far) = (entry.near.clone(), entry.far.clone());
    entry.router.observe(entry.now, &load(&near, 0, 1_024));
    entry.router.observe(entry.now, &load(&far[1], 3, 0));
    assert_eq!(entry.forward(), far[1], "the near home is full");
    entry.now += Duration::from_millis(100);
    assert_eq!(entry.forward(), near, "the report is too old");
    entry.router.unreachable(entry.now, &near);
    assert_ne!(entry.forward(), near);
    entry.now += Duration::from_millis(500);
    assert_eq!(entry.forward(), near, "one call tries the home again");
    assert_ne!(entry.forward(), near, "only one");
    entry.router.observe(entry.now, &load(&near, 1, 0));
    assert_eq!(entry.forward(), near);
}

/// Guards against failing calls when no home can be reached, and against keyed requests that run on
/// a VM other than the owner.
#[test]
fn router_falls_back_without_homes_but_never_with_a_key() {
    let mut entry = entry();
    for vm in entry.router.homes().vms().cloned().collect::<Vec<_>>() {
        entry.router.unreachable(entry.now, &vm);
    }
    assert_eq!(entry.route(&Call::default()), RoutingDecision::Fallback);
    let call = Call {
        key: Some(key(1)),
        forwarded: false,
    };
    let code = ResultCode::HomeUnreachable;
    assert_eq!(entry.route(&call), RoutingDecision::Refuse { code });
    let forwarded = Call {
        forwarded: true,
        ..Call::default()
    };
    assert_eq!(
        entry.route(&forwarded),
        RoutingDecision::Fallback,
        "a second hop is not allowed"
    );
}

/// Guards against a key whose owner depends on the policy or on the entry VM's failure domain.
#[test]
fn keyed_calls_go_to_the_key_owner() {
    let homes = assign(16, &roster(15, 3), 1);
    for policy in Policy::ALL {
        for vm in 0..15 {
            let settings = RouterSettings {
                policy,
                ..RouterSettings::default()
            };
            let mut router = Router::new(vm_id(vm), domain(vm % 3), settings);
            router.set_homes(homes.clone());
            let call = Call {
                key: Some(key(9)),
                forwarded: false,
            };
            let owner = homes.key_owner(&key(9)).unwrap().clone();
            let expected = if owner == vm_id(vm) {
                RoutingDecision::Local
            } else {
                RoutingDecision::Forward { vm: owner }
            };
            assert_eq!(router.route(Instant::now(), &call), expected);
        }
    }
}

/// A service with fewer targets than failure domains has homes that own none. Guards against such a
/// home refusing calls that a target of another home could serve.
#[test]
fn a_home_without_targets_forwards_its_calls() {
    let homes = assign(1, &roster(3, 3), 1);
    let owner = homes.owner(&target_id(0)).expect("an owner").clone();
    let now = Instant::now();
    for vm in 0..3 {
        let me = vm_id(vm);
        let mut router = Router::new(me.clone(), domain(vm), RouterSettings::default());
        router.set_homes(homes.clone());
        let call = |forwarded| Call {
            key: None,
            forwarded,
        };
        let (first, if_forwarded) = match me == owner {
            true => (RoutingDecision::Local, RoutingDecision::Local),
            false => (
                RoutingDecision::Forward { vm: owner.clone() },
                RoutingDecision::Fallback,
            ),
        };
        assert_eq!(router.route(now, &call(false)), first);
        // The sender may have an older view. The call has been forwarded once and may not be
        // forwarded again.
        assert_eq!(router.route(now, &call(true)), if_forwarded);
    }
}
