//! Guards the store against calls that grow with the number of VMs when all of them start at once,
//! and a failure domain against waiting for a VM that does not come back.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::join_queue::JoinQueue;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::record_age::RecordAge;
use carobshore_lib::vm_roster::VmRecord;
use carobshore_lib::vm_roster::VmRoster;

/// The numbers of VMs today, and in two years.
const SIZES: [usize; 3] = [30, 472, 7_000];
const DOMAINS: usize = 5;

fn vm(index: usize) -> VmRecord {
    let domain = format!("d{}", index % DOMAINS);
    let port = 10_000 + u16::try_from(index).expect("a small number");
    VmRecord {
        name: format!("edge-{index}").into(),
        domain: domain.parse().expect("a domain"),
        feed: ([10, 0, 0, 1], port).into(),
        link: if index < 3 * DOMAINS { 200 } else { 20 },
        era: None,
    }
}

fn roster(vms: usize) -> VmRoster {
    VmRoster::new((0..vms).map(vm).collect())
}

#[test]
fn vms_that_ask_within_a_short_time_are_registered_together() {
    for vms in SIZES {
        let start = Instant::now();
        let mut queue = JoinQueue::default();
        let mut calls = 0;
        let mut known = VmRoster::default();
        let mut now = start;
        for index in 0..vms {
            now = start + Duration::from_millis(300 * index as u64 / vms as u64);
            queue.add(now, vm(index));
            if queue.due().is_some_and(|due| due <= now) {
                queue
                    .take(now, &known)
                    .into_iter()
                    .for_each(|vm| known.add(vm));
                calls += 1;
            }
        }
        while let Some(due) = queue.due() {
            now = now.max(due);
            queue
                .take(now, &known)
                .into_iter()
                .for_each(|vm| known.add(vm));
            calls += 1;
        }
        assert_eq!(known.len(), Some(vms));
        assert!(calls <= 5 + vms / 1_000, "{calls} calls for {vms} VMs");
        assert!(now <= start + Duration::from_secs(1));
    }
}

#[test]
fn a_vm_that_asks_again_is_registered_once() {
    let now = Instant::now();
    let mut queue = JoinQueue::default();
    queue.add(now, vm(1));
    queue.add(now, vm(1));
    queue.add(now, vm(2));
    assert_eq!(queue.take(now, &roster(2)), vec![vm(2)]);
    assert!(queue.due().is_none());
}

/// Whatever each VM knows of the others, the way from VM to VM leads to one that reads the store.
#[test]
fn all_vms_of_all_domains_follow_one_reader() {
    for vms in SIZES {
        let roster = roster(vms);
        let first = (0..vms).map(vm).find(|vm| sources(&roster, vm).is_empty());
        let first = first.expect("a VM that reads the store");
        let mut readers = 0;
        for vm in (0..vms).step_by(vms / 30).map(vm) {
            let mut current = vm;
            let mut steps = 0;
            while let Some(source) = sources(&roster, &current).into_iter().next() {
                current = source;
                steps += 1;
            }
            assert_eq!(current, first);
            assert!(steps <= 2, "{steps} steps");
            readers += u32::from(steps == 0);
        }
        assert!(readers <= 1);
    }
}

#[test]
fn vms_with_different_lists_never_follow_each_other() {
    let all = roster(40);
    for seed in 0..40 {
        let known = (0..40).filter(|index| (index * 7 + seed) % 3 > 0).map(vm);
        let mut known = VmRoster::new(known.collect());
        let me = vm(seed);
        known.add(me.clone());
        for source in sources(&known, &me) {
            let back = sources(&all, &source);
            assert!(!back.contains(&me), "{} and {}", me.name, source.name);
        }
    }
}

fn sources(roster: &VmRoster, vm: &VmRecord) -> Vec<VmRecord> {
    let local = roster.sources(&vm.name, &vm.domain);
    let sources = match local.is_empty() {
        true => roster.remote_sources(&vm.name, &vm.domain),
        false => local,
    };
    sources.into_iter().cloned().collect()
}

/// All VMs of a failure domain start, and none of the first ones answers. In the model, a VM that
/// has read the store passes the records on to the others within the time of one call.
#[test]
fn few_vms_call_the_store_when_all_start_and_the_first_ones_are_gone() {
    let call = Duration::from_millis(100);
    for vms in SIZES {
        let in_domain = vms / DOMAINS;
        for gone in [0, 1, 3] {
            let start = Instant::now();
            let due = |preceding| RecordAge::new(start).store_due(preceding);
            let first = (gone..in_domain).map(due).min().expect("a VM");
            let calls = (gone..in_domain)
                .filter(|vm| due(*vm) <= first + call)
                .count();
            assert!(calls <= 10, "{calls} calls, {vms} VMs, {gone} gone");
            assert!(first <= start + Duration::from_millis(1_200));
        }
    }
}

fn era(number: &str) -> StoreEra {
    number.parse().expect("an era")
}

/// Guards against a VM that takes a list from before a restart of the store for one that all others know.
#[test]
fn a_record_of_an_earlier_era_is_listed_but_not_registered() {
    let [first, second] = ["1", "2"].map(era);
    let registered = |index, era| VmRecord {
        era: Some(era),
        ..vm(index)
    };
    // The second record is from the copy, and the third one from a VM that states no era.
    let vms = vec![registered(0, second), registered(1, first), vm(2)];
    let roster = VmRoster::new(vms);
    assert!((0..3).all(|index| roster.has(&vm(index))));
    let since = |era| (0..3).map(move |index| (index, era));
    let known = |(index, era)| roster.has_since(era, &vm(index));
    assert_eq!(
        since(second).map(known).collect::<Vec<_>>(),
        [true, false, true]
    );
    assert_eq!(since(first).map(known).collect::<Vec<_>>(), [true; 3]);
    let registered = roster.registered_in(second);
    assert!(registered.has(&vm(0)));
    assert_eq!(registered.len(), Some(1));
    let moved = VmRecord {
        feed: ([10, 0, 0, 2], 10_000).into(),
        ..vm(0)
    };
    assert!(!roster.has(&moved));
}
