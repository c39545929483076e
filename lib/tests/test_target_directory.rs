//! Guards against requests to targets that have left, and against the loss of all targets when the
//! store recovers from an outage without their announcements.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::announced_target::AnnouncedTarget;
use carobshore_lib::prelude::Slots;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::TargetState;
use carobshore_lib::target_directory::Announced;
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

#[test]
fn an_older_announcement_does_not_undo_a_newer_one() {
    let mut directory = TargetDirectory::default();
    assert_eq!(directory.announce(target("t", 5, 1)), Announced::Joined);
    let mut leaving = target("t", 5, 3);
    leaving.state = TargetState::Leaving;
    assert_eq!(directory.announce(leaving), Announced::Changed);
    assert_eq!(directory.announce(target("t", 5, 2)), Announced::Stale);
    assert_eq!(directory.announce(target("t", 4, 9)), Announced::Stale);
    let state = directory.get(&id("t")).map(|target| target.state);
    assert_eq!(state, Some(TargetState::Leaving));
}

#[test]
fn a_late_announcement_does_not_bring_back_a_removed_target() {
    let mut directory = TargetDirectory::default();
    directory.announce(target("t", 5, 3));
    assert!(directory.withdraw(Instant::now(), &id("t")));
    assert_eq!(directory.announce(target("t", 5, 2)), Announced::Stale);
    assert_eq!(directory.announce(target("t", 5, 3)), Announced::Stale);
    assert_eq!(directory.announce(target("t", 6, 1)), Announced::Joined);
}

#[test]
fn a_restarted_target_with_the_same_id_is_a_new_target() {
    let mut directory = TargetDirectory::default();
    directory.announce(target("t", 5, 30));
    assert_eq!(directory.announce(target("t", 6, 1)), Announced::Joined);
}

#[test]
fn targets_missing_after_an_outage_stay_until_they_had_time_to_announce_themselves() {
    let mut directory = TargetDirectory::default();
    let now = Instant::now();
    directory.announce(target("back", 1, 1));
    directory.announce(target("gone", 1, 1));
    directory.store_recovered(now);
    let gone = directory.retain(now + Duration::from_millis(10), &BTreeSet::new());
    assert!(gone.is_empty());
    assert!(directory.is_missing(&id("back")));
    directory.announce(target("back", 1, 2));
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
    directory.announce(target("t", 1, 1));
    assert!(directory.withdraw(now + Duration::from_secs(3), &id("t")));
    assert!(directory.is_empty());
}
