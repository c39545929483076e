//! Guards against responses that do not come from the target, requests that run twice, and statuses
//! that promise what is not true. The tests run a gateway process and simulated targets.

mod common;

use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use carobshore_standin::site_target::Behaviour;
use carobshore_standin::site_target::SiteTarget;
use carobshore_standin::site_wire::REQUEST_ID;
use carobshore_standin::site_wire::RESPONSE_SIGNATURE;

use crate::common::call;
use crate::common::connect;
use crate::common::read_response;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::wait;

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let site = site("unchanged", 1);
    let gateway = site.gateway("edge-1");
    let response = gateway.call("upload", "id-1", "some bytes");
    assert_eq!(response.head.status, 200);
    assert_eq!(response.body, "body of id-1");
    assert_eq!(response.head.fields.text(RESPONSE_SIGNATURE), Some("s"));
    let run = &site.targets[0].runs()[0];
    assert_eq!(&*run.request, "POST /upload/%2e/x?y=%zz");
    assert_eq!(run.body, 10);
    let deadline = run.deadline.expect("a deadline");
    assert!((1_000..=1_500).contains(&deadline), "{deadline} ms");
}

/// Guards against a request that counts as begun when the connection became idle: it would be refused
/// as too slow, or the target would get too little time.
#[test]
fn the_time_of_a_request_begins_with_its_first_byte() {
    let site = site("first-byte", 1);
    let gateway = site.gateway("edge-1");
    let mut stream = connect(gateway.callers).expect("a connection");
    let mut buffer = BytesMut::new();
    for id in ["f1", "f2", "f3"] {
        let text = request("safe", id, 1_500, "");
        stream.write_all(text.as_bytes()).expect("sent");
        let response = read_response(&mut stream, &mut buffer).expect("a response");
        assert_eq!(response.head.status, 200, "{id}");
        // Longer than the header timeout of the configuration.
        thread::sleep(Duration::from_millis(1_200));
    }
    for run in site.targets[0].runs() {
        let deadline = run.deadline.expect("a deadline");
        assert!(
            (1_000..=1_500).contains(&deadline),
            "{}: {deadline} ms",
            run.id
        );
    }
}

#[test]
fn without_a_configuration_requests_get_503_instead_of_404() {
    let site = site("without", 1);
    site.store
        .set_fault(carobshore_standin::site_store::StoreFault::Status(503));
    let gateway = site.start_gateway("edge-1");
    wait("the gateway listens", || {
        common::connect_now(gateway.callers)
    });
    let response = gateway.call("safe", "id-1", "");
    assert_eq!(response.head.status, 503);
    assert!(response.head.fields.text("Retry-After").is_some());
    assert!(!gateway.is_ready());
}

/// Guards against callers that wait longer than their request may take, while the VM that they would
/// return to is ready.
#[test]
fn callers_of_a_starting_vm_are_told_to_return_in_time() {
    const TARGET_LATENCY_S: f64 = 0.6;
    let site = site("starting", 1);
    site.store
        .set_fault(carobshore_standin::site_store::StoreFault::Status(503));
    let gateway = site.start_gateway("edge-1");
    wait("the gateway listens", || {
        common::connect_now(gateway.callers)
    });
    let response = gateway.call("safe", "id-1", "");
    let retry = response.head.fields.text("Retry-After");
    let retry: f64 = retry.expect("a time").parse().expect("seconds");
    assert!(retry > 0.0 && retry < TARGET_LATENCY_S, "{retry} s");
}

#[test]
fn a_path_without_a_route_is_not_found() {
    let site = site("no-route", 1);
    let gateway = site.gateway("edge-1");
    for text in [
        "GET /none/ HTTP/1.1\r\nHost: site.example\r\n\r\n",
        "GET /safe/ HTTP/1.1\r\nHost: other.example\r\n\r\n",
    ] {
        assert_eq!(call(gateway.callers, text).head.status, 404);
    }
}

#[test]
fn a_request_that_may_have_run_is_not_retried() {
    for behaviour in [Behaviour::Truncate, Behaviour::Lose, Behaviour::Unsigned] {
        let site = site(&format!("once-{behaviour:?}"), 3);
        let gateway = site.gateway("edge-1");
        site.targets.iter().for_each(|target| target.set(behaviour));
        let response = gateway.call("unsafe", "id-1", "x");
        assert_eq!(response.head.status, 502, "{behaviour:?}");
        assert_eq!(site.runs_of("id-1"), 1, "{behaviour:?}");
    }
}

#[test]
fn a_refused_request_is_retried_on_another_target() {
    let site = site("refused", 2);
    let gateway = site.gateway("edge-1");
    for refusing in 0..2 {
        site.targets[refusing].set(Behaviour::Refuse);
        site.targets[1 - refusing].set(Behaviour::Serve);
        for index in 0..5 {
            let id = format!("id-{refusing}-{index}");
            let response = gateway.call("unsafe", &id, "x");
            assert_eq!(response.head.status, 200);
            assert_eq!(site.runs_of(&id), 1);
        }
    }
}

#[test]
fn a_refusal_by_all_targets_yields_503_with_retry_after() {
    let site = site("all-refuse", 2);
    let gateway = site.gateway("edge-1");
    site.targets
        .iter()
        .for_each(|target| target.set(Behaviour::Refuse));
    let response = gateway.call("unsafe", "id-1", "x");
    assert_eq!(response.head.status, 503);
    let after = response
        .head
        .fields
        .text("Retry-After")
        .and_then(|text| text.parse::<f64>().ok());
    assert!(after.is_some_and(|after| after > 0.0 && after < 1.0));
    assert_eq!(site.runs_of("id-1"), 0);
}

#[test]
fn a_repeatable_request_is_retried_after_a_broken_response() {
    for behaviour in [Behaviour::Truncate, Behaviour::Lose, Behaviour::Unsigned] {
        let site = site(&format!("again-{behaviour:?}"), 2);
        let gateway = site.gateway("edge-1");
        site.targets[0].set(behaviour);
        for index in 0..6 {
            let id = format!("id-{index}");
            let response = gateway.call("safe", &id, "");
            assert_eq!(response.head.status, 200, "{behaviour:?}");
            assert_eq!(response.body, format!("body of {id}"));
        }
    }
}

#[test]
fn a_response_without_a_length_arrives_completely() {
    let site = site("unframed", 1);
    let gateway = site.gateway("edge-1");
    site.targets[0].set(Behaviour::Unframed);
    for kind in ["safe", "unsafe"] {
        let response = gateway.call(kind, "id-1", "");
        assert_eq!(response.body, "body of id-1");
    }
}

#[test]
fn an_extra_response_is_discarded() {
    let site = site("extra", 1);
    let gateway = site.gateway("edge-1");
    site.targets[0].set(Behaviour::AnswerTwice);
    for index in 0..8 {
        let id = format!("id-{index}");
        let response = gateway.call("safe", &id, "");
        assert_eq!(response.body, format!("body of {id}"));
        assert_eq!(response.head.fields.text(REQUEST_ID), Some(&*id));
    }
}

#[test]
fn a_target_is_not_used_if_another_one_answers_at_its_address() {
    let site = site("displaced", 2);
    let gateway = site.gateway("edge-1");
    site.targets[0].set(Behaviour::Misdirect);
    for index in 0..6 {
        let response = gateway.call("unsafe", &format!("id-{index}"), "x");
        assert_eq!(response.head.status, 200);
    }
    assert!(site.targets[0].runs().is_empty());
    assert_eq!(site.targets[0].arrivals(), 0);
}

#[test]
fn an_early_rejection_reaches_the_caller() {
    let site = site("early", 1);
    let gateway = site.gateway("edge-1");
    site.targets[0].set(Behaviour::RejectEarly);
    let body = "x".repeat(500_000);
    let response = gateway.call("upload", "id-1", &body);
    assert_eq!(response.head.status, 413);
    assert_eq!(response.body, "early");
}

#[test]
fn a_request_gets_504_after_the_timeout_of_its_route() {
    let site = site("timeout", 1);
    site.configure(2, &routes(400, "status"));
    let gateway = site.gateway("edge-1");
    site.targets[0].set(Behaviour::Hang);
    let started = Instant::now();
    let response = gateway.call("unsafe", "id-1", "x");
    assert_eq!(response.head.status, 504);
    let took = started.elapsed();
    assert!(took >= Duration::from_millis(390), "{took:?}");
    assert!(took < Duration::from_millis(650), "{took:?}");
}

#[test]
fn pipelined_requests_are_served_concurrently_and_answered_in_order() {
    let site = site("pipelined", 3);
    let gateway = site.gateway("edge-1");
    site.targets
        .iter()
        .for_each(|target| target.set_work(Duration::from_millis(300)));
    let mut stream = connect(gateway.callers).expect("a connection");
    let started = Instant::now();
    let text: String = (0..3)
        .map(|index| request("safe", &format!("id-{index}"), 3_000, ""))
        .collect();
    stream.write_all(text.as_bytes()).expect("a write");
    let mut buffer = BytesMut::new();
    for index in 0..3 {
        let response = read_response(&mut stream, &mut buffer).expect("a response");
        assert_eq!(response.body, format!("body of id-{index}"));
    }
    let took = started.elapsed();
    assert!(
        took < Duration::from_millis(750),
        "served one after the other: {took:?}"
    );
}

#[test]
fn a_non_repeatable_request_behind_a_closing_response_is_not_run() {
    let site = site("behind", 1);
    let gateway = site.gateway("edge-1");
    let first = request("safe", "id-1", 1_500, "").replacen("\r\n", "\r\nConnection: close\r\n", 1);
    let both = first + &request("unsafe", "id-2", 1_500, "x");
    let response = call(gateway.callers, &both);
    assert!(!response.head.keep_alive);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(site.runs_of("id-2"), 0);
}

#[test]
fn when_a_caller_disconnects_only_its_repeatable_request_is_cancelled() {
    let site = site("leaves", 1);
    let gateway = site.gateway("edge-1");
    site.targets[0].set_work(Duration::from_millis(800));
    for kind in ["safe", "unsafe"] {
        let id = format!("id-{kind}");
        let mut stream = connect(gateway.callers).expect("a connection");
        stream
            .write_all(request(kind, &id, 3_000, "").as_bytes())
            .expect("a write");
        wait("the request runs", || site.runs_of(&id) == 1);
        drop(stream);
        thread::sleep(Duration::from_millis(500));
        let runs = site.targets[0].runs();
        let run = runs.iter().find(|run| *run.id == *id).expect("the run");
        assert_eq!(run.caller_left, kind == "safe", "{kind}");
        thread::sleep(Duration::from_millis(500));
    }
}

/// In a burst all slots are taken, and health checks report nothing else. Guards against a freed
/// slot that stays idle, or goes to another VM, although this VM has just seen its own request
/// leave it.
#[test]
fn a_waiting_request_takes_the_slot_that_another_request_frees() {
    let site = site("freed", 1);
    let gateway = site.gateway("edge-1");
    let target = &site.targets[0];
    target.set_work(Duration::from_millis(150));
    let send = |id: &str| {
        let mut stream = connect(gateway.callers).expect("a connection");
        let text = request("unsafe", id, 1_500, "x");
        stream.write_all(text.as_bytes()).expect("a write");
        stream
    };
    let running: Vec<_> = ["id-1", "id-2"].into_iter().map(&send).collect();
    wait("both slots are taken", || target.runs().len() == 2);
    target.set(Behaviour::HealthReportsFull);
    let mut waiting = send("id-3");
    let response = read_response(&mut waiting, &mut BytesMut::new()).expect("a response");
    assert_eq!(response.head.status, 200);
    drop(running);
}

/// A caller that has disconnected cannot receive a response, so its request is not sent to another
/// target.
#[test]
fn a_request_refused_after_its_caller_disconnected_is_not_retried() {
    let site = site("leaves-refused", 3);
    let gateway = site.gateway("edge-1");
    for target in &site.targets {
        target.set(Behaviour::RefuseLate);
        target.set_work(Duration::from_millis(300));
    }
    let arrivals = || site.targets.iter().map(SiteTarget::arrivals).sum::<u32>();
    let mut stream = connect(gateway.callers).expect("a connection");
    stream
        .write_all(request("unsafe", "id-1", 3_000, "x").as_bytes())
        .expect("a write");
    wait("the request has arrived", || arrivals() == 1);
    drop(stream);
    wait("the disconnect is logged", || {
        let lines = gateway.lines();
        lines.iter().any(|line| line.contains("caller-left"))
    });
    assert_eq!(arrivals(), 1);
}

#[test]
fn malformed_and_oversized_requests_get_the_matching_status() {
    let site = site("malformed", 1);
    let gateway = site.gateway("edge-1");
    let long = "x".repeat(20_000);
    for (text, status) in [
        ("GET  / HTTP/1.1\r\n\r\n".to_owned(), 400),
        (
            "GET /safe/ HTTP/1.1\r\nHost: site.example\n\r\n".to_owned(),
            400,
        ),
        (
            "POST /safe/ HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                .to_owned(),
            400,
        ),
        (format!("GET /safe/ HTTP/1.1\r\nX: {long}\r\n\r\n"), 431),
        (
            "POST /upload/ HTTP/1.1\r\nHost: site.example\r\nContent-Length: 2000000\r\n\r\n"
                .to_owned(),
            413,
        ),
    ] {
        let response = call(gateway.callers, &text);
        assert_eq!(response.head.status, status, "{}", &text[..30]);
        assert!(!response.head.keep_alive);
    }
    let chunked =
        "POST /upload/ HTTP/1.1\r\nHost: site.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    for body in [
        "zz\r\nabc\r\n0\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "3\nabc\r\n0\r\n\r\n",
        "-1\r\nabc\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nabc\r\n0\r\n\r\n",
    ] {
        let response = call(gateway.callers, &format!("{chunked}{body}"));
        assert_eq!(response.head.status, 400, "{body:?}");
        assert!(!response.head.keep_alive);
    }
    let slow = call(gateway.callers, "GET /safe/ HTTP/1.1\r\nHost:");
    assert_eq!(slow.head.status, 408);
    assert!(site.targets[0].runs().is_empty());
    assert_eq!(site.targets[0].arrivals(), 0);
}
