//! Guards against a process that runs out of memory because many callers read long responses slowly.

mod common;
mod crowd;

use std::thread;
use std::time::Duration;

use carobshore_standin::site_target::Behaviour;
use carobshore_standin::site_wire::VmLimits;

use crate::common::request;
use crate::common::site;
use crate::crowd::Bounds;
use crate::crowd::assert_holds;
use crate::crowd::await_first_bytes;
use crate::crowd::send_from;
use crate::crowd::sip;

/// The memory of the VM, in units of 2^20 bytes.
const MEMORY_MB: u32 = 64;
/// The length of a response, in bytes. The kernel takes 2.6 MB of it on loopback.
const RESPONSE: usize = 3_000_000;
/// The number of slow readers.
const READERS: u8 = 60;
/// How often each of them reads 1 KiB, and the pause between.
const SIPS: (u32, Duration) = (20, Duration::from_millis(100));

#[test]
fn many_slow_readers_of_long_responses_leave_the_process_within_its_memory() {
    let mut site = site("slow-readers", 4);
    site.limits = VmLimits {
        memory_mb: MEMORY_MB,
        ..VmLimits::default()
    };
    let mut gateway = site.gateway("edge-1");
    let set = |behaviour| site.targets.iter().for_each(|target| target.set(behaviour));
    set(Behaviour::Long(RESPONSE));
    let mut readers = Vec::new();
    for index in 0..READERS {
        let text = request("safe", &format!("slow-{index}"), 1_500, "");
        if let Some(mut stream) = send_from(1, gateway.callers, text.as_bytes()) {
            await_first_bytes(&mut stream);
            readers.push(stream);
        }
    }
    let (sips, pause) = SIPS;
    for _ in 0..sips {
        readers.iter_mut().for_each(sip);
        thread::sleep(pause);
    }
    set(Behaviour::Serve);
    let bounds = Bounds {
        peak: u64::from(MEMORY_MB) << 10,
        descriptors: 400,
    };
    assert_holds(&mut gateway, bounds);
}
