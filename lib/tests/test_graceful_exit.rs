//! Tests of the shutdown sequence. They guard against requests that a planned stop aborts, and
//! against a VM that refuses new work long before its process exits.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::graceful_exit::GracefulExit;
use carobshore_lib::log_rate_limiter::LogRateLimiter;
use carobshore_lib::work_estimate::WorkEstimate;

const GRACE: Duration = Duration::from_secs(6);

fn at(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

#[test]
fn work_is_accepted_until_two_readiness_checks_have_failed() {
    let start = Instant::now();
    let mut exit = GracefulExit::new(GRACE);
    assert!(exit.takes_work(start));
    exit.signal(start);
    assert!(exit.is_stopping());
    assert!(exit.takes_work(at(start, 2_900)));
    assert!(!exit.takes_work(at(start, 3_000)));
}

#[test]
fn the_process_exits_only_when_nothing_is_in_flight() {
    let start = Instant::now();
    let mut exit = GracefulExit::new(GRACE);
    assert!(!exit.may_exit(at(start, 9_000), 0), "no stop was requested");
    exit.signal(start);
    assert!(
        !exit.may_exit(at(start, 2_000), 0),
        "new connections are still accepted"
    );
    assert!(!exit.may_exit(at(start, 5_000), 1));
    assert!(exit.may_exit(at(start, 5_000), 0));
}

#[test]
fn a_second_signal_changes_nothing() {
    let start = Instant::now();
    let mut exit = GracefulExit::new(GRACE);
    exit.signal(start);
    exit.signal(at(start, 2_500));
    assert!(exit.may_exit(at(start, 3_000), 0));
    assert_eq!(
        exit.time_left(at(start, 2_500)),
        Some(Duration::from_millis(3_350))
    );
}

#[test]
fn no_deadline_lies_behind_the_end_of_the_grace_period() {
    let start = Instant::now();
    let mut exit = GracefulExit::new(GRACE);
    let [near, far] = [at(start, 2_000), at(start, 60_000)];
    assert_eq!((exit.deadline(), exit.limit(far)), (None, far));
    exit.signal(start);
    let end = exit.deadline().expect("a deadline");
    assert!(end < start + GRACE);
    assert_eq!((exit.limit(near), exit.limit(far)), (near, end));
}

#[test]
fn the_process_ends_before_it_is_killed_whatever_is_in_flight() {
    let start = Instant::now();
    let mut exit = GracefulExit::new(GRACE);
    exit.signal(start);
    let end = exit.deadline().expect("a deadline");
    assert!(!exit.may_exit(end, 1), "the last answers are on their way");
    assert!(exit.may_exit(at(start, 5_999), 1));
}

#[test]
fn half_of_a_short_grace_period_is_left_for_requests_in_flight() {
    let start = Instant::now();
    let mut exit = GracefulExit::new(Duration::from_secs(2));
    exit.signal(start);
    assert!(!exit.takes_work(at(start, 1_000)));
}

#[test]
fn log_lines_are_limited_and_omitted_ones_are_counted() {
    let start = Instant::now();
    let mut budget = LogRateLimiter::new(start, 2);
    assert_eq!(budget.take(start), Some(0));
    assert_eq!(budget.take(start), Some(0));
    assert_eq!(budget.take(start), None);
    assert_eq!(budget.take(at(start, 500)), None);
    assert_eq!(budget.take(at(start, 1_000)), Some(2));
}

#[test]
fn the_estimate_follows_measured_times_and_is_robust_to_one_outlier() {
    let mut work = WorkEstimate::new(Duration::from_millis(600));
    assert_eq!(work.get(), Duration::from_millis(200));
    work.observe(1_000.0);
    assert!(work.get() < Duration::from_millis(240));
    for _ in 0..100 {
        work.observe(0.5);
    }
    assert!(work.get() < Duration::from_millis(10));
}
