//! Guards against a process that has no connection left for ordinary callers because a few addresses
//! hold all of them.

mod common;
mod crowd;

use std::net::SocketAddr;
use std::net::TcpStream;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::crowd::connect_from;
use crate::crowd::daemon;

/// The peak resident memory, in KiB.
const PEAK: u64 = 80 << 10;
/// The number of connections that the crowd holds or tries to hold.
const CONNECTIONS: u16 = 600;
/// The number of addresses from which they come.
const ADDRESSES: u16 = 12;
/// How long the crowd stays before the process is looked at.
const STAY: Duration = Duration::from_secs(2);

/// Holds connections from many addresses. Replaces those that were closed until `done`.
fn hold(addr: SocketAddr, done: &AtomicBool) {
    let mut crowd: Vec<Option<TcpStream>> = (0..CONNECTIONS).map(|_| None).collect();
    while !done.load(Ordering::SeqCst) {
        for (index, held) in (0_u16..).zip(&mut crowd) {
            // A connection that was refused has a response to read, and one that was closed its end.
            let ended = held.as_ref().is_none_or(|stream| {
                let _ = stream.set_nonblocking(true);
                stream.peek(&mut [0]).is_ok()
            });
            if ended {
                *held = connect_from(11 + (index % ADDRESSES) as u8, addr);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_crowd_of_connections_leaves_room_for_ordinary_callers() {
    let mut daemon = daemon(&["--max-connections=150"]);
    let addr = daemon.callers;
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| hold(addr, &done));
        thread::sleep(STAY);
        let held = panic::catch_unwind(AssertUnwindSafe(|| daemon.assert_holds(PEAK, 350)));
        done.store(true, Ordering::SeqCst);
        held.expect("the bounds hold");
    });
}
