//! Guards against decisions that are not logged, and against a log that delays requests or contains
//! what callers send.

mod common;

use std::time::Duration;
use std::time::Instant;

use carobshore_standin::server::ANY_PORT;
use carobshore_standin::site_target::Behaviour;
use carobshore_standin::site_target::SiteTarget;
use carobshore_standin::site_wire::REQUEST_ID;
use expect_test::expect;
use serde_json::Value;

use crate::common::Gateway;
use crate::common::call;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::wait;

/// Upper bound for a request even if the log is not read: the target latency of its route.
const TARGET_LATENCY: Duration = Duration::from_millis(600);

/// Keys whose values differ between runs.
const VARYING: [&str; 9] = [
    "store",
    "callers",
    "ms",
    "work_ms",
    "expected_ms",
    "report",
    "why",
    "from",
    "age_ms",
];

/// Returns a line without the values that differ between runs.
fn stable_text(line: &str) -> String {
    let json: Value = serde_json::from_str(line).expect("JSON");
    let mut text = format!(
        "{} {}",
        json["level"].as_str().unwrap_or(""),
        json["text"].as_str().unwrap_or("")
    );
    if let Some(values) = json["kv"].as_object() {
        for (name, value) in values
            .iter()
            .filter(|(name, _)| !VARYING.contains(&&***name))
        {
            text += &format!(" {name}={value}");
        }
    }
    text
}

/// Returns the distinct lines of the log, sorted, because two topics are followed concurrently.
fn sorted_log(gateway: &Gateway) -> String {
    let mut lines: Vec<_> = gateway
        .lines()
        .iter()
        .map(|line| stable_text(line))
        .collect();
    lines.sort();
    lines.dedup();
    lines.join("\n") + "\n"
}

#[test]
fn each_decision_of_a_session_is_logged() {
    let site = site("golden", 1);
    let mut gateway = site.gateway("edge-1");
    gateway.call("safe", "id-served", "");
    call(
        gateway.callers,
        &format!("GET /none/ HTTP/1.1\r\nHost: x\r\n{REQUEST_ID}: id-denied\r\n\r\n"),
    );
    let leaving = SiteTarget::start(ANY_PORT, "i-left", "status", "a").expect("a target");
    leaving.announce(&site.store, "ready");
    wait("the target is announced", || {
        gateway.has_line(&["target announced", "i-left"])
    });
    leaving.announce(&site.store, "draining");
    wait("the target is draining", || {
        gateway.has_line(&["target announced", "Leaving"])
    });
    leaving.withdraw(&site.store);
    wait("the target is gone", || gateway.has_line(&["target gone"]));
    site.configure(2, &routes(1_500, "nobody")[..1]);
    wait("the change arrives", || {
        gateway.has_line(&["\"version\":2", "in force"])
    });
    gateway.call("safe", "id-nobody", "");
    gateway.signal("-HUP");
    wait("the settings are reloaded", || {
        gateway.has_line(&["settings read again"])
    });
    gateway.signal("-TERM");
    assert!(gateway.wait_for_exit());
    wait("the last line is read", || {
        gateway.has_line(&["the gateway ends"])
    });
    expect![[r#"
        INFO attempt end="answered" entry_at="era 1, offset 0" id="id-served" left=null left_out=0 limit=null local=true missing=false preferred=true target="i-0"
        INFO list of VMs read is_new=true vms=1
        INFO planned stop in_flight=0
        INFO request at="era 1, offset 1" attempts="" id="id-denied" left_out=0 organisation=null outcome="no-route" route="" status=404 version=1
        INFO request at="era 1, offset 1" attempts="i-0:answered" id="id-served" left_out=0 organisation=null outcome="served" route="r-safe" service="status" status=200 version=1
        INFO request at="era 1, offset 2" attempts="" id="id-nobody" left_out=0 organisation=null outcome="no-target" route="r-safe" status=503 version=2
        INFO settings read again cause="signal"
        INFO target announced service="status" state="Leaving" target="i-left"
        INFO target announced service="status" state="Serving" target="i-0"
        INFO target announced service="status" state="Serving" target="i-left"
        INFO target gone reason="its entry is gone" target="i-left"
        INFO targets read targets=1
        INFO the configuration is in force bytes=495 routes=1 version=2
        INFO the configuration is in force bytes=917 routes=3 version=1
        INFO the gateway ends
        INFO the gateway starts crossing="cost" domain="a" vm="edge-1"
        INFO the store states its era era=1
    "#]].assert_eq(&sorted_log(&gateway));
}

#[test]
fn an_unread_log_does_not_delay_requests() {
    let site = site("unread", 2);
    let mut gateway = site.unread_gateway("edge-1");
    site.targets
        .iter()
        .for_each(|target| target.set_work(Duration::from_millis(1)));
    // Two lines per request: more than the pipe and the log queue hold.
    for index in 0..1_500 {
        let started = Instant::now();
        let response = gateway.call("safe", &format!("id-{index}"), "");
        assert_eq!(response.head.status, 200);
        assert!(
            started.elapsed() < TARGET_LATENCY,
            "request {index}: {:?}",
            started.elapsed()
        );
    }
    assert!(gateway.is_ready());
    gateway.read_log();
    wait("the lines left out are counted", || {
        gateway.call("safe", "id-last", "");
        gateway.has_line(&["log lines left out"])
    });
}

/// Guards against a log line of a timed-out request that does not name the target, as seen in a
/// recorded log.
#[test]
fn a_timed_out_request_is_logged_with_its_target() {
    let site = site("over", 1);
    let gateway = site.gateway("edge-1");
    site.targets[0].set(Behaviour::Hang);
    let response = call(gateway.callers, &request("unsafe", "id-1", 700, "x"));
    assert_eq!(response.head.status, 504);
    wait("the request is logged", || {
        gateway.has_line(&["id-1", "\"outcome\":\"timed-out\"", "i-0:given-up"])
    });
    wait("the attempt is logged", || {
        gateway.has_line(&["\"attempt\"", "id-1", "\"target\":\"i-0\"", "given-up"])
    });
}

#[test]
fn the_log_does_not_contain_what_callers_send() {
    let site = site("private", 1);
    let gateway = site.gateway("edge-1");
    let body = "the-body-of-a-caller";
    let text = request("unsafe", "id-1", 1_500, body)
        .replace("Host:", "Authorization: the-key-of-a-caller\r\nHost:");
    assert_eq!(call(gateway.callers, &text).head.status, 200);
    wait("the request is logged", || {
        gateway.has_line(&["id-1", "served"])
    });
    for secret in [body, "the-key-of-a-caller"] {
        assert!(!gateway.has_line(&[secret]), "{secret}");
    }
}
