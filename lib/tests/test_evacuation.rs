//! Guards against requests to evacuated domains, and against domains that stay evacuated after the
//! order was withdrawn, in whatever order records arrive.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::evacuation::domain_state::DomainState;
use carobshore_lib::evacuation::evacuations::Evacuations;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_lib::target_directory::REANNOUNCE_TIME;
use proptest::prelude::*;

fn at(offset: u64) -> StorePosition {
    StorePosition::new(StoreEra::default(), offset)
}

fn domain(index: u8) -> DomainId {
    format!("d{index}").parse().expect("a domain")
}

/// A record: its domain, and whether it evacuates it.
type Entry = (u8, bool);

/// Returns what a complete read of the first `count` records lists.
fn listed(log: &[Entry], count: usize) -> BTreeMap<DomainId, StorePosition> {
    let mut listed = BTreeMap::new();
    for (offset, (index, evacuated)) in log[..count].iter().enumerate() {
        match evacuated {
            true => listed.insert(domain(*index), at(offset as u64)),
            false => listed.remove(&domain(*index)),
        };
    }
    listed
}

fn evacuated(evacuations: &Evacuations) -> Vec<DomainId> {
    evacuations.iter().map(|(id, ..)| id.clone()).collect()
}

/// What reaches a VM.
#[derive(Clone, Copy, Debug)]
enum Step {
    Change(usize),
    Read(usize),
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => any::<usize>().prop_map(Step::Change),
        2 => any::<usize>().prop_map(Step::Read),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 0..60)
}

proptest! {
    /// Copies of records and complete reads, old ones included, arrive in any order, with restarts in
    /// between. A VM that has read everything knows what the log says; no later copy of an old
    /// record or an old read changes that.
    #[test]
    fn the_last_record_of_each_domain_holds(
        log in prop::collection::vec((0_u8..4, any::<bool>()), 1..30),
        before in steps(),
        after in steps(),
    ) {
        let now = Instant::now();
        let mut evacuations = Evacuations::default();
        let apply = |evacuations: &mut Evacuations, step: Step| match step {
            Step::Change(offset) => {
                let offset = offset % log.len();
                let (index, evacuated) = log[offset];
                evacuations.apply(now, at(offset as u64), &domain(index), evacuated);
            }
            Step::Read(count) => {
                let count = 1 + count % log.len();
                evacuations.replace(now, at(count as u64 - 1), &listed(&log, count));
            }
            Step::Restart => *evacuations = Evacuations::default(),
        };
        before.into_iter().for_each(|step| apply(&mut evacuations, step));
        let truth: Vec<DomainId> = listed(&log, log.len()).into_keys().collect();
        // Another VM gets all changes, the last ones first, and no complete read.
        let mut changes_only = Evacuations::default();
        (0..log.len()).rev().for_each(|at| apply(&mut changes_only, Step::Change(at)));
        prop_assert_eq!(evacuated(&changes_only), truth.clone());
        apply(&mut evacuations, Step::Read(log.len() - 1));
        prop_assert_eq!(evacuated(&evacuations), truth.clone());
        for step in after.into_iter().filter(|step| !matches!(step, Step::Restart)) {
            apply(&mut evacuations, step);
            prop_assert_eq!(evacuated(&evacuations), truth.clone());
        }
    }
}

/// Guards against a domain that all VMs return to at the same moment, and against one that a
/// starting VM leaves out although it was never evacuated.
#[test]
fn vms_return_spread_over_two_seconds() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    let id = domain(1);
    assert_eq!(evacuations.state(now, "edge-0", &id), DomainState::Open);
    assert!(evacuations.apply(now, at(3), &id, true));
    assert_eq!(
        evacuations.state(now, "edge-0", &id),
        DomainState::Evacuated
    );
    assert!(evacuations.apply(now, at(4), &id, false));
    let open_at = |millis| {
        let at = now + Duration::from_millis(millis);
        let names = (0..100).map(|index| format!("edge-{index}"));
        names
            .filter(|name| evacuations.state(at, name, &id) == DomainState::Open)
            .count()
    };
    assert!(open_at(1) < 10 && (30..70).contains(&open_at(1_000)));
    assert_eq!(open_at(2_000), 100);
    let mut started = Evacuations::default();
    assert!(!started.apply(now, at(4), &id, false));
    assert_eq!(started.state(now, "edge-0", &id), DomainState::Open);
}

/// A withdrawal that was read while the VM was away ends the evacuation; one that is repeated does
/// not begin the return anew.
#[test]
fn a_complete_read_ends_what_it_does_not_list() {
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    let (first, second) = (domain(1), domain(2));
    evacuations.apply(now, at(3), &first, true);
    evacuations.apply(now, at(9), &second, true);
    let changed = evacuations.replace(now, at(6), &BTreeMap::new());
    assert_eq!(changed, [(first.clone(), false)]);
    assert!(evacuations.is_evacuated(&second), "its record is later");
    let later = now + Duration::from_secs(5);
    assert!(!evacuations.apply(later, at(7), &first, false));
    assert_eq!(
        evacuations.state(later, "edge-0", &first),
        DomainState::Open
    );
}

/// Guards against requests to a domain whose evacuation the store has lost with a restart, and which the
/// operators write again.
#[test]
fn an_evacuation_that_the_store_has_lost_stays_for_a_while() {
    let again = |offset| StorePosition::new("2".parse().expect("an era"), offset);
    let now = Instant::now();
    let mut evacuations = Evacuations::default();
    for index in 0..4 {
        evacuations.apply(now, at(90 + u64::from(index)), &domain(index), true);
    }
    // The copy has the first one. The second is written again, the third is withdrawn.
    let listed = BTreeMap::from([(domain(0), again(7))]);
    assert!(evacuations.replace(now, again(8), &listed).is_empty());
    assert!(!evacuations.apply(now, again(9), &domain(1), true));
    assert!(evacuations.apply(now, again(10), &domain(2), false));
    assert!(evacuations.expire(now).is_empty());
    assert_eq!(evacuated(&evacuations), [domain(0), domain(1), domain(3)]);
    assert_eq!(evacuations.expire(now + REANNOUNCE_TIME), [domain(3)]);
    assert_eq!(evacuated(&evacuations), [domain(0), domain(1)]);
}
