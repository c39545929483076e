//! Confirmed routes on complete entry VMs. The tests guard against sending a request to a service
//! other than that of its route, running it more often than the kind of the route allows, and
//! waiting past the timeout of the route.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::configured_route::ConfiguredRoute;
use carobshore_lib::prelude::*;
use carobshore_standin::TargetFaults;
use carobshore_standin::TargetSettings;
use carobshore_standin::TargetStandin;
use common::assert_outcome;
use common::raw_call;
use common::raw_server;
use common::read_head;
use common::site::Site;
use common::vm::Vm;

const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns a change that sets a route on the host `desk.test`, to services with weights.
fn route(name: &str, kind: CallKind, timeout: Duration, to: &[(&str, u32)]) -> Change {
    let part = |(service, weight): &(&str, u32)| RoutePart {
        service: service.parse().unwrap(),
        weight: *weight,
    };
    Change::SetRoute {
        route: name.parse().unwrap(),
        rule: RouteRule {
            host: "desk.test".into(),
            prefix: format!("/{name}/").into(),
            kind,
            timeout,
            latency: timeout,
            priority: 0,
            attempts: 3,
            parts: to.iter().map(part).collect(),
        },
    }
}

/// Returns the changes that add the service `gallery` with one target.
fn gallery(target: &TargetStandin) -> Vec<Change> {
    let service: ServiceId = "gallery".parse().unwrap();
    vec![
        Change::AddService {
            service: service.clone(),
            measuring: TargetTime(30_000),
            connections: 220,
        },
        Change::AddTarget {
            service,
            target: "g0".parse().unwrap(),
            addr: target.addr(),
            domain: "d0".parse().unwrap(),
            slots: 2.try_into().unwrap(),
        },
    ]
}

/// Starts a site with two VMs on which the changes are in force.
fn site(targets: u16, changes: Vec<Change>) -> Site {
    let mut site = Site::new(targets);
    site.confirm(changes);
    for at in 0..2 {
        site.start_vm(at, &[]);
    }
    for vm in 0..2 {
        site.wait_for(vm, "membership of both, and the routes", |dump| {
            let routes = dump["routes"]
                .as_object()
                .is_some_and(|all| !all.is_empty());
            let members = dump["roster"].as_object().is_some_and(|all| all.len() == 2);
            dump["member"] == true && members && routes
        });
    }
    site
}

fn call(site: &Site, vm: usize, method: &str, path: &str) -> String {
    let request = format!("{method} {path} HTTP/1.1\r\nhost: desk.test\r\n\r\n");
    raw_call(
        site.vms[vm].addresses().listen,
        request.as_bytes(),
        IDLE_TIMEOUT,
    )
}

fn runs(targets: &[TargetStandin]) -> u64 {
    let runs = targets.iter().map(|target| target.executions().started);
    runs.sum()
}

#[test]
fn requests_are_split_between_services_by_the_weights_of_their_route() {
    let target = TargetStandin::start(TargetSettings::default()).unwrap();
    let second = Duration::from_secs(1);
    let mut changes = gallery(&target);
    let split = [("booking", 3), ("gallery", 1)];
    changes.push(route("split", CallKind::Safe, second, &split));
    let site = site(2, changes);
    for vm in [0, 1] {
        for _ in 0..8 {
            assert_outcome(&call(&site, vm, "GET", "/split/1"), "whole");
        }
    }
    assert_eq!(target.executions().started, 4);
    assert_eq!(runs(&site.targets), 12);
}

#[test]
fn a_path_without_a_route_still_goes_by_the_name_of_the_service() {
    let second = Duration::from_secs(1);
    let site = site(
        1,
        vec![route("a", CallKind::Safe, second, &[("booking", 1)])],
    );
    let response = call(&site, 0, "GET", "/other/");
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
    let named = "GET /a/ HTTP/1.1\r\nhost: desk.test\r\ncarobshore-service: booking\r\n\r\n";
    let listen = site.vms[0].addresses().listen;
    assert_outcome(&raw_call(listen, named.as_bytes(), IDLE_TIMEOUT), "whole");
}

/// Starts a target that counts its requests, and closes the connection of the first one without a
/// response.
fn breaking_target(requests: &Arc<AtomicU32>) -> SocketAddr {
    let requests = Arc::clone(requests);
    raw_server(move |mut stream| {
        let requests = Arc::clone(&requests);
        thread::spawn(move || {
            while !read_head(&mut stream).is_empty() {
                if requests.fetch_add(1, Ordering::SeqCst) == 0 {
                    return;
                }
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
            }
        });
    })
}

/// Guards against a retry that the method permits but the route does not: a GET on an unsafe route
/// is not sent again. A POST on a safe route is, but no more often than the route allows.
#[test]
fn the_kind_of_the_route_decides_what_is_sent_again() {
    for (method, kind, attempts, outcome, sent) in [
        ("GET", CallKind::Unsafe, 3, "may-have-run", 1),
        ("POST", CallKind::Safe, 3, "whole", 2),
        ("POST", CallKind::Safe, 1, "may-have-run", 1),
    ] {
        let requests = Arc::new(AtomicU32::new(0));
        let targets = [breaking_target(&requests), breaking_target(&requests)];
        let vm = Vm::alone(&targets, &[]);
        let Change::SetRoute { route, mut rule } =
            route("a", kind, Duration::from_secs(1), &[("status", 1)])
        else {
            unreachable!("a route was built");
        };
        rule.attempts = attempts;
        vm.update(|view| {
            let mut config = Config::clone(&view.config);
            let version = Version(1);
            config
                .routes
                .insert(route, ConfiguredRoute { version, rule });
            view.config = Arc::new(config);
            view.applied = Offset(2);
        });
        let text = format!("{method} /a/ HTTP/1.1\r\nhost: desk.test\r\ncontent-length: 0\r\n\r\n");
        let mut response = raw_call(vm.listen, text.as_bytes(), IDLE_TIMEOUT);
        // The data thread applies a new view with a short delay.
        while response.starts_with("HTTP/1.1 404") {
            response = raw_call(vm.listen, text.as_bytes(), IDLE_TIMEOUT);
        }
        assert_outcome(&response, outcome);
        assert_eq!(requests.load(Ordering::SeqCst), sent, "{method} {kind:?}");
    }
}

#[test]
fn a_request_waits_no_longer_than_its_route_allows() {
    let brief = Duration::from_millis(300);
    let site = site(
        1,
        vec![route("a", CallKind::Unsafe, brief, &[("booking", 1)])],
    );
    site.targets[0].set_faults(TargetFaults {
        straggle: 1_000.0,
        ..TargetFaults::default()
    });
    let started = Instant::now();
    let response = call(&site, 0, "GET", "/a/");
    let took = started.elapsed();
    assert_outcome(&response, "may-have-run");
    // The client stops reading only after nothing was received for a while.
    assert!(took < IDLE_TIMEOUT * 2, "{took:?}");
}
