//! Guards against a process that runs out of memory because many callers read long responses slowly.

mod common;
mod crowd;

use std::io::Read;
use std::thread;
use std::time::Duration;

use crate::crowd::daemon;
use crate::crowd::request;
use crate::crowd::send_from;

/// The peak resident memory, in KiB.
const PEAK: u64 = 64 << 10;
/// The length of a response, in bytes. The kernel takes 2.6 MB of it on loopback.
const RESPONSE: usize = 6_000_000;
/// The number of slow readers.
const READERS: u8 = 60;
/// How often each of them reads 1 KiB, and the pause between.
const SIPS: (u32, Duration) = (20, Duration::from_millis(100));

#[test]
fn many_slow_readers_of_long_responses_leave_the_process_within_its_memory() {
    let mut daemon = daemon(&[]);
    let text = request(&format!("/blob?size={RESPONSE}"));
    let mut readers = Vec::new();
    for _ in 0..READERS {
        if let Some(mut stream) = send_from(1, daemon.callers, text.as_bytes()) {
            let _ = stream.read(&mut [0; 64]);
            readers.push(stream);
        }
    }
    let (sips, pause) = SIPS;
    for _ in 0..sips {
        for stream in &mut readers {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
            let _ = stream.read(&mut [0; 1_024]);
        }
        thread::sleep(pause);
    }
    daemon.assert_holds(PEAK, 350);
}
