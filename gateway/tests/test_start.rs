//! Guards the store against calls of each VM when many VMs start at once, and VMs against waiting
//! for others that are gone.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::free_port;
use crate::common::site;
use crate::common::wait;

/// The number of VMs that start at once.
const VMS: usize = 8;
/// How long a read waits at the store, in milliseconds.
const READ_MS: u128 = 800;

fn start_all(site: &Site, first: &Gateway) -> Vec<Gateway> {
    let names = (0..VMS).map(|index| format!("edge-{index}"));
    let started: Vec<_> = names
        .map(|name| site.start_seeded(&name, &[first.admin]))
        .collect();
    wait_until_ready(&started);
    started
}

fn wait_until_ready(gateways: &[Gateway]) {
    for gateway in gateways {
        wait("it is ready", || gateway.is_ready());
    }
}

/// Returns the calls that one reader of two topics makes.
fn reads_since(start: Instant) -> u64 {
    let reads = start.elapsed().as_millis() / READ_MS + 1;
    2 * u64::try_from(reads).expect("a small number")
}

#[test]
fn many_vms_are_registered_with_few_calls() {
    let site = site("start-many", 1);
    let first = site.gateway("first");
    let (started, before) = (Instant::now(), site.store.calls());
    let gateways = start_all(&site, &first);
    let calls = site.store.calls() - before - reads_since(started);
    assert!(calls < VMS as u64, "{calls} calls");
    for gateway in &gateways {
        assert!(gateway.has_line(&["list of VMs read", "another VM"]));
    }
    let reader = gateways.iter().filter(|gateway| gateway.polls() == 0);
    assert!(reader.count() <= 1, "the others follow it");
}

#[test]
fn a_restart_of_all_vms_costs_few_calls_and_little_time() {
    let site = site("restart-many", 1);
    let mut first = site.gateway("first");
    let mut gateways = start_all(&site, &first);
    let (started, before) = (Instant::now(), site.store.calls());
    first.kill();
    gateways.iter_mut().for_each(Gateway::kill);
    first.start_again();
    gateways.iter_mut().for_each(Gateway::start_again);
    wait_until_ready(&gateways);
    let took = started.elapsed();
    let calls = site.store.calls() - before - reads_since(started);
    assert!(calls < VMS as u64, "{calls} calls");
    assert!(took < Duration::from_secs(5), "{took:?}");
}

#[test]
fn a_vm_whose_settings_name_only_vms_that_are_gone_starts_all_the_same() {
    let site = site("start-stale", 1);
    let gone = [free_port(), free_port()];
    let started = Instant::now();
    let gateway = site.start_seeded("edge-1", &gone);
    wait("it is ready", || gateway.is_ready());
    assert!(started.elapsed() < Duration::from_secs(5));
    wait("it has the list", || {
        gateway.has_line(&["list of VMs read", "the store"])
    });
}

/// Guards against a VM that reads the store by itself for good because the store was away when it
/// started.
#[test]
fn a_vm_that_started_without_the_list_reads_it_later() {
    let site = site("start-later", 1);
    let first = site.gateway("first");
    site.store
        .set_fault(carobshore_standin::site_store::StoreFault::Status(503));
    let gateway = site.start_seeded("edge-1", &[first.admin]);
    wait("the registration fails", || {
        gateway.has_line(&["cannot read the list of VMs"])
    });
    thread::sleep(Duration::from_millis(500));
    site.store
        .set_fault(carobshore_standin::site_store::StoreFault::None);
    wait("it has the list", || {
        gateway.has_line(&["list of VMs read"])
    });
}
