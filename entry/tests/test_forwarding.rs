//! Calls between entry VMs.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use carobshore_entry::view::DataReport;
use carobshore_lib::peer_load::PeerLoad;
use carobshore_lib::roster::Roster;
use common::MAX_WAIT;
use common::assert_outcome;
use common::field;
use common::raw_call;
use common::raw_server;
use common::read_head;
use common::reporting_target;
use common::vm::Vm;

const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: status\r\nx: kept\r\n\r\n";

/// Guards against a VM that is not the home sending requests to the targets itself, and against
/// fields for other VMs reaching the caller or the target.
#[test]
fn other_vm_forwards_to_the_home() {
    let (target, seen) = reporting_target(Duration::ZERO);
    let [home, other] = Vm::pair(&[target], &[]);
    let response = raw_call(home.listen, GET, IDLE_TIMEOUT);
    assert_outcome(&response, "whole");
    let head = seen.recv_timeout(MAX_WAIT).unwrap();
    assert_eq!(head.matches("via: ").count(), 1, "{head}");

    let response = raw_call(other.listen, GET, IDLE_TIMEOUT);
    assert_outcome(&response, "whole");
    assert_eq!(response.matches("via: ").count(), 2, "{response}");
    for name in ["carobshore-free", "carobshore-queued"] {
        assert_eq!(field(&response, name), None, "{response}");
    }
    let head = seen.recv_timeout(MAX_WAIT).unwrap();
    assert_eq!(head.matches("via: ").count(), 2, "{head}");
    assert_eq!(head.matches("forwarded: ").count(), 1, "{head}");
    assert_eq!(field(&head, "x"), Some("kept"), "{head}");
    for name in ["carobshore-hops", "carobshore-origin", "carobshore-caller"] {
        assert_eq!(field(&head, name), None, "{head}");
    }
}

/// Guards against a forwarded response without the home's load, and against serving a forwarded
/// call that does not say its hops.
#[test]
fn forward_port_reports_the_load_and_requires_the_hops() {
    let (target, _seen) = reporting_target(Duration::ZERO);
    let [home, _other] = Vm::pair(&[target], &[]);
    let call = |hops: &str| {
        let request = format!("GET / HTTP/1.1\r\nhost: status\r\n{hops}\r\n");
        raw_call(home.forward, request.as_bytes(), IDLE_TIMEOUT)
    };
    let response = call("carobshore-hops: 1\r\n");
    assert_outcome(&response, "whole");
    assert!(field(&response, "carobshore-free").is_some(), "{response}");
    assert!(
        field(&response, "carobshore-queued").is_some(),
        "{response}"
    );
    for hops in ["", "carobshore-hops: 0\r\n", "carobshore-hops: 3\r\n"] {
        let response = call(hops);
        assert_eq!(
            field(&response, "carobshore-code"),
            Some("3004"),
            "{response}"
        );
    }
}

/// Guards against calls that fail because the home of their service is down.
#[test]
fn calls_continue_when_the_home_is_down() {
    let (target, _seen) = reporting_target(Duration::ZERO);
    let [home, mut other] = Vm::pair(&[target], &[]);
    drop(home);
    for _ in 0..3 {
        let post = b"POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 0\r\n\r\n";
        let response = raw_call(other.listen, post, IDLE_TIMEOUT);
        assert_outcome(&response, "whole");
    }
    let reports = std::iter::from_fn(|| other.reports.try_recv().ok());
    let unreachable = reports.filter(|report| matches!(report, DataReport::Unreachable { .. }));
    assert!(unreachable.count() > 0);
}

/// Guards against using a home again that was found unreachable, because a view repeats the load of
/// an older heartbeat.
#[test]
fn repeated_loads_do_not_make_a_home_that_is_down_available() {
    let (target, _seen) = reporting_target(Duration::ZERO);
    let [home, mut other] = Vm::pair(&[target], &[]);
    let homes = &other.dump()["services"]["status"]["homes"];
    let vm = homes[0].as_str().unwrap().parse().unwrap();
    let load = PeerLoad {
        vm,
        free: 9,
        queued: 0,
    };
    other.update(|view| view.loads = vec![("status".parse().unwrap(), load)]);
    drop(home);
    for _ in 0..6 {
        let response = raw_call(other.listen, GET, Duration::from_millis(30));
        assert_outcome(&response, "whole");
        other.update(|_| {});
        thread::sleep(Duration::from_millis(20));
    }
    let reports = std::iter::from_fn(|| other.reports.try_recv().ok());
    let unreachable = reports.filter(|report| matches!(report, DataReport::Unreachable { .. }));
    // The home is tried again after 500 ms. On a busy machine, the test may take that long once.
    assert!((1..=2).contains(&unreachable.count()));
}

/// Guards against a roster change that is not applied to the services.
#[test]
fn roster_change_moves_the_home() {
    let (target, seen) = reporting_target(Duration::ZERO);
    let [home, other] = Vm::pair(&[target], &[]);
    let homes = &other.dump()["services"]["status"]["homes"];
    let gone = homes[0].as_str().unwrap().parse().unwrap();
    other.update(|view| {
        let mut roster = Roster::clone(&view.roster);
        roster.members.remove(&gone);
        view.roster = Arc::new(roster);
    });
    thread::sleep(Duration::from_millis(100));
    raw_call(other.listen, GET, IDLE_TIMEOUT);
    let head = seen.recv_timeout(MAX_WAIT).unwrap();
    assert_eq!(head.matches("via: ").count(), 1, "{head}");
    drop(home);
}

/// Guards against new requests to a target that reports that it is draining, and against a home
/// that does not pass this on.
#[test]
fn draining_target_gets_no_new_requests() {
    let (heads, seen) = mpsc::channel();
    let leaving = raw_server(move |mut stream| {
        let heads = heads.clone();
        thread::spawn(move || {
            while !read_head(&mut stream).is_empty() {
                let _ = heads.send(());
                let response =
                    "HTTP/1.1 200 OK\r\ntarget-drain: yes\r\ncontent-length: 2\r\n\r\nok";
                let _ = stream.write_all(response.as_bytes());
            }
        });
    });
    let (staying, _seen) = reporting_target(Duration::ZERO);
    let mut vm = Vm::alone(&[leaving, staying], &[]);
    for _ in 0..12 {
        let response = raw_call(vm.listen, GET, Duration::from_millis(100));
        assert_outcome(&response, "whole");
    }
    assert_eq!(seen.try_iter().count(), 1);
    let mut reports = std::iter::from_fn(|| vm.reports.try_recv().ok());
    let drained =
        |report| matches!(report, DataReport::Drain { target, .. } if target.as_str() == "t0");
    assert!(reports.any(drained));
}
