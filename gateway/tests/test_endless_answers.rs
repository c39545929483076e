//! Guards against a process that runs out of memory because callers request responses that never end.

mod common;
mod crowd;

use std::thread;
use std::time::Duration;

use carobshore_standin::endless_part::EndlessPart;
use carobshore_standin::site_target::Behaviour;

use crate::common::request;
use crate::common::site;
use crate::crowd::Bounds;
use crate::crowd::assert_holds;
use crate::crowd::await_first_bytes;
use crate::crowd::send_from;

/// The number of requests to each endless target, all at once.
const REQUESTS: u8 = 20;
/// The peak resident memory of a process on a VM of 160 MB, in KiB.
const PEAK: u64 = 80 << 10;

#[test]
fn twenty_requests_for_responses_without_end_leave_the_process_within_half_its_memory() {
    let site = site("endless-answers", 1);
    let mut gateway = site.gateway("edge-1");
    site.targets[0].set_work(Duration::ZERO);
    for part in EndlessPart::ALL {
        site.targets[0].set(Behaviour::Endless(part));
        let callers: Vec<_> = (0..REQUESTS)
            .map(|index| {
                let text = request("unsafe", &format!("{part:?}-{index}"), 1_500, "x");
                let addr = gateway.callers;
                thread::spawn(move || {
                    if let Some(mut stream) = send_from(1, addr, text.as_bytes()) {
                        await_first_bytes(&mut stream);
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.join().expect("an end");
        }
    }
    site.targets[0].set(Behaviour::Serve);
    let bounds = Bounds {
        peak: PEAK,
        descriptors: 400,
    };
    assert_holds(&mut gateway, bounds);
}
