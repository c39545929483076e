//! Complete entry VMs with stand-ins of the platform and of targets.

mod common;

use std::time::Duration;

use carobshore_lib::prelude::*;
use carobshore_standin::LogFaults;
use carobshore_standin::Trigger;
use common::assert_outcome;
use common::raw_call;
use common::site::Site;
use serde_json::Value;

const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

fn is_member(dump: &Value) -> bool {
    dump["ready"] == true && dump["member"] == true
}

fn members(count: usize) -> impl Fn(&Value) -> bool {
    move |dump| {
        is_member(dump)
            && dump["roster"]
                .as_object()
                .is_some_and(|all| all.len() == count)
    }
}

fn get(site: &Site, vm: usize, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: booking.test\r\n\r\n");
    raw_call(
        site.vms[vm].addresses().listen,
        request.as_bytes(),
        IDLE_TIMEOUT,
    )
}

/// Guards against any failure between an operator's confirm and the complete response to a caller.
#[test]
fn a_confirmed_service_is_served_through_every_vm() {
    let mut site = Site::new(3);
    (0..3).for_each(|at| {
        site.start_vm(at, &[]);
    });
    for vm in 0..3 {
        site.wait_for(vm, "membership of three", members(3));
        for _ in 0..5 {
            let response = get(&site, vm, "/seats");
            assert_outcome(&response, "whole");
        }
    }
}

/// Guards against a confirmed change that reaches a VM late or never.
#[test]
fn a_confirmed_change_is_in_force_on_every_vm_within_four_seconds() {
    let mut site = Site::new(3);
    (0..3).for_each(|at| {
        site.start_vm(at, &[]);
    });
    (0..3).for_each(|vm| {
        site.wait_for(vm, "membership of three", members(3));
    });
    let started = std::time::Instant::now();
    site.confirm(vec![Change::MarkLeaving {
        service: "booking".parse().unwrap(),
        target: "t0".parse().unwrap(),
    }]);
    for vm in 0..3 {
        site.wait_for(vm, "the change", |dump| {
            dump["services"]["booking"]["targets"]["t0"]["state"] == "leaving"
        });
    }
    assert!(started.elapsed() < Duration::from_secs(4));
}

/// Guards against a VM that serves no or an old configuration when it starts while the log is down.
#[test]
fn a_vm_that_starts_during_an_outage_gets_the_configuration_from_a_peer() {
    let mut site = Site::new(3);
    site.start_vm(0, &[]);
    site.wait_for(0, "membership", members(1));
    site.log.set_faults(LogFaults {
        refuse: Trigger::rate(1.0),
        ..LogFaults::default()
    });
    let peer = format!("--peer={}", site.vms[0].addresses().rpc);
    let late = site.start_vm(1, &[&peer]);
    let dump = site.wait_for(late, "readiness", |dump| dump["ready"] == true);
    let targets = dump["services"]["booking"]["targets"].as_object();
    assert_eq!(targets.map(|targets| targets.len()), Some(3));
    let response = get(&site, late, "/seats");
    assert_outcome(&response, "whole");
}

/// Guards against a VM that reports to be ready although it can reach neither the log nor peers.
#[test]
fn a_vm_without_log_and_peers_is_not_ready() {
    let mut site = Site::new(1);
    site.log.set_faults(LogFaults {
        refuse: Trigger::rate(1.0),
        ..LogFaults::default()
    });
    site.start_vm(0, &[]);
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(site.dump(0)["ready"], false);
    let response = get(&site, 0, "/seats");
    assert_outcome(&response, "not-run");
}

/// Guards against a planned stop that leaves the VM in the roster. Its keys would be unavailable
/// until the watchers displace it.
#[test]
fn a_planned_stop_leaves_the_roster() {
    let mut site = Site::new(1);
    (0..2).for_each(|at| {
        site.start_vm(at, &[]);
    });
    site.wait_for(0, "membership of two", members(2));
    let vm = site.vms.remove(1);
    vm.stop_handle().request();
    vm.wait().unwrap();
    site.wait_for(0, "the leave", members(1));
}

/// Guards against metrics that stay at zero while the control thread and the probes work.
#[test]
fn metrics_show_the_control_thread_and_the_measuring_budget() {
    let mut site = Site::new(1);
    site.start_vm(0, &[]);
    site.wait_for(0, "membership", members(1));
    let request = b"GET /metrics HTTP/1.1\r\nhost: admin\r\n\r\n";
    let admin = site.vms[0].addresses().admin;
    // Metrics are taken from the view, which is published later than the dump shows the state.
    std::thread::sleep(Duration::from_secs(1));
    let text = raw_call(admin, request, IDLE_TIMEOUT);
    let value = |start: &str| {
        let line = text.lines().find(|line| line.starts_with(start));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        value.unwrap_or_else(|| panic!("no `{start}` in {text}"))
    };
    assert_eq!(value("carobshore_ready{"), 1.0);
    assert_eq!(value("carobshore_members{"), 1.0);
    assert!(value("carobshore_read_lease_left_seconds{") > 5.0);
    assert!(value("carobshore_control_events{event=\"log-read\"") >= 2.0);
    // 30 ms/s for the only home.
    assert_eq!(value("carobshore_measuring_share_us{"), 30_000.0);
}
