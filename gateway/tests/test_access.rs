//! Guards against requests that run without a key, for the wrong organisation, or with the key itself,
//! and against a 401 from a process that knows no configuration.

mod common;

use std::io::Write;
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use carobshore_gateway::access::Grant;
use carobshore_http::fields::Fields;
use carobshore_lib::route_table::RouteTable;
use carobshore_platform::config_document;
use carobshore_standin::site_store::OPERATORS;
use carobshore_standin::site_wire;
use serde_json::Value;
use serde_json::json;

use crate::common::Site;
use crate::common::call;
use crate::common::connect;
use crate::common::read_response;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::try_call;
use crate::common::wait;

/// Returns routes, of which `/upload/` needs no key, and organisations with their keys.
fn resources(organisations: &[(&str, &[&str])]) -> Vec<Value> {
    let mut resources = routes(1_500, "status");
    resources[2]["Spec"]["Public"] = true.into();
    for (name, keys) in organisations {
        resources.push(site_wire::organisation(name, keys));
    }
    resources
}

/// Returns a request with more header fields, each with the end of its line.
fn request_with(kind: &str, id: &str, fields: &str) -> String {
    request(kind, id, 1_500, "").replacen("Host:", &format!("{fields}Host:"), 1)
}

fn organisation_of(site: &Site, id: &str) -> Option<Box<str>> {
    let mut runs = site.targets.iter().flat_map(|target| target.runs());
    let run = runs.find(|run| &*run.id == id).expect("a run");
    assert!(!run.has_key, "a target got the key of {id}");
    run.organisation
}

#[test]
fn a_request_runs_only_for_the_organisation_that_holds_its_key() {
    let site = site("access", 1);
    site.configure(2, &resources(&[("org-a", &["ka"]), ("org-b", &["kb"])]));
    let gateway = site.gateway("edge-1");
    let send = |kind: &str, id: &str, fields: &str| {
        let response = call(gateway.callers, &request_with(kind, id, fields));
        response.head.status
    };
    let forged = "tenant: org-b\r\nAuthorization: Bearer ka\r\nTENANT: x\r\n";
    assert_eq!(send("safe", "i1", forged), 200);
    assert_eq!(organisation_of(&site, "i1").as_deref(), Some("org-a"));
    for fields in [
        "",
        "Tenant: org-a\r\n",
        "X-Api-Key: ka\r\n",
        "Authorization: Bearer kc\r\n",
        "Authorization: Bearer ka\r\nauthorization: Bearer kb\r\n",
    ] {
        assert_eq!(send("unsafe", "i2", fields), 401, "{fields:?}");
    }
    assert_eq!(site.runs_of("i2"), 0);
    assert_eq!(
        send(
            "upload",
            "i3",
            "Tenant: org-a\r\nAuthorization: Basic ka\r\n"
        ),
        200
    );
    assert_eq!(organisation_of(&site, "i3"), None);
    gateway.flush_log();
    let log = gateway.lines().join("\n") + &gateway.dump();
    assert!(log.contains("org-a") && !log.contains("\"ka\"") && !log.contains("Bearer"));
}

#[test]
fn each_pipelined_request_counts_for_its_own_key() {
    let site = site("access-pipelined", 1);
    site.configure(2, &resources(&[("org-a", &["ka"]), ("org-b", &["kb"])]));
    let gateway = site.gateway("edge-1");
    let mut stream = connect(gateway.callers).expect("a connection");
    let keys = [("p1", "ka"), ("p2", "kc"), ("p3", "kb")];
    let sent: String = keys
        .iter()
        .map(|(id, key)| request_with("safe", id, &format!("Authorization: Bearer {key}\r\n")))
        .collect();
    stream.write_all(sent.as_bytes()).expect("sent");
    let mut buffer = BytesMut::new();
    let statuses = keys.map(|_| read_response(&mut stream, &mut buffer).map(|r| r.head.status));
    assert_eq!(statuses, [Some(200), Some(401), Some(200)]);
    assert_eq!(organisation_of(&site, "p1").as_deref(), Some("org-a"));
    assert_eq!(organisation_of(&site, "p3").as_deref(), Some("org-b"));
}

#[test]
fn a_removed_key_is_refused_on_an_open_connection() {
    let site = site("access-removed", 1);
    site.configure(2, &resources(&[("org-a", &["ka", "kb"])]));
    let gateway = site.gateway("edge-1");
    let mut stream = connect(gateway.callers).expect("a connection");
    let mut buffer = BytesMut::new();
    let mut status = |key: &str| {
        let text = request_with("safe", "r1", &format!("Authorization: Bearer {key}\r\n"));
        stream.write_all(text.as_bytes()).expect("sent");
        let response = read_response(&mut stream, &mut buffer);
        response.map(|response| response.head.status)
    };
    assert_eq!(status("kb"), Some(200));
    site.configure(3, &resources(&[("org-a", &["ka"])]));
    wait("the key is refused", || status("kb") == Some(401));
    assert_eq!(status("ka"), Some(200));
}

#[test]
fn a_process_without_a_configuration_promises_that_nothing_has_run() {
    let site = site("access-none", 1);
    site.store.put(OPERATORS, "config", Some(b"{}"));
    let gateway = site.start_gateway("edge-1");
    let text = request_with("safe", "n1", "Authorization: Bearer ka\r\n");
    let mut response = None;
    wait("an answer", || {
        response = try_call(gateway.callers, &text);
        response.is_some()
    });
    assert_eq!(response.map(|response| response.head.status), Some(503));
    // An older release would leave out what it does not know, and let everybody in.
    let unknown = json!({"Type": "Walls", "Metadata": {"Name": "w"}, "Spec": {}});
    let document = site_wire::configuration(7, &[resources(&[]), vec![unknown]].concat());
    site.store
        .put(OPERATORS, "config", Some(document.as_bytes()));
    wait("the version is refused", || {
        gateway.dump().contains("Walls")
    });
    thread::sleep(Duration::from_millis(50));
    assert!(!gateway.is_ready());
}

#[test]
fn without_organisations_requests_pass_as_they_are() {
    let site = site("access-old", 1);
    let gateway = site.gateway("edge-1");
    let fields = "Authorization: Bearer ka\r\nTenant: x\r\n";
    let response = call(gateway.callers, &request_with("safe", "o1", fields));
    assert_eq!(response.head.status, 200);
    let run = site.targets[0].runs().remove(0);
    assert_eq!(
        (run.organisation.as_deref(), run.has_key),
        (Some("x"), true)
    );
}

#[test]
fn a_waiting_request_loses_its_right_with_its_key() {
    let table = |version: u64, organisations: &[(&str, &[&str])]| {
        let text = site_wire::configuration(version, &resources(organisations));
        config_document::decode(&text).expect("a configuration")
    };
    let mut routes = RouteTable::new(0);
    routes.apply(table(1, &[("org-a", &["ka"])]));
    let route = routes.find("site.example", "/safe/x").expect("a route");
    let mut fields = Fields::default();
    fields.add("Authorization", "Bearer ka");
    let grant = Grant::authorise(&routes, &route, &fields).expect("a known key");
    let grant = grant.expect("a grant");
    routes.apply(table(2, &[("org-a", &["ka", "kb"])]));
    assert!(grant.holds(&routes));
    routes.apply(table(3, &[("org-a", &["kb"]), ("org-b", &["ka"])]));
    assert!(
        !grant.holds(&routes),
        "the key belongs to another organisation now"
    );
    routes.apply(table(4, &[("org-a", &["kb"])]));
    assert!(!grant.holds(&routes));
}
