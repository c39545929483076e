//! Guards against refusals, in calm, of a single request inside the limits of the configuration: the
//! largest body is two fifths of the smallest VM's memory (64 MiB of 160).

mod common;
mod crowd;

use std::io::Write;

use bytes::BytesMut;
use carobshore_standin::site_store::OPERATORS;
use carobshore_standin::site_wire;
use carobshore_standin::site_wire::VmLimits;

use crate::common::read_response;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::wait;
use crate::crowd::Bounds;
use crate::crowd::assert_holds;
use crate::crowd::connect_from;

/// The memory of the VM, in units of 2^20 bytes.
const MEMORY_MB: u32 = 40;
/// The largest body, in bytes.
const LENGTH: usize = 16 << 20;

#[test]
fn a_single_request_with_the_largest_body_is_served() {
    let mut site = site("largest-body", 2);
    site.limits = VmLimits {
        memory_mb: MEMORY_MB,
        ..VmLimits::default()
    };
    let document = site_wire::configuration(2, &routes(10_000, "status"));
    let document = document.replace("1000000", &LENGTH.to_string());
    site.store
        .put(OPERATORS, "config", Some(document.as_bytes()));
    let mut gateway = site.gateway("edge-1");
    wait("the configuration is in force", || {
        gateway.dump().contains("\"version\":2")
    });
    let mut stream = connect_from(1, gateway.callers).expect("a connection");
    let text = request("unsafe", "largest", 10_000, &"x".repeat(LENGTH));
    let (head, body) = text.split_at(text.len() - LENGTH);
    stream.write_all(head.as_bytes()).expect("a head");
    // A refusal closes the connection before the body is sent.
    let _ = stream.write_all(body.as_bytes());
    let response = read_response(&mut stream, &mut BytesMut::new());
    let status = response.map(|response| response.head.status);
    eprintln!("status {status:?}");
    let bounds = Bounds {
        peak: u64::from(MEMORY_MB) << 10,
        descriptors: 400,
    };
    assert_holds(&mut gateway, bounds);
    assert_eq!(status, Some(200));
    assert_eq!(site.runs_of("largest"), 1);
}
