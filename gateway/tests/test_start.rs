//! Guards the store against calls of each VM when many VMs start at once, and VMs against waiting
//! for others that are gone.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::server::ANY_PORT;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

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
        gateway.flush_log();
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
    Gateway::kill_all(gateways.iter_mut().chain([&mut first]));
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

/// Returns listeners that accept no connection: their queue of connections is full, so that an attempt
/// to connect hangs, as it does with a VM that has no power.
fn vms_without_power(count: usize) -> Vec<VmWithoutPower> {
    (0..count).map(|_| VmWithoutPower::start()).collect()
}

struct VmWithoutPower {
    addr: SocketAddr,
    _listener: Socket,
    _queued: Vec<Socket>,
}

impl VmWithoutPower {
    fn start() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&ANY_PORT.into()).expect("an address");
        listener.listen(0).expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let addr = addr.as_socket().expect("an address");
        let connect = |_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            socket.set_nonblocking(true).expect("a mode");
            // It is refused or hangs once the queue is full.
            let _ = socket.connect(&addr.into());
            socket
        };
        let queued = (0..4).map(connect).collect();
        Self {
            addr,
            _listener: listener,
            _queued: queued,
        }
    }
}

/// Guards against a restart of all VMs that takes as long as the attempts to connect to those that
/// have no power yet.
#[test]
fn a_vm_finds_the_one_that_runs_among_many_without_power() {
    let site = site("start-hanging", 1);
    let first = site.gateway("first");
    let hanging = vms_without_power(12);
    let mut seeds: Vec<_> = hanging.iter().map(|vm| vm.addr).collect();
    seeds.push(first.admin);
    for index in 0..4 {
        let gateway = site.start_seeded(&format!("edge-{index}"), &seeds);
        wait("it has the list", || {
            gateway.has_line(&["list of VMs read"])
        });
        assert!(gateway.has_line(&["list of VMs read", "another VM"]));
    }
}

/// Guards against waiting for one VM that is paused, or whose calls the store refuses.
#[test]
fn a_vm_asks_the_next_one_if_the_first_one_does_not_answer() {
    let site = site("start-paused", 1);
    let paused = site.gateway("paused");
    let first = site.gateway("first");
    paused.signal("-STOP");
    let seeds = [paused.admin, first.admin];
    for index in 0..8 {
        let gateway = site.start_seeded(&format!("edge-{index}"), &seeds);
        wait("it has the list", || {
            gateway.has_line(&["list of VMs read"])
        });
        assert!(gateway.has_line(&["list of VMs read", "another VM"]));
    }
}
