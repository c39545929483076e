//! Guards against processes that end, or lose targets, because of a number in what targets send that no
//! sound target states.

mod common;

use std::thread;
use std::time::Duration;

use crate::common::site;
use crate::common::wait;

/// The time between two looks at idle connections, and some more.
const SWEEP_TIME: Duration = Duration::from_millis(1_300);

/// Guards against a process that ends, with all requests in flight, when a time beyond the range of the
/// clock is added to it: in the look at idle connections, and when a request takes one of them.
#[test]
fn a_process_outlives_a_target_with_an_endless_keep_alive_time() {
    let site = site("endless-keep-alive", 2);
    let mut gateway = site.gateway("edge-1");
    for (at, seconds) in [u64::MAX, u64::MAX / 2, 1 << 53].into_iter().enumerate() {
        site.targets[0].set_keep_alive(&format!("timeout={seconds}"));
        for index in 0..20 {
            let response = gateway.call("safe", &format!("id-{at}-{index}"), "");
            assert_eq!(response.head.status, 200, "{seconds}");
        }
        thread::sleep(SWEEP_TIME);
        assert!(!gateway.has_exited(), "{seconds}");
    }
    let warning = "malformed keep-alive";
    wait("it is logged", || gateway.has_line(&[warning]));
    let lines = gateway.lines();
    assert_eq!(
        lines.iter().filter(|line| line.contains(warning)).count(),
        1
    );
}

/// Guards against calls that end without an answer because the numbers of a load report do not add up,
/// and against a full target that counts as idle because their sum has wrapped around.
#[test]
fn callers_are_served_beside_a_target_that_states_an_impossible_load() {
    let site = site("impossible-load", 2);
    let mut gateway = site.gateway("edge-1");
    for (at, load) in [
        "4294967295,4294967295,2,100",
        "4294967295,1,2,100",
        "1e308,1e308,1e308,1e308",
        "inf,0,2",
        "0,0,0,0",
        "0,0,4294967295,4294967295",
    ]
    .into_iter()
    .enumerate()
    {
        site.targets[0].set_load(load);
        for index in 0..20 {
            let kind = if index % 2 == 0 { "safe" } else { "unsafe" };
            let response = gateway.try_call(kind, &format!("id-{at}-{index}"));
            assert_eq!(
                response.map(|response| response.head.status),
                Some(200),
                "{load}"
            );
        }
        assert!(!gateway.has_exited(), "{load}");
    }
}
