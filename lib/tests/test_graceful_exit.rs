//! Guards against requests that a planned stop cuts off, and against a stop that takes no work for
//! long before the process ends.

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
fn work_is_taken_until_two_questions_for_readiness_were_missed() {
    let start = Instant::now();
    let mut exit = GracefulExit::new(GRACE);
    assert!(exit.takes_work(start));
    exit.signal(start);
    assert!(exit.is_stopping());
    assert!(exit.takes_work(at(start, 2_900)));
    assert!(!exit.takes_work(at(start, 3_000)));
}

#[test]
fn the_process_ends_only_when_nothing_is_in_flight() {
    let start = Instant::now();
    let mut exit = GracefulExit::new(GRACE);
    assert!(
        !exit.may_exit(at(start, 9_000), 0),
        "nobody asked for a stop"
    );
    exit.signal(start);
    assert!(
        !exit.may_exit(at(start, 2_000), 0),
        "new connections still come"
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
fn a_short_grace_leaves_half_of_it_for_what_is_in_flight() {
    let start = Instant::now();
    let mut exit = GracefulExit::new(Duration::from_secs(2));
    exit.signal(start);
    assert!(!exit.takes_work(at(start, 1_000)));
}

#[test]
fn log_lines_are_bounded_and_those_left_out_are_counted() {
    let start = Instant::now();
    let mut budget = LogRateLimiter::new(start, 2);
    assert_eq!(budget.take(start), Some(0));
    assert_eq!(budget.take(start), Some(0));
    assert_eq!(budget.take(start), None);
    assert_eq!(budget.take(at(start, 500)), None);
    assert_eq!(budget.take(at(start, 1_000)), Some(2));
}

#[test]
fn the_estimate_follows_measured_times_and_one_outlier_moves_it_little() {
    let mut work = WorkEstimate::new(Duration::from_millis(600));
    assert_eq!(work.get(), Duration::from_millis(200));
    work.observe(1_000.0);
    assert!(work.get() < Duration::from_millis(240));
    for _ in 0..100 {
        work.observe(0.5);
    }
    assert!(work.get() < Duration::from_millis(10));
}
