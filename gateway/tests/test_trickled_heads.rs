//! Guards against a process that runs out of memory because many callers send the greatest part of a
//! large head and no more.

mod common;
mod crowd;

use std::thread;

use carobshore_standin::site_store::OPERATORS;
use carobshore_standin::site_wire;
use carobshore_standin::site_wire::VmLimits;

use crate::common::routes;
use crate::common::site;
use crate::crowd::Bounds;
use crate::crowd::assert_holds;
use crate::crowd::send_from;

/// The memory of the VM, in units of 2^20 bytes.
const MEMORY_MB: u32 = 40;
/// The last parts of the addresses from which the crowd comes.
const HOSTS: [u8; 4] = [11, 12, 13, 14];
/// The number of connections.
const CONNECTIONS: u16 = 2_400;
/// The number of header fields in each head. With the request line they are some 15,000 bytes.
const FIELDS: usize = 120;

#[test]
fn unfinished_heads_leave_the_process_within_its_memory() {
    let mut site = site("trickled-heads", 2);
    site.limits = VmLimits {
        memory_mb: MEMORY_MB,
        ..VmLimits::default()
    };
    let document = site_wire::configuration(2, &routes(1_500, "status"));
    let document = document.replace("1000ms", "3000ms");
    site.store
        .put(OPERATORS, "config", Some(document.as_bytes()));
    let mut gateway = site.gateway("edge-1");
    let fields = format!("Field: {}\r\n", "x".repeat(114)).repeat(FIELDS);
    let head = format!("GET /safe/x HTTP/1.1\r\nHost: site.example\r\n{fields}");
    let addr = gateway.callers;
    let connect = move |host| {
        let connect = |_| send_from(host, addr, head.as_bytes());
        (0..CONNECTIONS / HOSTS.len() as u16)
            .filter_map(connect)
            .collect::<Vec<_>>()
    };
    let crowd = HOSTS.map(|host| {
        let connect = connect.clone();
        thread::spawn(move || connect(host))
    });
    let crowd = crowd.map(|part| part.join().expect("connections"));
    let bounds = Bounds {
        peak: u64::from(MEMORY_MB) << 10,
        descriptors: 3_000,
    };
    assert_holds(&mut gateway, bounds);
    drop(crowd);
}
