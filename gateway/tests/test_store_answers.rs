//! Guards against a reader that stops, or never ends, because of what an answer of the store says.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobshore_platform::store_client::NewestRecords;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use carobshore_standin::raw_server::RawServer;
use carobshore_standin::raw_server::ServerAction;
use carobshore_standin::server::ANY_PORT;
use serde_json::Value;
use serde_json::json;

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

fn read(store: SocketAddr) -> Result<NewestRecords, StoreFailure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let mut client = StoreClient::new(store, Topic::Targets);
    let read = async { tokio::time::timeout(READ_TIMEOUT, client.newest()).await };
    runtime.block_on(read).expect("the read ends")
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
    assert_eq!((newest.records.len(), newest.end), (4, 9));
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
