//! Guards against requests over the quota of an organisation that run, against requests within it that are
//! refused while an owner is gone, and against tokens for requests that need none.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::fault_proxy::FaultProxy;
use carobshore_standin::fault_proxy::ProxyFault;
use serde_json::Value;
use serde_json::json;

use carobshore_standin::site_store::StoreFault;
use carobshore_standin::site_wire;

use crate::common::Gateway;
use crate::common::Response;
use crate::common::Site;
use crate::common::call;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::try_call;
use crate::common::wait;

/// The settings that bound what is sent over a quota.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 12.0;
/// How long the store is away: longer than owners grant tokens without news of the list.
const AWAY: Duration = Duration::from_secs(12);
/// What the others wait for an owner that does not answer, with a margin for a busy machine.
const QUICKLY: Duration = Duration::from_millis(35);

/// Returns routes and organisation `org/a` with a quota; another one, `free`, has none.
fn resources(rate: f64, burst: u32) -> Vec<Value> {
    let mut resources = routes(1_500, "status");
    let limited = site_wire::organisation("org/a", &["ka"]);
    resources.push(site_wire::with_quota(limited, rate, f64::from(burst)));
    resources.push(site_wire::organisation("free", &["kf"]));
    resources
}

fn keyed(kind: &str, id: &str, key: &str) -> String {
    let fields = format!("Authorization: Bearer {key}\r\nHost:");
    request(kind, id, 1_500, "").replacen("Host:", &fields, 1)
}

fn send(gateway: &Gateway, id: &str) -> Response {
    call(gateway.callers, &keyed("unsafe", id, "ka"))
}

/// Starts gateways in the failure domains, with bounds for quotas and a list that has all of them.
fn gateways(site: &Site, domains: &[&str]) -> Vec<Gateway> {
    let names = (0..domains.len()).map(|index| format!("edge-{index}"));
    let mut gateways: Vec<_> = names.map(|name| site.gateway(&name)).collect();
    for (gateway, domain) in gateways.iter_mut().zip(domains) {
        gateway.change_settings(|settings| settings["Zone"] = (*domain).into());
        gateway.bound_quotas(OVER, SLACK);
        restart(gateway);
    }
    // Each one has registered in its domain now. From their next start on, they are not new.
    gateways.iter_mut().for_each(restart);
    gateways
}

fn restart(gateway: &mut Gateway) {
    gateway.restart();
    wait("it is ready again", || gateway.is_ready());
    wait("it has the list of VMs", || {
        gateway.has_line(&["list of VMs read"])
    });
}

fn quotas(gateway: &Gateway) -> Value {
    let dump: Value = serde_json::from_str(&gateway.dump()).expect("JSON");
    dump["quotas"].clone()
}

/// Returns the gateway that owns the quota, and another one, of two in one failure domain.
fn owner_and_other(mut gateways: Vec<Gateway>) -> (Gateway, Gateway) {
    send(&gateways[0], "first");
    let used = quotas(&gateways[0])["used"][0].clone();
    let other = gateways.pop().expect("two gateways");
    let first = gateways.pop().expect("two gateways");
    match used["owners"][0]["vm"].as_str() {
        Some("edge-0") => (first, other),
        _ => (other, first),
    }
}

/// Sends requests to the gateways in turn. Returns when each of those that ran was sent.
fn send_for(site: &Site, gateways: &[&Gateway], name: &str, time: Duration) -> Vec<Instant> {
    let start = Instant::now();
    let mut served = Vec::new();
    let mut count = 0;
    while start.elapsed() < time {
        let (id, sent) = (format!("{name}-{count}"), Instant::now());
        let response = send(gateways[count % gateways.len()], &id);
        match response.head.status {
            200 => served.push(sent),
            429 => {
                assert_eq!(response.body, "quota-exceeded\n");
                let retry = response.head.fields.text("retry-after");
                let retry: f64 = retry.and_then(|text| text.parse().ok()).expect("a time");
                assert!(retry <= 2.0);
                assert_eq!(site.runs_of(&id), 0);
            }
            status => panic!("status {status}: {}", response.body),
        }
        count += 1;
        thread::sleep(Duration::from_millis(20));
    }
    served
}

fn assert_bound(served: &[Instant], rate: f64, burst: f64) {
    let allowed = (rate * WINDOW.as_secs_f64() + burst) * (1.0 + OVER) + SLACK;
    for (first, start) in served.iter().enumerate() {
        let count = served[first..].partition_point(|at| *at < *start + WINDOW);
        assert!(
            count as f64 <= allowed,
            "{count} in a window, {allowed} allowed"
        );
    }
}

#[test]
fn three_vms_together_keep_a_quota_and_a_lowered_one() {
    let site = site("quota-bound", 2);
    site.configure(2, &resources(10.0, 4));
    let gateways = gateways(&site, &["a", "b", "c"]);
    let all: Vec<&Gateway> = gateways.iter().collect();
    let served = send_for(&site, &all, "b", WINDOW + Duration::from_secs(1));
    assert_bound(&served, 10.0, 4.0);
    assert!(served.len() > 45, "{} served", served.len());
    site.configure(3, &resources(1.0, 0));
    thread::sleep(Duration::from_millis(2_500));
    let served = send_for(&site, &all, "l", WINDOW);
    assert!(served.len() <= 10, "{} served at 1 a second", served.len());
    let metrics = call(
        gateways[0].admin,
        "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
    );
    let lines = metrics.body.lines();
    let mut counted = lines.filter(|line| line.starts_with("carobshore_quota_requests"));
    assert!(counted.any(|line| line.contains("org/a") && line.contains("over")));
}

#[test]
fn the_other_owners_serve_on_when_one_is_killed() {
    let site = site("quota-killed", 2);
    site.configure(2, &resources(30.0, 10));
    let mut gateways = gateways(&site, &["a", "b", "c"]);
    gateways[2].kill();
    // Two thirds of the quota remain, of which a third is sent.
    thread::sleep(Duration::from_secs(1));
    for count in 0..40 {
        let response = send(&gateways[count % 2], &format!("k-{count}"));
        assert_eq!(
            response.head.status, 200,
            "request {count}: {}",
            response.body
        );
        thread::sleep(Duration::from_millis(100));
    }
    gateways[2].start_again();
    wait("the owner is back", || {
        try_call(gateways[2].callers, &keyed("unsafe", "back", "ka"))
            .is_some_and(|response| response.head.status == 200)
    });
}

#[test]
fn an_owner_that_is_cut_off_is_not_waited_for_and_serves_when_it_is_back() {
    let site = site("quota-cut-off", 1);
    site.configure(2, &resources(20.0, 4));
    let (owner, mut other) = owner_and_other(gateways(&site, &["a", "a"]));
    let proxy = FaultProxy::start(owner.admin).expect("a proxy");
    let dump: Value = serde_json::from_str(&owner.dump()).expect("JSON");
    let name = dump["vm"].as_str().expect("a name").to_owned();
    let record = json!({"name": name, "domain": "a", "feed": proxy.addr().to_string(), "link": 0});
    site.store
        .put("keyed.vms", &name, Some(record.to_string().as_bytes()));
    restart(&mut other);
    wait("a token is granted", || {
        send(&other, "c-1").head.status == 200
    });
    proxy.set_fault(ProxyFault::Silence);
    thread::sleep(Duration::from_millis(600));
    let response = send(&other, "c-2");
    assert_eq!(
        (response.head.status, &*response.body),
        (503, "quota-unknown\n")
    );
    let started = Instant::now();
    assert_eq!(send(&other, "c-3").head.status, 503);
    assert!(started.elapsed() < QUICKLY, "the owner was asked again");
    assert_eq!(send(&owner, "c-4").head.status, 200);
    proxy.set_fault(ProxyFault::None);
    wait("it is asked again", || {
        send(&other, "c-5").head.status == 200
    });
    assert_eq!(site.runs_of("c-2") + site.runs_of("c-3"), 0);
}

#[test]
fn requests_over_the_quota_are_refused_without_a_message() {
    let site = site("quota-empty", 1);
    site.configure(2, &resources(0.1, 0));
    let (owner, other) = owner_and_other(gateways(&site, &["a", "a"]));
    wait("the quota is used up", || {
        send(&other, "e-1").head.status == 429
    });
    // The owner is asked again after a second at the latest, so the time begins with a refusal by it.
    thread::sleep(Duration::from_millis(1_100));
    assert_eq!(send(&other, "e-2").head.status, 429);
    owner.signal("-STOP");
    for count in 0..5 {
        let response = send(&other, &format!("e-s-{count}"));
        assert_eq!(response.head.status, 429, "{}", response.body);
    }
    thread::sleep(Duration::from_millis(1_100));
    let status = send(&other, "e-3").head.status;
    owner.signal("-CONT");
    assert_eq!(
        status, 503,
        "the owner is asked after the time that it named"
    );
}

#[test]
fn requests_without_a_quota_take_no_tokens() {
    let site = site("quota-none", 1);
    let gateway = gateways(&site, &["a"]).remove(0);
    assert_eq!(gateway.call("unsafe", "n-1", "").head.status, 200);
    site.configure(2, &resources(0.1, 0));
    wait("the configuration is in force", || {
        call(gateway.callers, &keyed("safe", "n-2", "unknown"))
            .head
            .status
            == 401
    });
    for count in 0..30 {
        let text = keyed("unsafe", &format!("n-f-{count}"), "kf");
        assert_eq!(call(gateway.callers, &text).head.status, 200);
    }
    assert_eq!(quotas(&gateway), json!({"used": [], "owned": []}));
}

#[test]
fn running_vms_learn_of_one_that_joins() {
    let site = site("quota-joining", 1);
    let gateways = gateways(&site, &["a", "a", "a"]);
    // Only the VM that it asks first registers the fourth one.
    let seeds = [gateways[1].admin];
    let _joined = site.start_seeded("edge-3", &seeds);
    for gateway in [&gateways[0], &gateways[2]] {
        wait("the list is extended", || {
            gateway.has_line(&["list of VMs extended", "4"])
                || gateway.has_line(&["other VMs registered"])
        });
    }
}

/// Guards against owners that stop for want of news of the list, although they reach each other: while the
/// store is away, no VM can join.
#[test]
fn owners_grant_on_while_the_store_is_away() {
    let site = site("quota-store-away", 2);
    site.configure(2, &resources(30.0, 10));
    let gateways = gateways(&site, &["a", "b", "c"]);
    site.store.set_fault(StoreFault::Silent);
    thread::sleep(AWAY);
    let mut served = 0;
    for count in 0..30 {
        let response = send(&gateways[count % 3], &format!("away-{count}"));
        served += usize::from(response.head.status == 200);
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(served, 30, "requests within the quota");
}

/// Guards against a VM whose list lacks the VMs before it, so that it polls none of them, and which nobody
/// polls: it would keep its list, and with it other owners of quotas than the others have (QUOTA).
#[test]
fn a_vm_that_follows_the_store_learns_of_one_that_registers_there() {
    // In one of both orders, the VM that joins is the one that reads the store for both.
    for names in [["edge-0", "edge-1"], ["edge-1", "edge-0"]] {
        let site = site(&format!("quota-registering-{}", names[0]), 1);
        let gateways = names.map(|name| {
            let mut gateway = site.gateway(name);
            gateway.bound_quotas(OVER, SLACK);
            restart(&mut gateway);
            gateway
        });
        for gateway in &gateways {
            wait("it has the list of both", || gateway.listed_vms() == 2);
        }
    }
}

/// The settings of older platforms name no bounds, and a quota means nothing without them.
#[test]
fn without_bounds_in_the_settings_quotas_do_not_count() {
    let site = site("quota-unbounded", 1);
    site.configure(2, &resources(0.1, 0));
    let gateway = site.gateway("edge-0");
    for count in 0..30 {
        assert_eq!(send(&gateway, &format!("u-{count}")).head.status, 200);
    }
}
