//! Guards against callers that are told what a faulty target has only seemed to say: a refusal of an
//! earlier request, or a response that has been cut off.

mod common;

use std::io::Write;

use bytes::BytesMut;
use carobshore_standin::site_target::Behaviour;
use carobshore_standin::site_target::EARLIER_REFUSAL_LENGTH;
use carobshore_standin::site_wire::REQUEST_ID;

use crate::common::call;
use crate::common::connect;
use crate::common::read_response;
use crate::common::request;
use crate::common::site;
use crate::common::wait;

#[test]
fn a_repeated_refusal_of_an_earlier_request_is_not_taken_for_that_of_the_next() {
    let site = site("repeated-refusal", 1);
    let gateway = site.gateway("edge-1");
    site.targets[0].set(Behaviour::RepeatRefusal);
    for (index, kind) in ["unsafe", "upload", "safe", "unsafe"].iter().enumerate() {
        let id = format!("id-{index}");
        let response = gateway.call(kind, &id, "x");
        let runs = site.runs_of(&id);
        match response.head.status {
            503 => assert_eq!(runs, 0, "{kind}"),
            200 => assert_eq!((runs, &*response.body), (1, &*format!("body of {id}"))),
            status => panic!("{kind}: {status}"),
        }
    }
}

/// The id does not tell the responses apart, so the connection must.
#[test]
fn a_repeated_refusal_is_not_taken_for_that_of_a_request_with_the_same_id() {
    for kind in ["unsafe", "upload"] {
        let site = site(&format!("repeated-refusal-{kind}"), 1);
        let gateway = site.gateway("edge-1");
        site.targets[0].set(Behaviour::RepeatRefusal);
        let refused = gateway.call(kind, kind, "x");
        assert_eq!(refused.head.status, 503);
        let again = gateway.call(kind, kind, "x");
        let (status, runs) = (again.head.status, site.runs_of(kind));
        assert!(status == 200 || runs == 0, "{kind}: {status}, {runs} runs");
    }
}

#[test]
fn a_repeated_refusal_is_not_taken_for_that_of_a_request_without_an_id() {
    let site = site("repeated-refusal-no-id", 1);
    let gateway = site.gateway("edge-1");
    site.targets[0].set(Behaviour::RepeatRefusal);
    let text = request("unsafe", "x", 1_500, "x").replace(&format!("{REQUEST_ID}: x\r\n"), "");
    for _ in 0..4 {
        let before = site.targets[0].runs().len();
        let response = call(gateway.callers, &text);
        let runs = site.targets[0].runs().len() - before;
        let status = response.head.status;
        assert!(status == 200 || runs == 0, "{status}, {runs} runs");
    }
}

#[test]
fn a_response_that_is_cut_anywhere_is_no_success() {
    let site = site("cut-anywhere", 1);
    let gateway = site.gateway("edge-1");
    let whole = gateway.call("unsafe", "whole-000", "x");
    let mut cut = 0;
    loop {
        site.targets[0].set(Behaviour::CutAfter(cut));
        let id = format!("cut-{cut:05}");
        let response = gateway.call("unsafe", &id, "x");
        assert_eq!(site.runs_of(&id), 1);
        if response.head.status == 200 {
            assert_eq!(response.body, format!("body of {id}"));
            break;
        }
        assert_eq!(response.head.status, 502, "{cut} bytes");
        cut += 1;
    }
    assert!(
        cut > whole.body.len() + 80,
        "{cut} bytes are a whole response"
    );
}

/// A target may end a response without a length with its connection, but then there is something to
/// end.
#[test]
fn a_success_without_a_length_and_a_body_is_no_success() {
    let site = site("unframed-empty", 2);
    let gateway = site.gateway("edge-1");
    site.targets
        .iter()
        .for_each(|target| target.set(Behaviour::UnframedEmpty));
    assert_eq!(gateway.call("unsafe", "id-1", "x").head.status, 502);
    assert_eq!(site.runs_of("id-1"), 1);
    site.targets[0].set(Behaviour::Serve);
    let response = gateway.call("safe", "id-2", "");
    assert_eq!(response.body, "body of id-2");
}

/// Guards against a request that runs twice, or is refused although it has run, because the beginning of
/// an earlier refusal and the response make one head.
#[test]
fn a_part_of_a_refusal_before_a_response_is_not_taken_for_a_refusal() {
    let site = site("part-of-refusal", 2);
    let gateway = site.gateway("edge-1");
    for count in 0..EARLIER_REFUSAL_LENGTH {
        let behaviour = Behaviour::PartOfRefusal(count);
        site.targets.iter().for_each(|target| target.set(behaviour));
        let id = format!("part-{count}");
        let status = gateway.call("unsafe", &id, "x").head.status;
        assert_eq!(site.runs_of(&id), 1, "{count} bytes: {status}");
        assert!(matches!(status, 200 | 502), "{count} bytes: {status}");
    }
}

/// Guards against a caller that takes its next responses for the body of a success.
#[test]
fn the_length_that_an_empty_response_in_chunks_states_is_not_passed_on() {
    let site = site("empty-chunks", 1);
    let gateway = site.gateway("edge-1");
    site.targets[0].set(Behaviour::EmptyChunks);
    let mut stream = connect(gateway.callers).expect("a connection");
    let mut buffer = BytesMut::new();
    for index in 0..3 {
        let text = request("safe", &format!("id-{index}"), 1_500, "");
        stream.write_all(text.as_bytes()).expect("a request");
        let response = read_response(&mut stream, &mut buffer).expect("a response");
        assert_eq!(response.head.fields.text("content-length"), Some("0"));
        assert_eq!((response.head.status, &*response.body), (200, ""));
    }
}

/// Guards against a process over its memory limit, by the bodies of requests whose length is not stated.
#[test]
fn the_bodies_of_requests_in_chunks_count_as_memory_while_they_arrive() {
    const BODY: usize = 800_000;
    let site = site("chunks-memory", 1);
    let gateway = site.gateway("edge-1");
    let used = || {
        let dump: serde_json::Value = serde_json::from_str(&gateway.dump()).unwrap_or_default();
        dump["body_bytes"].as_u64().unwrap_or_default()
    };
    let text = request("upload", "id", 1_500, "").replace(
        "\r\n\r\n",
        &format!("\r\nTransfer-Encoding: chunked\r\n\r\n{BODY:x}\r\n"),
    );
    let mut stream = connect(gateway.callers).expect("a connection");
    stream.write_all(text.as_bytes()).expect("a head");
    stream.write_all(&vec![b'x'; BODY]).expect("a body");
    wait("the body is counted", || used() >= BODY as u64);
    stream.write_all(b"\r\n0\r\n\r\n").expect("the end");
    let response = read_response(&mut stream, &mut BytesMut::new()).expect("a response");
    assert_eq!(response.head.status, 200);
    assert_eq!(site.targets[0].runs()[0].body, BODY);
    wait("the memory is free again", || used() == 0);
}
