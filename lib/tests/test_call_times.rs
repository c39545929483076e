//! Guards against requests that wait for a target until they can no longer be served in time, and
//! against hedges and retries that cannot finish before the deadline.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::call_times::CallTimes;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn times(arrived: Instant, latency: u64, work: u64) -> CallTimes {
    CallTimes {
        arrived,
        latency: millis(latency),
        work: millis(work),
        deadline: arrived + millis(1_500),
    }
}

#[test]
fn a_request_that_has_waited_can_still_be_served_in_time() {
    let now = Instant::now();
    let times = times(now, 600, 220);
    let end = times.wait_end(now);
    assert!(end > now + millis(150));
    assert!(end + millis(220) * 17 / 10 <= times.soft_deadline());
}

#[test]
fn a_request_without_spare_time_still_waits_a_little() {
    let now = Instant::now();
    let end = times(now, 600, 500).wait_end(now);
    assert_eq!(end, now + millis(75));
}

#[test]
fn a_retry_waits_again_but_never_past_the_deadline() {
    let arrived = Instant::now();
    let times = times(arrived, 600, 220);
    let later = arrived + millis(700);
    let end = times.wait_end(later);
    assert!(end > later && end < later + millis(150));
    assert_eq!(times.wait_end(arrived + millis(1_490)), times.deadline);
}

#[test]
fn a_hedge_is_sent_when_the_request_is_overdue_and_only_if_it_can_finish_in_time() {
    let arrived = Instant::now();
    let times = times(arrived, 600, 220);
    assert_eq!(times.hedge_at(arrived), Some(arrived + millis(550)));
    let later = arrived + millis(900);
    assert_eq!(times.hedge_at(later), Some(later));
    assert_eq!(times.hedge_at(arrived + millis(1_300)), None);
    let short = CallTimes {
        work: millis(5),
        ..times
    };
    assert_eq!(short.hedge_at(arrived), Some(arrived + millis(100)));
}

#[test]
fn there_is_no_retry_that_would_end_after_the_deadline() {
    let arrived = Instant::now();
    let times = times(arrived, 600, 220);
    assert!(times.has_time(arrived + millis(1_300)));
    assert!(!times.has_time(arrived + millis(1_400)));
}
