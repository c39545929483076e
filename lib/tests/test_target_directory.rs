//! Guards against requests to targets that have left, and against the loss of all targets when the
//! store recovers from an outage without their announcements.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::announced_target::AnnouncedTarget;
use carobshore_lib::prelude::Slots;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::TargetState;
use carobshore_lib::target_directory::Announced;
use carobshore_lib::target_directory::REANNOUNCE_TIME;
use carobshore_lib::target_directory::TargetDirectory;

fn id(name: &str) -> TargetId {
    name.parse().expect("a target id")
}

fn target(name: &str, started_ms: u64, sequence: u64) -> AnnouncedTarget {
    AnnouncedTarget {
        id: id(name),
        service: "status".parse().expect("a service id"),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        domain: "a".parse().expect("a domain"),
        slots: Slots::try_from(2).expect("slots"),
        state: TargetState::Serving,
        cold_until: None,
        started_ms: Some(started_ms),
        sequence,
    }
}

fn at(offset: u64) -> StorePosition {
    StorePosition::new(StoreEra::default(), offset)
}

/// Returns a position after a restart of the store.
fn again(offset: u64) -> StorePosition {
    StorePosition::new("2".parse().expect("an era"), offset)
}

fn leaving(name: &str, started_ms: u64) -> AnnouncedTarget {
    AnnouncedTarget {
        state: TargetState::Leaving,
        ..target(name, started_ms, 9)
    }
}

fn state(directory: &TargetDirectory, name: &str) -> Option<TargetState> {
    directory.get(&id(name)).map(|target| target.state)
}

/// Guards against requests to a target that has left, because the store has come back from an older copy
/// and its offsets are lower than those of before.
#[test]
fn after_a_restart_of_the_store_a_lower_offset_is_no_older_announcement() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(90), target("t", 5, 1));
    directory.announce(at(91), target("u", 5, 1));
    let now = Instant::now();
    directory.store_restarted(now, again(40));
    assert_eq!(
        directory.announce(again(41), leaving("t", 5)),
        Announced::Changed
    );
    assert_eq!(state(&directory, "t"), Some(TargetState::Leaving));
    let later = now + REANNOUNCE_TIME;
    assert!(directory.withdraw(later, again(42), &id("u")));
    // A copy of the earlier era that arrives late.
    assert_eq!(
        directory.announce(at(95), target("t", 5, 1)),
        Announced::Stale
    );
}

/// Guards against requests to a target that leaves or has left, because the copy from which the store has
/// come back says that it serves.
#[test]
fn what_leaves_stays_so_until_the_new_era_says_otherwise() {
    let mut directory = TargetDirectory::default();
    let now = Instant::now();
    for (offset, name) in ["copied", "written", "gone", "started"]
        .into_iter()
        .enumerate()
    {
        directory.announce(at(offset as u64), target(name, 5, 1));
    }
    directory.announce(at(10), leaving("copied", 5));
    directory.announce(at(11), leaving("written", 5));
    directory.withdraw(now, at(12), &id("gone"));
    directory.withdraw(now, at(13), &id("started"));
    directory.store_restarted(now, again(9));
    // Records of the copy, and one of a target that has been started again.
    assert_eq!(
        directory.announce(again(0), target("copied", 5, 1)),
        Announced::Doubtful
    );
    assert_eq!(
        directory.announce(again(2), target("gone", 5, 1)),
        Announced::Doubtful
    );
    assert_eq!(
        directory.announce(again(3), target("started", 6, 1)),
        Announced::Joined
    );
    assert_eq!(state(&directory, "copied"), Some(TargetState::Leaving));
    assert_eq!(state(&directory, "gone"), None);
    // One that was written since.
    assert_eq!(
        directory.announce(again(9), target("written", 5, 1)),
        Announced::Changed
    );
    assert_eq!(state(&directory, "written"), Some(TargetState::Serving));
    assert!(directory.settle(now).is_empty(), "it may be written again");
    let settled = directory.settle(now + REANNOUNCE_TIME);
    assert_eq!(settled.len(), 2);
    for (position, target) in settled {
        directory.announce(position, target);
    }
    assert_eq!(state(&directory, "copied"), Some(TargetState::Serving));
    assert_eq!(state(&directory, "gone"), Some(TargetState::Serving));
}

/// Guards against a target that serves again although what the copy says of it was replaced in time.
#[test]
fn a_doubtful_announcement_that_is_replaced_does_not_hold_later() {
    let mut directory = TargetDirectory::default();
    let now = Instant::now();
    for (offset, name) in ["left", "gone", "unlisted"].into_iter().enumerate() {
        directory.announce(at(offset as u64), leaving(name, 5));
    }
    directory.store_restarted(now, again(9));
    for (offset, name) in ["left", "gone", "unlisted"].into_iter().enumerate() {
        directory.announce(again(offset as u64), target(name, 5, 1));
    }
    directory.announce(again(9), leaving("left", 5));
    directory.withdraw(now, again(10), &id("gone"));
    directory.retain(now, again(11), &BTreeSet::from([id("left"), id("gone")]));
    assert!(directory.settle(now + REANNOUNCE_TIME).is_empty());
    assert_eq!(state(&directory, "left"), Some(TargetState::Leaving));
}

#[test]
fn a_copy_of_an_older_announcement_does_not_undo_a_newer_one() {
    let mut directory = TargetDirectory::default();
    assert_eq!(
        directory.announce(at(11), target("t", 5, 1)),
        Announced::Joined
    );
    let mut leaving = target("t", 5, 3);
    leaving.state = TargetState::Leaving;
    assert_eq!(directory.announce(at(13), leaving), Announced::Changed);
    assert_eq!(
        directory.announce(at(12), target("t", 5, 2)),
        Announced::Stale
    );
    assert_eq!(
        directory.announce(at(10), target("t", 4, 9)),
        Announced::Stale
    );
    let state = directory.get(&id("t")).map(|target| target.state);
    assert_eq!(state, Some(TargetState::Leaving));
}

#[test]
fn a_copy_of_an_older_announcement_does_not_bring_back_a_removed_target() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(3), target("t", 5, 3));
    assert!(directory.withdraw(Instant::now(), at(4), &id("t")));
    for offset in 2..=4 {
        let announced = directory.announce(at(offset), target("t", 5, offset));
        assert_eq!(announced, Announced::Stale);
    }
    assert_eq!(
        directory.announce(at(5), target("t", 6, 1)),
        Announced::Joined
    );
}

/// Guards against a target that is lost for good because another writer has put larger numbers under
/// its key once.
#[test]
fn the_last_announcement_in_the_log_holds_whatever_it_is_numbered() {
    for numbers in [(u64::MAX, u64::MAX), (6, 1), (5, 4)] {
        let mut directory = TargetDirectory::default();
        directory.announce(at(1), target("t", 5, 3));
        let mut odd = target("t", numbers.0, numbers.1);
        odd.addr = "127.0.0.9:9".parse().expect("an address");
        assert_eq!(directory.announce(at(2), odd), Announced::Joined);
        let own = target("t", 5, 4);
        assert_eq!(directory.announce(at(3), own.clone()), Announced::Joined);
        assert_eq!(directory.get(&id("t")), Some(&own));
    }
}

/// Guards against a target that is lost for good because its entry was gone for a moment and came back
/// unchanged.
#[test]
fn a_removed_target_comes_back_with_a_later_copy_of_the_same_announcement() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), target("t", 5, 3));
    assert!(directory.withdraw(Instant::now(), at(2), &id("t")));
    let announced = directory.announce(at(3), target("t", 5, 3));
    assert_eq!(announced, Announced::Joined);
}

/// Guards against a VM that takes an old list from another VM and loses the targets that have joined
/// since.
#[test]
fn a_list_that_is_older_than_an_announcement_does_not_remove_the_target() {
    let mut directory = TargetDirectory::default();
    let now = Instant::now();
    directory.announce(at(3), target("old", 1, 1));
    directory.announce(at(9), target("new", 1, 1));
    let gone = directory.retain(now, at(5), &BTreeSet::new());
    assert_eq!(gone, vec![id("old")]);
    assert!(!directory.withdraw(now, at(8), &id("new")), "a late copy");
    assert!(directory.get(&id("new")).is_some());
}

#[test]
fn a_restarted_target_with_the_same_id_is_a_new_target() {
    let mut directory = TargetDirectory::default();
    directory.announce(at(1), target("t", 5, 30));
    assert_eq!(
        directory.announce(at(2), target("t", 6, 1)),
        Announced::Joined
    );
}

#[test]
fn targets_missing_after_an_outage_stay_until_they_had_time_to_announce_themselves() {
    let mut directory = TargetDirectory::default();
    let now = Instant::now();
    directory.announce(at(1), target("back", 1, 1));
    directory.announce(at(2), target("gone", 1, 1));
    directory.store_recovered(now);
    let soon = now + Duration::from_millis(10);
    let gone = directory.retain(soon, at(4), &BTreeSet::new());
    assert!(gone.is_empty());
    assert!(directory.is_missing(&id("back")));
    directory.announce(at(1), target("back", 1, 1));
    assert!(directory.is_missing(&id("back")), "it is an old copy");
    directory.announce(at(5), target("back", 1, 2));
    assert!(!directory.is_missing(&id("back")));
    assert!(directory.expire(now + Duration::from_secs(2)).is_empty());
    assert_eq!(
        directory.expire(now + Duration::from_millis(2_300)),
        vec![id("gone")]
    );
    assert!(directory.get(&id("back")).is_some());
}

#[test]
fn a_target_that_leaves_without_an_outage_is_removed_at_once() {
    let mut directory = TargetDirectory::default();
    let now = Instant::now();
    directory.store_recovered(now);
    directory.announce(at(1), target("t", 1, 1));
    let later = now + Duration::from_secs(3);
    assert!(directory.withdraw(later, at(2), &id("t")));
    assert!(directory.is_empty());
}
