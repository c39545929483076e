//! The planned stop: no request in flight is cut off.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_entry::view::DataReport;
use carobshore_lib::key_history::SKEW_MARGIN;
use carobshore_lib::roster::Roster;
use common::PATIENCE;
use common::assert_outcome;
use common::field;
use common::raw_call;
use common::raw_exchange;
use common::raw_server;
use common::read_head;
use common::read_until_quiet;
use common::vm::Vm;

/// The time for which a stopping VM still accepts requests. It differs from the default, so that
/// a setting without effect is noticed.
const NOTICE: Duration = Duration::from_secs(3);
const NOTICE_FLAG: &str = "--drain-notice-ms=3000";
const QUIET: Duration = Duration::from_millis(300);
const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: status\r\n\r\n";

/// Starts a target that reads bodies of `body` bytes and then answers.
fn target(body: usize) -> SocketAddr {
    raw_server(move |mut stream| {
        thread::spawn(move || {
            while !read_head(&mut stream).is_empty() {
                stream.read_exact(&mut vec![0; body]).unwrap();
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
            }
        });
    })
}

/// Removes the VM from its roster, as the log does after the `leave` was appended.
fn leave_when_asked(vm: &mut Vm) {
    let end = Instant::now() + PATIENCE;
    loop {
        match vm.reports.try_recv() {
            Ok(DataReport::KeyedIdle) => break,
            Ok(_) => {}
            Err(_) => thread::sleep(Duration::from_millis(10)),
        }
        assert!(Instant::now() < end, "the VM did not ask to leave");
    }
    vm.update(|view| view.roster = Arc::new(Roster::default()));
}

fn wait_for_end(vm: &Vm) {
    let end = Instant::now() + PATIENCE;
    while !vm.has_ended() {
        assert!(Instant::now() < end, "the VM did not stop");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a planned stop that cuts off a slow upload, refuses requests before the platform's
/// load balancer has noticed, or does not end.
#[test]
fn slow_upload_outlives_the_stop_and_nothing_is_refused_early() {
    let mut vm = Vm::alone(&[target(1000)], &[NOTICE_FLAG]);
    let mut upload = TcpStream::connect(vm.listen).unwrap();
    let head = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 1000\r\n\r\n";
    upload.write_all(head.as_bytes()).unwrap();
    upload.write_all(&[b'x'; 100]).unwrap();
    let request = "GET /ready HTTP/1.1\r\nhost: admin\r\n\r\n";
    let ready = |vm: &Vm| raw_call(vm.admin, request.as_bytes(), QUIET);
    assert!(ready(&vm).starts_with("HTTP/1.1 200 "));

    let stopped = Instant::now();
    vm.stop.request();
    thread::sleep(Duration::from_millis(100));
    assert!(ready(&vm).starts_with("HTTP/1.1 503 "));
    leave_when_asked(&mut vm);
    for part in 0..8 {
        upload.write_all(&[b'x'; 100]).unwrap();
        if stopped.elapsed() < NOTICE - Duration::from_millis(500) {
            let answer = raw_exchange(vm.listen, b"", Duration::from_millis(10));
            assert!(!answer.closed, "part {part}: the listener was closed early");
        }
        thread::sleep(Duration::from_millis(500));
    }
    assert!(stopped.elapsed() > NOTICE);
    assert!(
        TcpStream::connect(vm.listen).is_err(),
        "the listener is still open"
    );
    assert!(!vm.has_ended());
    upload.write_all(&[b'x'; 100]).unwrap();
    let answer = read_until_quiet(&mut upload, PATIENCE);
    assert!(answer.text.starts_with("HTTP/1.1 200 "), "{}", answer.text);
    assert_outcome(&answer.text, "whole");
    assert!(
        answer.text.ends_with("ok") && answer.closed,
        "{}",
        answer.text
    );
    wait_for_end(&vm);
}

/// Guards against new keyed requests during a stop, which would delay the release of the homes. The
/// key may have run at another VM before, so the answer does not claim "not run".
#[test]
fn keyed_requests_are_refused_and_others_accepted_during_the_notice() {
    let vm = Vm::alone(&[target(0)], &[]);
    vm.stop.request();
    thread::sleep(Duration::from_millis(200));
    let answer = raw_call(vm.listen, GET, QUIET);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_eq!(field(&answer, "connection"), Some("close"));
    let key = uuid::Uuid::now_v7();
    let keyed = format!(
        "POST / HTTP/1.1\r\nhost: status\r\nidempotency-key: {key}\r\ncontent-length: 0\r\n\r\n"
    );
    let answer = raw_call(vm.listen, keyed.as_bytes(), QUIET);
    assert_outcome(&answer, "may-have-run");
    assert_eq!(field(&answer, "carobshore-code"), Some("4010"), "{answer}");
}

/// Guards against a VM that releases its keys while a request with a key still runs, though the
/// caller of the request has left.
#[test]
fn keys_are_released_only_after_the_last_keyed_request() {
    const REST: Duration = Duration::from_millis(1500);
    let target = raw_server(|mut stream| {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no");
        thread::sleep(REST);
        let _ = stream.write_all(b"k");
    });
    let mut vm = Vm::alone(&[target], &[]);
    // Keys from before the start may have been accepted by an earlier run of the VM.
    thread::sleep(SKEW_MARGIN + Duration::from_millis(300));
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    let key = uuid::Uuid::now_v7();
    let request = format!(
        "POST / HTTP/1.1\r\nhost: status\r\nidempotency-key: {key}\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).unwrap();
    let head = read_head(&mut caller);
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    let answered = Instant::now();
    drop(caller);
    thread::sleep(Duration::from_millis(200));
    vm.stop.request();
    leave_when_asked(&mut vm);
    assert!(answered.elapsed() >= REST - Duration::from_millis(200));
}

/// Guards against a second signal that waits for requests in flight.
#[test]
fn second_signal_cuts_off() {
    let vm = Vm::alone(&[target(1000)], &[]);
    let mut upload = TcpStream::connect(vm.listen).unwrap();
    let head = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 1000\r\n\r\n";
    upload.write_all(head.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(100));
    vm.stop.request();
    thread::sleep(Duration::from_millis(100));
    vm.stop.request();
    let asked = Instant::now();
    wait_for_end(&vm);
    assert!(asked.elapsed() < Duration::from_secs(1));
    let answer = read_until_quiet(&mut upload, PATIENCE);
    assert!(answer.closed && answer.text.is_empty(), "{}", answer.text);
}

/// Guards against a request that counts as in flight for good, so that the planned stop never ends:
/// its target sent a part of the response and then fell silent, and the response was given up.
#[test]
fn a_response_that_was_given_up_does_not_hold_up_the_stop() {
    for method in ["GET", "POST"] {
        let silent = raw_server(|mut stream| {
            thread::spawn(move || {
                read_head(&mut stream);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n");
                let _ = stream.write_all(&[b'x'; 600]);
                thread::sleep(PATIENCE);
            });
        });
        let mut vm = Vm::alone(&[silent], &[NOTICE_FLAG]);
        let request = format!(
            "{method} / HTTP/1.1\r\nhost: status\r\ncarobshore-deadline-ms: 300\r\ncontent-length: 0\r\n\r\n"
        );
        let mut caller = TcpStream::connect(vm.listen).unwrap();
        caller.write_all(request.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(800));
        let load = vm.dump();
        assert_eq!(load["in_flight_other"], 0, "{method}");
        vm.stop.request();
        leave_when_asked(&mut vm);
        wait_for_end(&vm);
        let answer = read_until_quiet(&mut caller, PATIENCE);
        assert!(answer.closed, "{method}: {}", answer.text);
        assert!(
            answer.text.matches('x').count() <= 600,
            "{method}: {}",
            answer.text
        );
    }
}
