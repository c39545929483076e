//! Guards against requests to evacuated domains, and to targets outside the allowed regions.

mod common;

use std::thread;
use std::time::Duration;

use carobshore_standin::server::ANY_PORT;
use carobshore_standin::site_store::OPERATORS;
use carobshore_standin::site_target::SiteTarget;
use carobshore_standin::site_wire;
use serde_json::Value;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::call;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::wait;

/// Returns a site with one target in each of the domains `a`, `b` and `c`, whose service has a
/// warm-up rule. `a` and `b` are in the region `r`, `c` is in `s`.
fn domains(name: &str) -> Site {
    let mut site = site(name, 0);
    for domain in ["a", "b", "c"] {
        let id = format!("i-{domain}");
        let target = SiteTarget::start(ANY_PORT, &id, "render", domain).expect("a target");
        target.set_cold(Duration::ZERO);
        target.announce(&site.store, "ready");
        site.targets.push(target);
    }
    configure(&site, 2, &routes(1_500, "render"));
    site
}

fn configure(site: &Site, version: u64, routes: &[Value]) {
    let service = site_wire::warming_service("render", 3_000, 7.3);
    site.configure(version, &[routes, &[service]].concat());
}

fn evacuate(site: &Site, domain: &str, evacuated: bool) {
    let value = evacuated.then_some(&b"{}"[..]);
    let key = site_wire::evacuation_key(domain);
    site.store.put(OPERATORS, &key, value);
}

/// Sends requests and returns how many were served.
fn served(gateway: &Gateway, count: usize) -> usize {
    let statuses = (0..count).map(|index| {
        let response = gateway.call("safe", &format!("id-{index}"), "");
        response.head.status
    });
    statuses.filter(|status| *status == 200).count()
}

fn arrivals(site: &Site) -> Vec<u32> {
    site.targets.iter().map(SiteTarget::arrivals).collect()
}

#[test]
fn an_evacuated_domain_gets_nothing_and_is_used_again_after_a_health_check() {
    let site = domains("evacuated");
    let mut gateway = site.gateway("edge-1");
    assert_eq!(served(&gateway, 20), 20);
    assert!(
        site.targets[0].arrivals() > 0,
        "the own domain is preferred"
    );
    evacuate(&site, "a", true);
    wait("it is known", || {
        gateway.has_line(&["the domain is evacuated", "\"a\""])
    });
    let before = site.targets[0].arrivals();
    assert_eq!(served(&gateway, 30), 30, "the others serve");
    gateway.restart();
    wait("it is ready again", || gateway.is_ready());
    assert_eq!(served(&gateway, 30), 30);
    assert_eq!(site.targets[0].arrivals(), before);
    assert!(gateway.dump().contains(r#""domain":"a""#));
    evacuate(&site, "a", false);
    wait("it is withdrawn", || {
        gateway.has_line(&["the evacuation of the domain is withdrawn"])
    });
    gateway.wait_for_line(&["before it has answered a health check", "i-a"]);
    wait("it is used again", || {
        served(&gateway, 5);
        site.targets[0].arrivals() > before
    });
}

/// Guards against a caller that waits, or is told that the request may have run, although no target
/// may get it.
#[test]
fn a_service_whose_domains_are_all_evacuated_is_refused_at_once() {
    let site = domains("all-evacuated");
    let gateway = site.gateway("edge-1");
    for domain in ["a", "b", "c"] {
        evacuate(&site, domain, true);
    }
    for domain in ["a", "b", "c"] {
        let name = format!("\"{domain}\"");
        wait("it is known", || {
            gateway.has_line(&["the domain is evacuated", &name])
        });
    }
    let response = gateway.call("unsafe", "id-1", "x");
    assert_eq!(response.head.status, 503, "{}", response.body);
    assert_eq!(response.head.fields.text("retry-after"), Some("1.000"));
    gateway.wait_for_line(&["targets-unavailable", "in an evacuated domain"]);
    assert_eq!(arrivals(&site), [0, 0, 0]);
    // With no other targets, the VM does not wait for its turn to return.
    for domain in ["a", "b", "c"] {
        evacuate(&site, domain, false);
    }
    wait("all are withdrawn", || {
        let lines = gateway.lines();
        let withdrawn = lines.iter().filter(|line| line.contains("is withdrawn"));
        withdrawn.count() == 3
    });
    assert_eq!(served(&gateway, 1), 1);
}

#[test]
fn a_request_reaches_only_targets_in_the_regions_of_its_route_and_its_organisation() {
    let site = domains("regions");
    let mut resources = routes(1_500, "render");
    site_wire::restrict(&mut resources[0], &["s"]);
    for (name, key, regions) in [("org-r", "kr", &["r"][..]), ("org-any", "ka", &["r", "s"])] {
        let mut organisation = site_wire::organisation(name, &[key]);
        site_wire::restrict(&mut organisation, regions);
        resources.push(organisation);
    }
    configure(&site, 3, &resources);
    let gateway = site.gateway("edge-1");
    let send = |kind: &str, key: &str| {
        let fields = format!("Authorization: Bearer {key}\r\nHost:");
        let text = request(kind, "id-1", 1_500, "x").replacen("Host:", &fields, 1);
        call(gateway.callers, &text).head.status
    };
    assert!((0..10).all(|_| send("safe", "ka") == 200));
    assert_eq!(arrivals(&site)[..2], [0, 0], "the route allows one region");
    let in_other_region = site.targets[2].arrivals();
    assert!((0..10).all(|_| send("unsafe", "kr") == 200));
    assert_eq!(site.targets[2].arrivals(), in_other_region);
    assert_eq!(send("safe", "kr"), 503, "no region is allowed by both");
    wait("the reason is logged", || {
        gateway.has_line(&["outside the allowed regions"])
    });
    thread::sleep(Duration::from_millis(50));
    assert_eq!(site.targets[2].arrivals(), in_other_region);
}
