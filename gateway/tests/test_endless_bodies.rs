//! Guards against a process that runs out of memory because many callers send bodies without end.

mod common;
mod crowd;

use std::io::Write;
use std::thread;
use std::time::Duration;

use carobshore_standin::site_wire::VmLimits;

use crate::common::site;
use crate::crowd::Bounds;
use crate::crowd::assert_holds;
use crate::crowd::send_from;

/// The memory of the VM, in units of 2^20 bytes.
const MEMORY_MB: u32 = 48;
/// The number of connections that send chunks of one byte.
const CHUNKED: u8 = 60;
/// The number of connections that state a length and send all but the last byte.
const UNFINISHED: u8 = 60;
/// The length that they state: the largest that the configuration allows.
const LENGTH: usize = 1_000_000;
/// How long the crowd stays before the process is looked at.
const STAY: Duration = Duration::from_secs(3);

#[test]
fn bodies_without_end_leave_the_process_within_its_memory() {
    let mut site = site("endless-bodies", 2);
    site.limits = VmLimits {
        memory_mb: MEMORY_MB,
        ..VmLimits::default()
    };
    let mut gateway = site.gateway("edge-1");
    let addr = gateway.callers;
    let head = "POST /unsafe/x HTTP/1.1\r\nHost: site.example\r\n";
    for index in 0..CHUNKED.max(UNFINISHED) {
        if index < CHUNKED {
            let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
            let chunks = "1\r\nx\r\n".repeat(1_000);
            thread::spawn(move || {
                let mut stream = send_from(1, addr, head.as_bytes())?;
                while stream.write_all(chunks.as_bytes()).is_ok() {}
                Some(())
            });
        }
        if index < UNFINISHED {
            let head = format!("{head}Content-Length: {LENGTH}\r\n\r\n");
            thread::spawn(move || {
                let mut stream = send_from(2, addr, head.as_bytes())?;
                stream.write_all(&vec![b'x'; LENGTH - 1]).ok()?;
                thread::sleep(STAY * 2);
                Some(())
            });
        }
    }
    thread::sleep(STAY);
    let bounds = Bounds {
        peak: u64::from(MEMORY_MB) << 10,
        descriptors: 400,
    };
    assert_holds(&mut gateway, bounds);
}
