//! A planned stop does not abort requests in flight.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_entry::view::DataReport;
use carobshore_lib::key_history::SKEW_MARGIN;
use carobshore_lib::roster::Roster;
use common::MAX_WAIT;
use common::assert_outcome;
use common::field;
use common::raw_call;
use common::raw_exchange;
use common::raw_server;
use common::read_head;
use common::read_until_idle;
use common::vm::Vm;

/// The time for which a stopping VM still accepts requests. It differs from the default, so that
/// the tests notice if the setting has no effect.
const NOTICE: Duration = Duration::from_secs(3);
const NOTICE_FLAG: &str = "--drain-notice-ms=3000";
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: status\r\n\r\n";

/// Starts a target that reads a body of `body` bytes and then responds.
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

/// Waits until the VM asks to leave, and removes it from its roster, as the record `leave` in the
/// log would.
fn leave_when_asked(vm: &mut Vm) {
    let end = Instant::now() + MAX_WAIT;
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
    let end = Instant::now() + MAX_WAIT;
    while !vm.has_ended() {
        assert!(Instant::now() < end, "the VM did not stop");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a planned stop that aborts a slow upload, refuses requests before the platform's
/// load balancer has noticed the stop, or does not end.
#[test]
fn slow_upload_completes_during_the_stop_and_nothing_is_refused_early() {
    let mut vm = Vm::alone(&[target(1000)], &[NOTICE_FLAG]);
    let mut upload = TcpStream::connect(vm.listen).unwrap();
    let head = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 1000\r\n\r\n";
    upload.write_all(head.as_bytes()).unwrap();
    upload.write_all(&[b'x'; 100]).unwrap();
    let request = "GET /ready HTTP/1.1\r\nhost: admin\r\n\r\n";
    let ready = |vm: &Vm| raw_call(vm.admin, request.as_bytes(), IDLE_TIMEOUT);
    assert!(ready(&vm).starts_with("HTTP/1.1 200 "));

    let stopped = Instant::now();
    vm.stop.request();
    thread::sleep(Duration::from_millis(100));
    assert!(ready(&vm).starts_with("HTTP/1.1 503 "));
    leave_when_asked(&mut vm);
    for part in 0..8 {
        upload.write_all(&[b'x'; 100]).unwrap();
        if stopped.elapsed() < NOTICE - Duration::from_millis(500) {
            let response = raw_exchange(vm.listen, b"", Duration::from_millis(10));
            assert!(
                !response.closed,
                "part {part}: the listener was closed early"
            );
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
    let response = read_until_idle(&mut upload, MAX_WAIT);
    assert!(
        response.text.starts_with("HTTP/1.1 200 "),
        "{}",
        response.text
    );
    assert_outcome(&response.text, "whole");
    assert!(
        response.text.ends_with("ok") && response.closed,
        "{}",
        response.text
    );
    wait_for_end(&vm);
}

/// Guards against accepting keyed requests during a stop, which would delay the release of the
/// homes. The key may have run at another VM before, so the response does not say "not run".
#[test]
fn keyed_requests_are_refused_and_others_accepted_during_the_notice() {
    let vm = Vm::alone(&[target(0)], &[]);
    vm.stop.request();
    thread::sleep(Duration::from_millis(200));
    let response = raw_call(vm.listen, GET, IDLE_TIMEOUT);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert_eq!(field(&response, "connection"), Some("close"));
    let key = uuid::Uuid::now_v7();
    let keyed = format!(
        "POST / HTTP/1.1\r\nhost: status\r\nidempotency-key: {key}\r\ncontent-length: 0\r\n\r\n"
    );
    let response = raw_call(vm.listen, keyed.as_bytes(), IDLE_TIMEOUT);
    assert_outcome(&response, "may-have-run");
    assert_eq!(
        field(&response, "carobshore-code"),
        Some("4010"),
        "{response}"
    );
}

/// Guards against a VM that releases its keys while a request with a key still runs, after the
/// caller of the request has disconnected.
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
    // Keys created before the start may have been accepted by an earlier run of the VM.
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

/// Guards against waiting for requests in flight after the second signal.
#[test]
fn second_signal_aborts_requests_in_flight() {
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
    let response = read_until_idle(&mut upload, MAX_WAIT);
    assert!(
        response.closed && response.text.is_empty(),
        "{}",
        response.text
    );
}

/// Guards against a request that counts as in flight for good, so that the planned stop never ends:
/// its target sent a part of the response and then fell silent, and the response was given up.
#[test]
fn an_abandoned_response_does_not_delay_the_stop() {
    for method in ["GET", "POST"] {
        let silent = raw_server(|mut stream| {
            thread::spawn(move || {
                read_head(&mut stream);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n");
                let _ = stream.write_all(&[b'x'; 600]);
                thread::sleep(MAX_WAIT);
            });
        });
        let mut vm = Vm::alone(&[silent], &[NOTICE_FLAG]);
        let request = format!(
            "{method} / HTTP/1.1\r\nhost: status\r\ncarobshore-deadline-ms: 300\r\ncontent-length: 0\r\n\r\n"
        );
        let mut caller = TcpStream::connect(vm.listen).unwrap();
        caller.write_all(request.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(800));
        let dump = vm.dump();
        assert_eq!(dump["in_flight_other"], 0, "{method}");
        vm.stop.request();
        leave_when_asked(&mut vm);
        wait_for_end(&vm);
        let response = read_until_idle(&mut caller, MAX_WAIT);
        assert!(response.closed, "{method}: {}", response.text);
        assert!(
            response.text.matches('x').count() <= 600,
            "{method}: {}",
            response.text
        );
    }
}

/// How a target goes on after a part of the body.
#[derive(Clone, Copy, Debug)]
enum BodyEnd {
    Silent,
    Closed,
    Reset,
}

/// Starts a target that announces 1,000 bytes, sends 600, and then does as `end` says.
fn breaking_target(end: BodyEnd) -> SocketAddr {
    raw_server(move |mut stream| {
        thread::spawn(move || {
            if read_head(&mut stream).starts_with("POST") {
                let _ = stream.read_exact(&mut [0; 10]);
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n");
            let _ = stream.write_all(&[b'x'; 600]);
            match end {
                BodyEnd::Silent => thread::sleep(MAX_WAIT * 3),
                BodyEnd::Closed => {}
                BodyEnd::Reset => common::reset(stream),
            }
        });
    })
}

/// Guards against a stop that never ends because a response that was given up counts as in flight for
/// good.
#[test]
fn a_response_that_breaks_off_in_its_body_does_not_delay_the_stop() {
    let get = "GET / HTTP/1.1\r\nhost: status\r\ncarobshore-deadline-ms: 500\r\n\r\n";
    let post = "POST / HTTP/1.1\r\nhost: status\r\ncarobshore-deadline-ms: 500\r\ncontent-length: 10\r\n\r\n0123456789";
    for end in [BodyEnd::Silent, BodyEnd::Closed, BodyEnd::Reset] {
        for text in [get, post] {
            let mut vm = Vm::alone(&[breaking_target(end)], &["--drain-notice-ms=200"]);
            let response = raw_call(vm.listen, text.as_bytes(), MAX_WAIT);
            assert!(response.len() < 1_000, "{end:?}: {response}");
            vm.stop.request();
            leave_when_asked(&mut vm);
            wait_for_end(&vm);
        }
    }
}

/// Guards against requests that are taken late in a planned stop, or hang in their target, and are cut
/// without an answer when the platform kills the process.
#[test]
fn requests_that_targets_hold_are_answered_before_the_end_of_the_grace_period() {
    const GRACE: Duration = Duration::from_secs(3);
    let (sender, heads) = mpsc::channel();
    let hanging = raw_server(move |mut stream| {
        let sender = sender.clone();
        thread::spawn(move || {
            let _ = sender.send(read_head(&mut stream));
            thread::sleep(MAX_WAIT);
        });
    });
    let vm = Vm::alone(&[hanging], &["--grace-ms=3000"]);
    let listen = vm.listen;
    let call = move |request: &'static str| {
        let fields = "host: status\r\ncarobshore-deadline-ms: 20000\r\ncontent-length: 0";
        let text = format!("{request} HTTP/1.1\r\n{fields}\r\n\r\n");
        thread::spawn(move || {
            let response = raw_call(listen, text.as_bytes(), MAX_WAIT);
            (request, response, Instant::now())
        })
    };
    let early = ["GET /early", "POST /early"].map(call);
    thread::sleep(Duration::from_millis(300));
    let stopped = Instant::now();
    vm.stop.request();
    thread::sleep(GRACE / 2 - Duration::from_millis(300));
    let late = ["GET /late", "POST /late"].map(call);
    let mut sent = Vec::new();
    for caller in early.into_iter().chain(late) {
        let (request, response, at) = caller.join().expect("a response");
        assert!(at - stopped < GRACE, "{:?}: {response}", at - stopped);
        assert!(response.starts_with("HTTP/1.1 504 "), "{response}");
        sent.extend(heads.try_iter());
        let was_sent = sent.iter().any(|head: &String| head.starts_with(request));
        let outcome = if was_sent { "may-have-run" } else { "not-run" };
        assert_outcome(&response, outcome);
    }
    assert!(!sent.is_empty());
    wait_for_end(&vm);
    assert!(stopped.elapsed() < GRACE);
}
