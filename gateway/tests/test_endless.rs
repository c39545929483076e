//! Guards the process against targets that send responses without end.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::endless_part::EndlessPart;
use carobshore_standin::site_target::Behaviour;

use crate::common::Gateway;
use crate::common::call;
use crate::common::request;
use crate::common::site;
use crate::common::wait;

/// Half of the memory limit in the settings, in KiB.
const MEMORY_KIB: u64 = 160 * 1_024 / 2;

/// Returns the largest memory that the process has used, in KiB.
fn peak_memory(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.process_id()));
    let status = status.expect("the status of the process");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.expect("a number").parse().expect("a number")
}

/// Sends requests to a target that sends this part without end, and to a good one.
fn call_endless(part: EndlessPart) {
    let site = site(&format!("endless-{part:?}"), 2);
    let gateway = site.gateway("edge-1");
    site.targets[0].set(Behaviour::Endless(part));
    for index in 0..3 {
        let id = format!("id-{index}");
        let response = gateway.call("safe", &id, "");
        assert_eq!(response.head.status, 200, "{part:?}");
        assert_eq!(response.body, format!("body of {id}"), "{part:?}");
    }
    site.targets[1].set(Behaviour::Endless(part));
    let response = gateway.call("unsafe", "once", "x");
    assert!([502, 504].contains(&response.head.status), "{part:?}");
    assert_eq!(site.runs_of("once"), 1, "{part:?}");
}

#[test]
fn endless_responses_of_any_part_end_their_attempts_alone() {
    for parts in EndlessPart::ALL.chunks(2) {
        thread::scope(|scope| {
            for part in parts {
                scope.spawn(|| call_endless(*part));
            }
        });
    }
}

#[test]
fn twenty_endless_responses_at_once_use_a_bounded_memory() {
    let site = site("endless-many", 21);
    let gateway = site.gateway("edge-1");
    let (good, endless) = site.targets.split_last().expect("targets");
    for target in endless {
        target.set(Behaviour::Endless(EndlessPart::Body));
    }
    let callers = gateway.callers;
    let started = Instant::now();
    let endless_callers: Vec<_> = (0..20)
        .map(|index| {
            let text = request("unsafe", &format!("endless-{index}"), 1_500, "x");
            thread::spawn(move || call(callers, &text).head.status)
        })
        .collect();
    for target in endless {
        target.set_work(Duration::ZERO);
    }
    let mut served = 0;
    while started.elapsed() < Duration::from_millis(1_200) {
        let response = gateway.call("safe", &format!("other-{served}"), "");
        served += usize::from(response.head.status == 200);
    }
    for caller in endless_callers {
        let status = caller.join().expect("a response");
        assert!([200, 502, 504].contains(&status), "{status}");
    }
    let peak = peak_memory(&gateway);
    assert!(peak < MEMORY_KIB, "{peak} KiB");
    assert!(served > 0 && !good.runs().is_empty(), "{served} served");
    gateway.wait_for_line(&["a response needs too much memory", "limit"]);
    wait("the memory is given back", || {
        gateway.dump().contains("\"body_bytes\":0")
    });
}
