//! Tests of the read lease.

use std::time::Duration;

use carobshore_lib::follower::Follower;
use carobshore_lib::follower_message::FollowerAction;
use carobshore_lib::follower_message::FollowerEvent;
use carobshore_lib::follower_message::FollowerSettings;
use carobshore_lib::log_page::LogPage;
use carobshore_lib::log_page::LogRecord;
use carobshore_lib::prelude::*;
use carobshore_lib::read_lease::LEASE;
use carobshore_lib::read_lease::LEASE_WAIT;
use carobshore_testutils::manual_clock::ManualClock;

/// Guards against a lease that starts when a read returns: a record appended between issue and
/// return would not be covered.
#[test]
fn lease_starts_at_the_issue_of_a_read() {
    let clock = ManualClock::default();
    let issued = clock.now();
    let mut lease = ReadLease::default();
    clock.advance(Duration::from_secs(9));
    assert!(!lease.holds(clock.now()));
    lease.read_ok(issued, true);
    assert!(lease.holds(clock.now()));
    assert_eq!(lease.until(), Some(issued + LEASE));
    clock.advance(Duration::from_secs(1));
    assert!(!lease.holds(clock.now()), "the end itself is excluded");
    assert!(LEASE_WAIT >= LEASE.mul_f64(1.05));
}

/// Guards against a read that returns late and shortens or renews the lease.
#[test]
fn lease_follows_the_latest_issue_and_ends_with_membership() {
    let clock = ManualClock::default();
    let first = clock.now();
    let mut lease = ReadLease::default();
    lease.read_ok(first + Duration::from_secs(1), true);
    lease.read_ok(first, true);
    assert_eq!(lease.until(), Some(first + Duration::from_secs(1) + LEASE));
    lease.read_ok(first + Duration::from_secs(2), false);
    assert!(!lease.holds(first), "a displaced VM owns nothing");
}

/// Guards against a suspended VM whose monotonic clock stood still, so that its lease seems valid.
#[test]
fn invalidated_lease_needs_a_read_issued_afterwards() {
    let clock = ManualClock::default();
    let issued = clock.now();
    let mut lease = ReadLease::default();
    lease.read_ok(issued, true);
    clock.advance(Duration::from_secs(1));
    lease.invalidate(clock.now());
    assert!(!lease.holds(clock.now()));
    lease.read_ok(issued + Duration::from_millis(500), true);
    assert!(!lease.holds(clock.now()));
    lease.read_ok(clock.now(), true);
    assert!(lease.holds(clock.now()));
}

/// Guards against a lease from a read that was cut off at its maximum number of records, or from an
/// old copy of the log: either may have missed the record that moves ownership.
#[test]
fn only_a_read_that_reached_the_end_renews_the_lease() {
    let clock = ManualClock::default();
    let settings = FollowerSettings {
        page_size: 2,
        ..FollowerSettings::default()
    };
    let mut follower = Follower::new(clock.now(), settings);
    let mut read = |from: u64, next: u64, count: u64| {
        let records = (from..from + count).map(|at| LogRecord {
            offset: Offset(at),
            data: "{}".into(),
        });
        let page = LogPage {
            first: Offset(0),
            next: Offset(next),
            records: records.collect(),
        };
        let event = FollowerEvent::Page {
            from: Offset(from),
            issued: clock.now(),
            page,
        };
        let mut actions = Vec::new();
        follower.handle(clock.now(), event, &mut actions);
        let current = |action: &FollowerAction| matches!(action, FollowerAction::CaughtUp { .. });
        actions.iter().any(current)
    };
    assert!(!read(0, 5, 2));
    assert!(!read(2, 5, 2));
    assert!(read(4, 5, 1));
    assert!(!read(5, 4, 0), "an outdated copy of the log");
    assert!(read(5, 5, 0));
}
