//! The simulated log: appends, reads, retention and injected faults.

mod http;

use std::time::Duration;
use std::time::Instant;

use carobshore_standin::LogFaults;
use carobshore_standin::LogSettings;
use carobshore_standin::LogStandin;
use carobshore_standin::Trigger;
use carobshore_standin::log_store::LogStore;
use http::Conn;
use http::call;

fn start() -> LogStandin {
    LogStandin::start(&LogSettings::default()).expect("a free port")
}

#[test]
fn records_come_back_in_order_from_the_requested_offset() {
    let log = start();
    for text in ["a", "b", "c"] {
        let reply = call(log.addr(), "POST /v1/records", &[], text.as_bytes()).unwrap();
        assert_eq!(reply.status, 200);
    }
    let reply = call(log.addr(), "GET /v1/records?from=1&max=1", &[], b"").unwrap();
    let expected = r#"{"first":0,"next":3,"records":[{"offset":1,"data":"b"}]}"#;
    assert_eq!(String::from_utf8(reply.body).unwrap(), expected);
    let reply = call(log.addr(), "GET /v1/records?from=3&max=9", &[], b"").unwrap();
    assert_eq!(reply.json()["records"].as_array().unwrap().len(), 0);
}

/// An append whose response is lost has still taken effect, so that clients can be tested against
/// taking a lost response for a failed append.
#[test]
fn lost_response_keeps_appended_record() {
    let log = start();
    log.set_faults(LogFaults {
        lose: Trigger::next(1),
        ..LogFaults::default()
    });
    assert!(call(log.addr(), "POST /v1/records", &[], b"lost").is_err());
    assert_eq!(&*log.records()[0].data, "lost");
    let reply = call(log.addr(), "POST /v1/records", &[], b"next").unwrap();
    assert_eq!(reply.json()["offset"], 1);
}

#[test]
fn outage_refuses_requests_and_stores_no_record() {
    let log = start();
    let body = br#"{"refuse":{"rate":1.0}}"#;
    let json = [("content-type", "application/json")];
    assert_eq!(
        call(log.addr(), "PUT /faults", &json, body).unwrap().status,
        204
    );
    assert_eq!(
        call(log.addr(), "POST /v1/records", &[], b"x")
            .unwrap()
            .status,
        503
    );
    assert_eq!(
        call(log.addr(), "GET /v1/records?from=0", &[], b"")
            .unwrap()
            .status,
        503
    );
    assert_eq!(log.records().len(), 0);
    assert_eq!(
        call(log.addr(), "PUT /faults", &json, b"{}")
            .unwrap()
            .status,
        204
    );
    assert_eq!(
        call(log.addr(), "POST /v1/records", &[], b"x")
            .unwrap()
            .status,
        200
    );
}

#[test]
fn hanging_log_accepts_connections_and_never_responds() {
    let log = start();
    log.set_faults(LogFaults {
        hang: Trigger::ALWAYS,
        ..LogFaults::default()
    });
    let mut conn = Conn::open(log.addr());
    conn.set_read_timeout(Duration::from_millis(200));
    let error = conn.call("GET /v1/records?from=0", &[], b"").err().unwrap();
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
}

#[test]
fn slow_response_is_delayed() {
    let log = start();
    let slow = LogFaults {
        slow: Trigger::next(1),
        delay_ms: 150,
        ..LogFaults::default()
    };
    log.set_faults(slow);
    let began = Instant::now();
    assert_eq!(
        call(log.addr(), "POST /v1/records", &[], b"x")
            .unwrap()
            .status,
        200
    );
    assert!(began.elapsed() >= Duration::from_millis(150));
}

#[test]
fn appends_above_the_rate_are_refused() {
    let settings = LogSettings {
        appends: 10,
        ..LogSettings::default()
    };
    let start = Instant::now();
    let mut store = LogStore::new(&settings, start);
    let taken = (0..10)
        .filter(|_| store.append(start, "x".into()).is_ok())
        .count();
    assert_eq!(taken, 2, "a fifth of a second's appends may arrive at once");
    let later = start + Duration::from_millis(150);
    assert!(store.append(later, "x".into()).is_ok());
    assert!(store.append(later, "x".into()).is_err());
}

#[test]
fn old_and_surplus_records_expire_and_reading_them_is_an_error() {
    let age = Duration::from_secs(10);
    let settings = LogSettings {
        records: 2,
        age,
        ..LogSettings::default()
    };
    let start = Instant::now();
    let mut store = LogStore::new(&settings, start);
    for text in ["a", "b", "c"] {
        store.append(start, text.into()).unwrap();
    }
    assert_eq!(store.read(start, 0, 9).unwrap_err().first, 1);
    assert_eq!(store.read(start, 1, 9).unwrap().records.len(), 2);
    let error = store.read(start + age * 2, 1, 9).unwrap_err();
    assert_eq!((error.first, error.next), (3, 3));
    let log = self::start();
    call(log.addr(), "POST /v1/records", &[], b"x").unwrap();
    log.expire_before(1);
    assert_eq!(
        call(log.addr(), "GET /v1/records?from=0", &[], b"")
            .unwrap()
            .status,
        410
    );
}

#[test]
fn a_stopped_log_refuses_connections() {
    let mut log = start();
    let mut open = Conn::open(log.addr());
    open.call("POST /v1/records", &[], b"x").unwrap();
    log.stop();
    assert!(std::net::TcpStream::connect(log.addr()).is_err());
    assert!(open.receive().is_err());
}
