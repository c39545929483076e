//! Tests of the read lease.

use std::time::Duration;

use carobshore_lib::prelude::*;
use carobshore_lib::read_lease::LEASE;
use carobshore_lib::read_lease::LEASE_WAIT;
use carobshore_testutils::manual_clock::ManualClock;

/// Guards against a lease that counts from a read's return: a record appended between issue and
/// return would not be covered.
#[test]
fn lease_counts_from_the_issue_of_a_read() {
    let clock = ManualClock::default();
    let issued = clock.now();
    let mut lease = ReadLease::default();
    clock.advance(Duration::from_secs(9));
    assert!(!lease.holds(clock.now()));
    lease.read_ok(issued, true);
    assert!(lease.holds(clock.now()));
    assert_eq!(lease.until(), Some(issued + LEASE));
    clock.advance(Duration::from_secs(1));
    assert!(!lease.holds(clock.now()), "the end itself is not covered");
    assert!(LEASE_WAIT >= LEASE.mul_f64(1.05));
}

/// Guards against a read that returns late and shortens or revives the lease.
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

/// Guards against a suspended VM whose monotonic clock stood still: the lease seems valid.
#[test]
fn distrusted_lease_needs_a_read_issued_afterwards() {
    let clock = ManualClock::default();
    let issued = clock.now();
    let mut lease = ReadLease::default();
    lease.read_ok(issued, true);
    clock.advance(Duration::from_secs(1));
    lease.distrust(clock.now());
    assert!(!lease.holds(clock.now()));
    lease.read_ok(issued + Duration::from_millis(500), true);
    assert!(!lease.holds(clock.now()));
    lease.read_ok(clock.now(), true);
    assert!(lease.holds(clock.now()));
}
