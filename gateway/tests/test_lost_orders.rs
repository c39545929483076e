//! Guards against orders of the operators that lapse because the store has come back from a copy in which
//! they are missing: evacuated domains get requests, revoked keys are valid (EVAC, UNASKED).

mod common;

use std::time::Duration;
use std::time::Instant;

use carobshore_standin::server::ANY_PORT;
use carobshore_standin::site_store::OPERATORS;
use carobshore_standin::site_target::SiteTarget;
use carobshore_standin::site_wire;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::try_call;
use crate::common::wait;

/// When the operators write their orders again.
const REWRITTEN_AFTER: Duration = Duration::from_millis(1_000);
/// How long requests are sent after that: longer than what the store has lost may stay in use.
const WATCHED: Duration = Duration::from_millis(3_000);

fn configure(site: &Site, version: u64, keys: &[&str]) {
    let mut resources = routes(1_500, "status");
    resources.push(site_wire::organisation("acme", keys));
    site.configure(version, &resources);
}

/// Sends a request with a key. Returns the status, 0 without a response.
fn status(gateway: &Gateway, id: &str, key: &str) -> u16 {
    let text = request("safe", id, 1_500, "");
    let field = format!("\r\nAuthorization: Bearer {key}\r\n\r\n");
    let response = try_call(gateway.callers, &text.replace("\r\n\r\n", &field));
    response.map_or(0, |response| response.head.status)
}

/// Sends requests to all gateways for a time, and checks that the orders hold.
fn check(gateways: &[Gateway], evacuated: &SiteTarget, time: Duration, name: &str) {
    let (started, before) = (Instant::now(), evacuated.arrivals());
    let mut number = 0;
    while started.elapsed() < time {
        for (index, gateway) in gateways.iter().enumerate() {
            number += 1;
            let id = format!("{name}-{index}-{number}");
            assert_eq!(status(gateway, &id, "valid"), 200, "{id}");
            assert_eq!(status(gateway, &id, "revoked"), 401, "{id}");
        }
    }
    assert_eq!(evacuated.arrivals(), before, "{name}, {number} requests");
}

#[test]
fn orders_that_the_store_has_lost_hold_until_they_are_written_again() {
    let mut site = site("lost-orders", 0);
    for (id, domain) in [("i-a", "a"), ("i-b", "b")] {
        let target = SiteTarget::start(ANY_PORT, id, "status", domain).expect("a target");
        target.announce(&site.store, "ready");
        site.targets.push(target);
    }
    configure(&site, 2, &["valid", "revoked"]);
    let gateways = ["edge-1", "edge-2"].map(|name| site.gateway(name));
    let copy = site.store.copy();
    configure(&site, 3, &["valid"]);
    let key = site_wire::evacuation_key("b");
    site.store.put(OPERATORS, &key, Some(b"{}"));
    for gateway in &gateways {
        wait("the orders are in force", || {
            let dump = gateway.dump();
            dump.contains("\"version\":3") && dump.contains("\"domain\":\"b\"")
        });
    }
    let evacuated = &site.targets[1];
    check(&gateways, evacuated, Duration::from_millis(200), "before");
    let lost = site.store.restart_from(&copy);
    check(&gateways, evacuated, REWRITTEN_AFTER, "lost");
    for write in lost {
        let value = write.value.as_deref();
        site.store.put(&write.topic, &write.key, value);
    }
    check(&gateways, evacuated, WATCHED, "again");
    for gateway in &gateways {
        gateway.wait_for_line(&["the store has come back from an older copy", "\"era\":2"]);
        let metrics = gateway.metrics();
        let mut lines = metrics.lines();
        let counted = lines.find(|line| line.starts_with("carobshore_store_restarts_total"));
        assert!(
            counted.is_some_and(|line| line.ends_with(" 1")),
            "{counted:?}"
        );
    }
    site.store.put(OPERATORS, &key, None);
    let before = evacuated.arrivals();
    let mut number = 0;
    wait("the domain gets requests again", || {
        number += 1;
        let id = format!("back-{number}");
        status(&gateways[number % 2], &id, "valid") == 200 && evacuated.arrivals() > before
    });
}
