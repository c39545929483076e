//! Guards against a process that runs out of memory because a few callers send many requests ahead and
//! read none of the responses.

mod common;
mod crowd;

use std::io::Write;
use std::thread;
use std::time::Duration;

use crate::crowd::connect_from;
use crate::crowd::daemon;
use crate::crowd::request;

/// The peak resident memory, in KiB.
const PEAK: u64 = 64 << 10;
/// The length of a response, in bytes.
const RESPONSE: usize = 1_000_000;
/// The number of connections.
const CONNECTIONS: u32 = 6;
/// The number of requests that each of them sends ahead.
const REQUESTS: usize = 500;
/// How long the crowd stays before the process is looked at.
const STAY: Duration = Duration::from_secs(4);

#[test]
fn unread_responses_of_requests_sent_ahead_leave_the_process_within_its_memory() {
    let mut daemon = daemon(&[]);
    let mut crowd = Vec::new();
    for _ in 0..CONNECTIONS {
        let Some(mut stream) = connect_from(1, daemon.callers) else {
            continue;
        };
        let text = request(&format!("/blob?size={RESPONSE}")).repeat(REQUESTS);
        crowd.push(stream.try_clone().expect("a copy"));
        // The process may stop reading, so that the rest is never sent.
        thread::spawn(move || stream.write_all(text.as_bytes()));
    }
    thread::sleep(STAY);
    daemon.assert_holds(PEAK, 350);
    drop(crowd);
}
