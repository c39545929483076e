//! Guards against urgent requests that wait behind less urgent ones, callers that stay in the queue
//! after they have gone, and queues where the configuration has no organisations.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use carobshore_standin::site_wire;
use serde_json::Value;
use serde_json::json;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::call;
use crate::common::connect;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::try_call;
use crate::common::wait;

/// Work of a request at the target, and how long a caller waits for its response.
const WORK: Duration = Duration::from_millis(800);
const DEADLINE_MS: u64 = 20_000;

/// Returns routes on which requests may wait for seconds, and an organisation for each priority.
fn resources(organisations: &[(&str, u32)]) -> Vec<Value> {
    let routes = routes(DEADLINE_MS, "status").into_iter();
    let mut resources: Vec<Value> = routes
        .map(|route| site_wire::with_latency(route, "12000ms"))
        .collect();
    resources.extend(organisations.iter().map(|(name, priority)| {
        let mut organisation = site_wire::organisation(name, &[&format!("key-{name}")]);
        organisation["Spec"]["Priority"] = (*priority).into();
        organisation
    }));
    resources
}

fn text(organisation: &str, id: &str) -> String {
    let field = format!("Authorization: Bearer key-{organisation}\r\nHost:");
    request("unsafe", id, DEADLINE_MS, "").replacen("Host:", &field, 1)
}

fn waiting(gateway: &Gateway) -> u64 {
    let dump: Value = serde_json::from_str(&gateway.dump()).unwrap_or_default();
    dump["queues"]["status"]["waiting"].as_u64().unwrap_or(0)
}

/// Starts requests whose responses nobody needs.
fn start(gateway: &Gateway, organisation: &'static str, ids: &[&str]) {
    for id in ids {
        let (addr, text) = (gateway.callers, text(organisation, id));
        thread::spawn(move || try_call(addr, &text));
    }
}

/// Starts six requests, of which the target takes two, and waits until the others wait.
fn fill(site: &Site, gateway: &Gateway) {
    site.targets[0].set_work(WORK);
    start(gateway, "low", &["l0", "l1", "l2", "l3", "l4", "l5"]);
    wait("requests wait", || waiting(gateway) == 4);
}

/// Load: one full target, four less urgent requests that wait, then an urgent one.
#[test]
fn an_urgent_request_overtakes_less_urgent_ones() {
    let site = site("queue-urgent", 1);
    site.configure(2, &resources(&[("high", 0), ("low", 5)]));
    let gateway = site.gateway("edge-1");
    fill(&site, &gateway);
    let metrics = call(gateway.admin, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body;
    let counted = "carobshore_queue_waiting{";
    let line = metrics.lines().find(|line| line.starts_with(counted));
    assert!(
        line.is_some_and(|line| line.contains("priority=\"5\"") && line.ends_with(" 4")),
        "{line:?}"
    );
    start(&gateway, "high", &["urgent"]);
    wait("the urgent request runs", || site.runs_of("urgent") == 1);
    let left = waiting(&gateway);
    // Two slots are freed at about the same time.
    assert!(left >= 3, "only {left} of 4 less urgent ones still wait");
    let dump = gateway.dump();
    assert!(
        dump.contains("urgent_share") && dump.contains("\"low\""),
        "{dump}"
    );
    wait("all are served", || site.targets[0].runs().len() == 7);
}

/// Load: one full target, and a caller that disconnects while its request waits.
#[test]
fn a_caller_that_disconnects_leaves_the_queue() {
    let site = site("queue-left", 1);
    site.configure(2, &resources(&[("low", 5)]));
    let gateway = site.gateway("edge-1");
    fill(&site, &gateway);
    let mut stream = connect(gateway.callers).expect("a connection");
    stream
        .write_all(text("low", "left").as_bytes())
        .expect("sent");
    thread::sleep(Duration::from_millis(100));
    stream.shutdown(Shutdown::Both).expect("closed");
    drop(stream);
    wait("the others are served", || {
        site.targets[0].runs().len() >= 6
    });
    wait("nobody waits", || waiting(&gateway) == 0);
    assert_eq!(site.runs_of("left"), 0);
}

/// Load: the same without organisations, which must take the path of the releases before.
#[test]
fn without_organisations_nothing_queues() {
    let site = site("queue-none", 1);
    site.configure(2, &resources(&[]));
    let gateway = site.gateway("edge-1");
    site.targets[0].set_work(WORK);
    start(&gateway, "low", &["n0", "n1", "n2", "n3", "n4", "n5"]);
    wait("all are served", || site.targets[0].runs().len() == 6);
    let dump: Value = serde_json::from_str(&gateway.dump()).expect("a dump");
    assert_eq!(dump["queues"], json!({}), "no queue was ever used");
}
