//! Guards against a process that has no connection left for ordinary callers because a few addresses
//! hold all of them.

mod common;
mod crowd;

use std::thread;
use std::time::Duration;

use crate::crowd::connect_from;
use crate::crowd::daemon;

/// The peak resident memory, in KiB.
const PEAK: u64 = 80 << 10;
/// The number of connections that the crowd opens.
const CONNECTIONS: u16 = 600;
/// The number of addresses from which they come.
const ADDRESSES: u16 = 12;
/// How long the crowd stays before the process is looked at.
const STAY: Duration = Duration::from_secs(2);

#[test]
fn a_crowd_of_connections_leaves_room_for_ordinary_callers() {
    let mut daemon = daemon(&["--max-connections=150"]);
    let crowd: Vec<_> = (0..CONNECTIONS)
        .filter_map(|index| connect_from(11 + (index % ADDRESSES) as u8, daemon.callers))
        .collect();
    thread::sleep(STAY);
    daemon.assert_holds(PEAK, 350);
    drop(crowd);
}
