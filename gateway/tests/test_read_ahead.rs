//! Guards against a process that runs out of memory because a few callers send many requests ahead and
//! read none of the responses.

mod common;
mod crowd;

use std::io::Write;
use std::thread;
use std::time::Duration;

use carobshore_standin::site_target::Behaviour;
use carobshore_standin::site_wire::VmLimits;

use crate::common::request;
use crate::common::site;
use crate::crowd::Bounds;
use crate::crowd::assert_holds;
use crate::crowd::connect_from;

/// The memory of the VM, in units of 2^20 bytes.
const MEMORY_MB: u32 = 64;
/// The length of a response, in bytes.
const RESPONSE: usize = 1_000_000;
/// The number of connections.
const CONNECTIONS: u32 = 6;
/// The number of requests that each of them sends ahead.
const REQUESTS: u32 = 500;
/// How long the crowd stays before the process is looked at.
const STAY: Duration = Duration::from_secs(4);

#[test]
fn unread_responses_of_requests_sent_ahead_leave_the_process_within_its_memory() {
    let mut site = site("read-ahead", 8);
    site.limits = VmLimits {
        memory_mb: MEMORY_MB,
        ..VmLimits::default()
    };
    let mut gateway = site.gateway("edge-1");
    let set = |behaviour| site.targets.iter().for_each(|target| target.set(behaviour));
    set(Behaviour::Long(RESPONSE));
    let mut crowd = Vec::new();
    for connection in 0..CONNECTIONS {
        let Some(mut stream) = connect_from(1, gateway.callers) else {
            continue;
        };
        let text: String = (0..REQUESTS)
            .map(|index| request("safe", &format!("ahead-{connection}-{index}"), 10_000, ""))
            .collect();
        let copy = stream.try_clone().expect("a copy");
        // The process may stop reading, so that the rest is never sent.
        thread::spawn(move || stream.write_all(text.as_bytes()));
        crowd.push(copy);
    }
    thread::sleep(STAY);
    set(Behaviour::Serve);
    let bounds = Bounds {
        peak: u64::from(MEMORY_MB) << 10,
        // A quarter of what the settings allow.
        descriptors: 1_000,
    };
    assert_holds(&mut gateway, bounds);
    drop(crowd);
}
