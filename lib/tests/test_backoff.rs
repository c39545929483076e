//! Tests of the backoff between attempts.

use std::time::Duration;

use carobshore_lib::backoff::Backoff;

/// Guards against restarts without a pause, and against a delay that overflows to zero.
#[test]
fn delays_double_up_to_the_limit_and_can_be_reset() {
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(10));
    let delays: Vec<_> = (0..9).map(|_| backoff.failed().as_millis()).collect();
    assert_eq!(
        delays,
        [100, 200, 400, 800, 1_600, 3_200, 6_400, 10_000, 10_000]
    );
    for _ in 0..100 {
        assert_eq!(backoff.failed(), Duration::from_secs(10));
    }
    backoff.succeeded();
    assert_eq!(backoff.failed(), Duration::from_millis(100));
}
