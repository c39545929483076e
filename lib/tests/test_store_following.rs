//! Guards against VMs that miss a change: of a record that was dropped, while the store is slow, or
//! because the changes since an offset are no longer complete.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::keyed_record::unseen;
use carobshore_lib::read_wait::ReadWait;
use carobshore_lib::return_pace::ReturnPace;
use carobshore_lib::source_choice::Source;
use carobshore_lib::source_choice::SourceChoice;
use carobshore_lib::source_choice::SourceFailure;
use carobshore_lib::store_mirror::StoreMirror;
use carobshore_lib::target_directory::REANNOUNCE_TIME;

fn record(offset: u64, key: &str, value: Option<&str>) -> KeyedRecord {
    KeyedRecord {
        offset,
        key: key.into(),
        value: value.map(Box::from),
    }
}

#[test]
fn a_dropped_key_reaches_who_knew_it() {
    let mut mirror = StoreMirror::default();
    mirror.load(
        vec![record(3, "a", Some("1")), record(4, "b", Some("1"))],
        5,
    );
    mirror.extend([record(5, "a", None)], 6);
    let changes = mirror.since(5);
    assert!(!changes.whole);
    assert_eq!(changes.records, vec![record(5, "a", None)]);
    assert_eq!(changes.next, 6);
}

#[test]
fn who_knows_nothing_gets_everything_and_is_told_so() {
    let mut mirror = StoreMirror::default();
    mirror.load(vec![record(3, "a", Some("1"))], 5);
    for from in [0, 4, u64::MAX] {
        let changes = mirror.since(from);
        assert!(changes.whole, "from {from}");
        assert_eq!(changes.records.len(), 1);
    }
    assert!(!mirror.since(5).whole);
}

#[test]
fn an_empty_topic_is_handed_on_as_known() {
    // Without this a VM that starts before the first target never becomes ready.
    let mut mirror = StoreMirror::default();
    assert_eq!(mirror.next(), None);
    mirror.load(Vec::new(), 0);
    assert_eq!(mirror.next(), Some(0));
    assert!(mirror.since(u64::MAX).whole);
}

#[test]
fn when_dropped_keys_are_forgotten_everything_is_given() {
    let mut mirror = StoreMirror::default();
    mirror.load(Vec::new(), 0);
    for offset in 0..2_000 {
        let key = offset.to_string();
        mirror.extend([record(offset, &key, None)], offset + 1);
    }
    assert!(mirror.since(10).whole);
    let recent = mirror.since(1_995);
    assert!(!recent.whole);
    assert_eq!(recent.records.len(), 5);
}

/// A change has to be in force within 2 s: also one that a slow store left out of a read that waits,
/// and one whose answer was lost on a connection that went silent. Both are found by the next call,
/// which follows the pause after a change.
#[test]
fn a_change_that_a_read_misses_is_found_in_time() {
    let bound = Duration::from_secs(2);
    let pause = Duration::from_millis(300);
    let quick = ReadWait::after(Duration::from_millis(5));
    let answer = Duration::from_millis(100);
    assert!(pause + quick.get() + quick.slack() + answer < bound);
    let slow = ReadWait::after(Duration::from_millis(240));
    assert!(pause + slow.get() + Duration::from_millis(240) * 2 < bound);
}

/// A store that answers slowly must not count as lost at each read.
#[test]
fn a_slow_store_is_given_the_time_that_it_takes() {
    for millis in [1, 240, 330] {
        let time = Duration::from_millis(millis);
        assert!(ReadWait::after(time).slack() > time);
    }
    let never = ReadWait::after(Duration::from_secs(9));
    assert!(never.slack() <= Duration::from_secs(1));
}

/// A VM that was cut off counts as in touch again 3 s after the cut. One gave a request to a target
/// that had left, because it noticed the store's return 2.1 s late and then kept the target for the
/// 2.2 s in which expired entries come back.
#[test]
fn whenever_the_store_returns_missing_targets_are_out_of_use_in_time() {
    let in_touch = Duration::from_secs(3);
    let start = Instant::now();
    let mut pace = ReturnPace::new(start);
    let mut begun = vec![start];
    let calls = std::iter::repeat_with(|| {
        let at = pace.due(1, 0).expect("one call more");
        pace.began(at);
        at
    });
    begun.extend(calls.take(200));
    for millis in 0..60_000 {
        let returned = start + Duration::from_millis(millis);
        let first = begun.iter().find(|at| **at >= returned);
        let noticed = *first.expect("a call after the return");
        let out_of_use = noticed + REANNOUNCE_TIME;
        assert!(out_of_use < returned + in_touch, "after {millis} ms");
    }
}

/// A call from before another VM told more answers late: its records would take a target out of use
/// that is back, for good.
#[test]
fn records_that_are_known_are_not_taken_again() {
    let late = vec![
        record(10, "i-1", None),
        record(12, "i-1", Some("back")),
        record(13, "i-2", Some("new")),
    ];
    assert_eq!(unseen(late.clone(), 13), vec![late[2].clone()]);
    assert_eq!(unseen(late.clone(), 0), late);
    assert!(unseen(late, 20).is_empty());
}

/// A store that never answers must not take more and more connections.
#[test]
fn calls_that_get_no_answer_are_bounded() {
    let pace = ReturnPace::new(Instant::now());
    assert!(pace.due(5, 0).is_some());
    assert!(pace.due(6, 0).is_none());
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// On a site of 101 VMs an outage of the store doubled the calls of the day: each VM asked the store
/// twice a second. One of a failure domain has to, and the others hear of the return from it.
#[test]
fn an_outage_of_the_store_costs_few_calls_of_vms_that_have_another_one_before_them() {
    let outage = Duration::from_secs(10);
    let calls = |waiting: usize| {
        let start = Instant::now();
        let mut pace = ReturnPace::new(start);
        let mut count = 0;
        while let Some(at) = pace.due(1, waiting).filter(|at| *at < start + outage) {
            pace.began(at);
            count += 1;
        }
        count
    };
    let (often, rarely) = (calls(0), calls(5));
    assert!(often >= 20, "{often}");
    assert!(rarely <= 2, "{rarely}");
    // The 28 VMs of a failure domain together ask little more often than twice its first one.
    let all: u32 = (0..28).map(calls).sum();
    assert!(all <= 4 * often, "{all} calls, {often} of the first VM");
}

/// While all VMs before it are cut off too, a VM asks each of them again every 3 s. It must not take
/// them for gone meanwhile: on a site of 116 VMs each one then asked the store three times in a second,
/// every 3 s.
#[test]
fn a_vm_that_is_asked_again_still_counts_as_waiting_for_the_store() {
    let start = Instant::now();
    let sources = [addr(1), addr(2), addr(3)];
    let mut choice = SourceChoice::default();
    choice.failed(start, addr(1), SourceFailure::Cut);
    choice.failed(start, addr(2), SourceFailure::Silent);
    // Another failure domain's VM does not tell of the return.
    choice.failed(start, addr(9), SourceFailure::Cut);
    assert_eq!(choice.waiting(start, &sources), 1);
    let again = start + Duration::from_millis(3_100);
    let asked = choice
        .choose(again, &sources, true)
        .map(|source| source.addr);
    assert_eq!(asked, Some(addr(1)));
    assert_eq!(choice.waiting(again, &sources), 1);
    let gone = start + Duration::from_secs(7);
    assert_eq!(choice.waiting(gone, &sources), 0);
}

#[test]
fn a_vm_that_is_cut_off_too_is_asked_only_if_no_other_one_is_left() {
    let now = Instant::now();
    let sources = [addr(1), addr(2), addr(3)];
    let mut choice = SourceChoice::default();
    let sound = |port| {
        Some(Source {
            addr: addr(port),
            cut: false,
        })
    };
    assert_eq!(choice.choose(now, &sources, true), sound(1));
    choice.failed(now, addr(1), SourceFailure::Silent);
    choice.failed(now, addr(2), SourceFailure::Cut);
    assert_eq!(choice.choose(now, &sources, true), sound(3));
    choice.failed(now, addr(3), SourceFailure::Cut);
    let cut = Source {
        addr: addr(2),
        cut: true,
    };
    assert_eq!(choice.choose(now, &sources, true), Some(cut));
    // A VM that the store serves reads it.
    assert_eq!(choice.choose(now, &sources, false), None);
    // Each one gets another chance.
    let later = now + Duration::from_secs(4);
    assert_eq!(choice.choose(later, &sources, false), sound(1));
}
