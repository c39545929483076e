//! Guards against a reader that stops, or never ends, because of what an answer of the store says.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_platform::store_client::NewestRecords;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use carobshore_standin::broken_server::AnswerEnd;
use carobshore_standin::broken_server::BrokenAnswer;
use carobshore_standin::broken_server::BrokenServer;
use carobshore_standin::broken_server::UploadRead;
use carobshore_standin::raw_server::RawServer;
use carobshore_standin::raw_server::ServerAction;
use carobshore_standin::server::ANY_PORT;
use carobshore_standin::site_target::SiteTarget;
use serde_json::Value;
use serde_json::json;

use crate::common::site;
use crate::common::wait;

/// A read takes at most this long, with many times the number of calls that it needs.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a store whose answers `body` makes, from the number of earlier ones.
fn store(body: impl Fn(u32) -> Value + Send + Sync + 'static) -> RawServer {
    let calls = AtomicU32::new(0);
    let answer = move |_| {
        let body = body(calls.fetch_add(1, Ordering::SeqCst)).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        ServerAction::Send((head + &body).into_bytes())
    };
    RawServer::start(ANY_PORT, |_| false, answer).expect("a store")
}

fn run<T>(call: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let ended = runtime.block_on(async { tokio::time::timeout(READ_TIMEOUT, call).await });
    ended.expect("the call ends")
}

fn read(store: SocketAddr) -> Result<NewestRecords, StoreFailure> {
    run(StoreClient::new(store, Topic::Targets, Rc::default()).newest())
}

fn item(key: &str, value: &str) -> Value {
    json!({"Key": key, "Value": value, "Offset": 3})
}

#[test]
fn pages_that_do_not_go_on_end_the_read() {
    for keys in [["b", "b"], ["b", "a"]] {
        let store = store(move |call| {
            let key = keys[usize::from(call > 0)];
            json!({"items": [item(key, "MQ==")], "HasMore": true, "End": 9})
        });
        assert!(matches!(
            read(store.addr()),
            Err(StoreFailure::Malformed(_))
        ));
    }
}

#[test]
fn pages_that_go_on_are_all_read() {
    let store = store(|call| {
        let key = format!("k-{call}");
        json!({"items": [item(&key, "MQ==")], "HasMore": call < 3, "End": 9 + call})
    });
    let newest = read(store.addr()).expect("the records");
    let end = StorePosition::new(StoreEra::default(), 9);
    assert_eq!((newest.records.len(), newest.end), (4, end));
}

/// The number of targets of the largest deployment, and the length of the entry of one, in bytes.
const TARGET_ENTRIES: usize = 21_000;
const ENTRY: usize = 300;
/// The number of records on a page.
const PAGE: usize = 3_000;

#[test]
fn the_entries_of_all_targets_of_the_largest_deployment_are_read() {
    let store = store(|call| {
        let value = "QUFB".repeat(ENTRY / 3);
        let keys = (0..PAGE).map(|index| format!("target-{call:03}-{index:06}"));
        let items: Vec<_> = keys.map(|key| item(&key, &value)).collect();
        json!({"items": items, "HasMore": call < 6, "End": 9})
    });
    let newest = read(store.addr()).expect("the records");
    assert_eq!(newest.records.len(), TARGET_ENTRIES);
}

#[test]
fn a_gateway_reads_a_list_of_several_pages_whole() {
    let mut site = site("several-pages", 5);
    site.store.set_page(2);
    let mut gateway = site.gateway("edge-1");
    for round in 0..2 {
        wait("all targets are known", || {
            let dump = gateway.dump();
            let known = |target: &SiteTarget| dump.contains(&format!("\"{}\"", target.id()));
            site.targets.iter().all(known)
        });
        let target = SiteTarget::start(ANY_PORT, &format!("new-{round}"), "status", "a");
        let target = target.expect("a target");
        target.announce(&site.store, "ready");
        site.targets.push(target);
        gateway.restart();
    }
}

/// Otherwise one record of another writer would hide all targets.
#[test]
fn a_value_that_cannot_be_decoded_is_counted_and_the_others_hold() {
    let store = store(|_| {
        let items = [item("a", "MQ=="), item("b", "%%"), item("c", "MQ==")];
        json!({"items": items, "HasMore": false, "End": 9})
    });
    let newest = read(store.addr()).expect("the records");
    let keys: Vec<&str> = newest.records.iter().map(|record| &*record.key).collect();
    assert_eq!((keys, newest.malformed), (vec!["a", "c"], 1));
}

#[test]
fn an_end_beyond_the_range_of_offsets_is_malformed() {
    let store = store(|_| json!({"items": [], "HasMore": false, "End": u64::MAX}));
    assert!(matches!(
        read(store.addr()),
        Err(StoreFailure::Malformed(_))
    ));
}

/// The length of a record that the test writes, in bytes, and their number: more than the kernel takes.
const RECORD: usize = 200 << 10;
const RECORDS: usize = 80;
/// How often an append is tried, because the order of a read and a write decides.
const APPENDS: usize = 30;

/// Guards against a record that counts as written although the answer broke off.
#[test]
fn an_append_whose_answer_breaks_off_is_not_acknowledged() {
    for end in [AnswerEnd::Reset, AnswerEnd::Close, AnswerEnd::CloseAndReset] {
        let answer = BrokenAnswer {
            upload: UploadRead::Part,
            bytes: b"HTTP/1.1 200 OK\r\n\r\n{".to_vec(),
            end: end.clone(),
        };
        let store = BrokenServer::start(move |_| answer.clone()).expect("a store");
        for _ in 0..APPENDS {
            let records: Vec<_> = (0..RECORDS).map(|_| ("key", vec![b'x'; RECORD])).collect();
            let mut client = StoreClient::new(store.addr(), Topic::Vms, Rc::default());
            let appended = run(client.append(&records));
            assert!(appended.is_err(), "{end:?}");
        }
    }
}

/// Guards against records that the store has not sent.
#[test]
fn an_answer_that_is_none_tells_no_records() {
    let body = json!({"items": [item("a", "MQ==")], "HasMore": false, "End": 9}).to_string();
    let length = body.len();
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let around = whole.len();
    let answers = [
        format!("HTTP/1.1 000 Trouble\r\nContent-Length: {around}\r\n\r\n{whole}"),
        whole.replacen("200", "20", 1),
        whole.replacen("200", "2000", 1),
        format!("HTTP/1.1 200 OK\r\n\nContent-Length: 1\r\n\r\n{body}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\n{body}"),
        whole.replacen("Length:", "Length :", 1),
        whole.replacen("Content", "Con\u{1}tent", 1),
    ];
    for answer in answers {
        let sent = BrokenAnswer::new(answer.clone(), AnswerEnd::Close);
        let store = BrokenServer::start(move |_| sent.clone()).expect("a store");
        assert!(read(store.addr()).is_err(), "{answer:?}");
    }
}
