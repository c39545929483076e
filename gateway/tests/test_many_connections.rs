//! Guards against a process that has no descriptor left because many callers hold connections.

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

use carobshore_standin::site_wire::VmLimits;

use crate::common::LOW_DESCRIPTORS;
use crate::common::site;
use crate::common::wait;
use crate::crowd::Bounds;
use crate::crowd::assert_holds;
use crate::crowd::connect_from;
use crate::crowd::sip;

/// The number of connections that the crowd holds or tries to hold.
const CONNECTIONS: u16 = 600;
/// The number of addresses from which they come.
const ADDRESSES: u16 = 12;
/// How long the crowd stays before the process is looked at.
const STAY: Duration = Duration::from_secs(3);

/// Holds connections from many addresses. Replaces those that were closed until `done`.
fn hold(addr: SocketAddr, done: &AtomicBool) {
    let mut crowd: Vec<_> = (0..CONNECTIONS).map(|_| None).collect();
    while !done.load(Ordering::SeqCst) {
        for (index, held) in (0_u16..).zip(&mut crowd) {
            let host = 11 + (index % ADDRESSES) as u8;
            let ended = held.as_mut().is_none_or(|stream: &mut TcpStream| {
                let _ = stream.set_nonblocking(true);
                matches!(stream.peek(&mut [0]), Ok(0))
                    || stream.take_error().is_ok_and(|error| error.is_some())
            });
            if ended {
                *held = connect_from(host, addr);
            } else if let Some(stream) = held {
                sip(stream);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_crowd_of_connections_leaves_descriptors_for_ordinary_callers() {
    let mut site = site("many-connections", 2);
    site.limits = VmLimits {
        descriptors: LOW_DESCRIPTORS,
        ..VmLimits::default()
    };
    let mut gateway = site.limited_gateway("edge-1");
    let addr = gateway.callers;
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| hold(addr, &done));
        thread::sleep(STAY);
        let bounds = Bounds {
            peak: 80 << 10,
            descriptors: LOW_DESCRIPTORS as usize * 7 / 8,
        };
        let held = panic::catch_unwind(AssertUnwindSafe(|| {
            assert_holds(&mut gateway, bounds);
            wait("the admin address answers", || !gateway.dump().is_empty());
        }));
        done.store(true, Ordering::SeqCst);
        held.expect("the bounds hold");
    });
}
