//! Malformed requests get a clear error and a closed connection, and never reach a target as a
//! complete request.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use common::RawResponse;
use common::assert_outcome;
use common::field;
use common::raw_exchange;
use common::raw_server;
use common::read_until_idle;
use common::reporting_target;
use common::vm::Vm;

/// How long a client waits for more of a response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A second request, which gets through if the end of the first one is misread.
const SMUGGLED: &str = "GET /smuggled HTTP/1.1\r\nhost: status\r\n\r\n";

/// Starts a VM with one target that reports the heads of its requests.
fn vm(extra: &[&str]) -> (Vm, mpsc::Receiver<String>) {
    let (target, seen) = reporting_target(Duration::ZERO);
    (Vm::alone(&[target], extra), seen)
}

fn check(response: &RawResponse, status: u16, outcome: &str, case: &str) {
    let text = &response.text;
    let line = format!("HTTP/1.1 {status} ");
    assert!(text.starts_with(&line), "{case:?}: {text}");
    assert!(
        !text.contains("\nHTTP/1.1 "),
        "{case:?} gets two responses: {text}"
    );
    assert!(response.closed, "{case:?} leaves the connection open");
    assert_eq!(field(text, "connection"), Some("close"), "{case:?}: {text}");
    assert_eq!(
        field(text, "carobshore-outcome"),
        Some(outcome),
        "{case:?}: {text}"
    );
    assert!(field(text, "carobshore-code").is_some(), "{case:?}: {text}");
}

/// Guards against request smuggling, where the VM and the target disagree on where a request ends,
/// and against invalid heads reaching a target.
#[test]
fn ambiguous_and_broken_heads_are_refused() {
    let (vm, seen) = vm(&[]);
    let post = "POST / HTTP/1.1\r\nhost: status\r\n";
    let get = "GET / HTTP/1.1\r\nhost: status\r\n";
    let cases = [
        (
            400,
            format!("{post}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd"),
        ),
        (
            400,
            format!("{post}content-length: 3\r\ncontent-length: 3\r\n\r\nabc"),
        ),
        (400, format!("{post}content-length: 3, 4\r\n\r\nabcd")),
        (400, format!("{post}content-length: +3\r\n\r\nabc")),
        (400, format!("{post}content-length: -3\r\n\r\nabc")),
        (400, format!("{post}content-length: 0x3\r\n\r\nabc")),
        (
            400,
            format!("{post}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        ),
        (
            400,
            format!("{post}transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n"),
        ),
        (
            400,
            format!("{post}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
        ),
        (400, format!("{post}transfer-encoding: identity\r\n\r\n")),
        (
            400,
            format!("{post}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n"),
        ),
        (
            400,
            format!(
                "{post}transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            ),
        ),
        (400, format!("{get}folded: a\r\n b\r\n\r\n")),
        (400, format!("{get}content-length : 0\r\n\r\n")),
        (400, format!("{get}bad name: x\r\n\r\n")),
        (400, format!("{get}nul: a\0b\r\n\r\n")),
        (400, "GET / HTTP/1.1\r\n\r\n".to_owned()),
        (400, format!("{get}host: other\r\n\r\n")),
        (400, "GET /a b HTTP/1.1\r\nhost: status\r\n\r\n".to_owned()),
        (400, "NOT HTTP\r\n\r\n".to_owned()),
        (
            501,
            format!("{get}connection: upgrade\r\nupgrade: websocket\r\n\r\n"),
        ),
        (
            501,
            format!("{post}content-length: 3\r\nupgrade: websocket\r\n\r\nabc"),
        ),
        (
            501,
            "CONNECT status:80 HTTP/1.1\r\nhost: status\r\n\r\n".to_owned(),
        ),
    ];
    for (status, case) in cases {
        let response = raw_exchange(
            vm.listen,
            format!("{case}{SMUGGLED}").as_bytes(),
            IDLE_TIMEOUT,
        );
        check(&response, status, "not-run", &case);
    }
    assert_eq!(seen.try_iter().collect::<Vec<_>>(), Vec::<String>::new());
}

/// Guards against a target that sees other requests than the VM because lines end with LF alone.
#[test]
fn a_head_whose_lines_end_with_lf_alone_reaches_the_target_with_crlf() {
    let (vm, seen) = vm(&[]);
    let request = b"GET /lf HTTP/1.1\nhost: status\nfield: value\n\n";
    let response = raw_exchange(vm.listen, request, IDLE_TIMEOUT);
    assert!(
        response.text.starts_with("HTTP/1.1 200 "),
        "{}",
        response.text
    );
    let heads: Vec<String> = seen.try_iter().collect();
    assert_eq!(heads.len(), 1);
    let lines = heads[0].split_inclusive('\n');
    assert!(
        lines.clone().all(|line| line.ends_with("\r\n")),
        "{heads:?}"
    );
    assert!(lines.count() >= 4);
}

/// Guards against memory use by header sections above the limit, and against an unclear error.
#[test]
fn large_headers_are_refused_with_431() {
    let (vm, seen) = vm(&["--max-header=4KiB"]);
    let long = "x".repeat(5000);
    let many: String = (0..200).map(|at| format!("f{at}: v\r\n")).collect();
    let cases = [
        format!("GET / HTTP/1.1\r\nhost: status\r\nlong: {long}\r\n\r\n"),
        format!("GET /{long} HTTP/1.1\r\nhost: status\r\n\r\n"),
        format!("GET / HTTP/1.1\r\nhost: status\r\n{many}\r\n"),
    ];
    for case in cases {
        let response = raw_exchange(vm.listen, case.as_bytes(), IDLE_TIMEOUT);
        check(&response, 431, "not-run", &case[..40]);
    }
    assert_eq!(seen.try_iter().count(), 0);
}

/// Guards against accepting HTTP/1.0, in which a truncated response can look complete.
#[test]
fn http_1_0_is_refused_with_505() {
    let (vm, seen) = vm(&[]);
    let request = format!("GET / HTTP/1.0\r\nhost: status\r\n\r\n{SMUGGLED}");
    let response = raw_exchange(vm.listen, request.as_bytes(), IDLE_TIMEOUT);
    assert!(
        response.text.starts_with("HTTP/1.0 505 "),
        "{}",
        response.text
    );
    assert!(response.closed);
    assert_eq!(seen.try_iter().count(), 0);
}

/// Guards against completing a request to the target when its body has invalid framing.
#[test]
fn bad_chunking_is_refused_and_never_completed() {
    let (sender, received) = mpsc::channel();
    let target = raw_server(move |mut stream| {
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
        let _ = sender.send(String::from_utf8_lossy(&all).into_owned());
    });
    let vm = Vm::alone(&[target], &[]);
    let post = "POST / HTTP/1.1\r\nhost: status\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        "zz\r\nabc\r\n0\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "-1\r\nabc\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nabc\r\n0\r\n\r\n",
        "3\r\nabc\r\n0\r\ntrailer: x\r\n\r\n",
    ];
    for case in cases {
        let request = format!("{post}{case}{SMUGGLED}");
        let response = raw_exchange(vm.listen, request.as_bytes(), IDLE_TIMEOUT);
        check(&response, 400, "may-have-run", case);
    }
    drop(vm);
    for bytes in received.try_iter() {
        assert!(
            !bytes.contains("\r\n0\r\n"),
            "the target got a complete body: {bytes}"
        );
        assert!(!bytes.contains("smuggled"), "{bytes}");
    }
}

/// Guards against passing on a body above the limit, for each kind of framing.
#[test]
fn large_bodies_are_refused_with_413() {
    let (vm, seen) = vm(&["--max-body=1KiB"]);
    let sized = format!(
        "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 1025\r\n\r\n{}",
        "x".repeat(1025)
    );
    let response = raw_exchange(vm.listen, sized.as_bytes(), IDLE_TIMEOUT);
    assert!(
        response.text.starts_with("HTTP/1.1 413 "),
        "{}",
        response.text
    );
    assert_outcome(&response.text, "not-run");
    assert_eq!(seen.try_iter().count(), 0);

    let chunk = format!("400\r\n{}\r\n", "x".repeat(1024));
    let chunked = format!(
        "POST / HTTP/1.1\r\nhost: status\r\ntransfer-encoding: chunked\r\n\r\n{chunk}{chunk}0\r\n\r\n"
    );
    let response = raw_exchange(vm.listen, chunked.as_bytes(), IDLE_TIMEOUT);
    assert!(
        response.text.starts_with("HTTP/1.1 413 "),
        "{}",
        response.text
    );
    assert!(response.closed);
}

/// Guards against guessing at the meaning of invalid values in carobshore's own fields.
#[test]
fn errors_for_invalid_carobshore_fields_name_the_field() {
    let (vm, seen) = vm(&[]);
    let cases = [
        ("carobshore-deadline-ms: 0", "3004"),
        ("carobshore-deadline-ms: 600001", "3004"),
        ("carobshore-deadline-ms: soon", "3004"),
        ("carobshore-repeatable: maybe", "3004"),
        ("carobshore-service: a\r\ncarobshore-service: b", "3004"),
        ("idempotency-key: 1", "3003"),
        (
            "idempotency-key: 3f0d7d1c-6f0a-4b52-9d6f-0c1f5f0f3b7a",
            "3003",
        ),
        ("carobshore-service: unknown", "3002"),
    ];
    for (case, code) in cases {
        let request = format!("POST / HTTP/1.1\r\nhost: status\r\n{case}\r\n\r\n");
        let response = raw_exchange(vm.listen, request.as_bytes(), Duration::from_millis(300));
        assert_eq!(
            field(&response.text, "carobshore-code"),
            Some(code),
            "{case}: {}",
            response.text
        );
        assert_outcome(&response.text, "not-run");
    }
    assert_eq!(seen.try_iter().count(), 0);
}

/// Guards against a caller that keeps a connection open by sending its header slowly.
#[test]
fn slow_headers_are_refused_with_408() {
    let (vm, _seen) = vm(&["--header-timeout-s=1"]);
    let mut stream = TcpStream::connect(vm.listen).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let slow_sender = thread::spawn(move || {
        for byte in "GET / HTTP/1.1\r\nhost: st".bytes() {
            if writer.write_all(&[byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
    });
    let response = read_until_idle(&mut stream, IDLE_TIMEOUT);
    assert!(
        response.text.starts_with("HTTP/1.1 408 "),
        "{}",
        response.text
    );
    assert!(response.closed);
    drop(stream);
    slow_sender.join().unwrap();
}

/// Guards against more connections than the limit, and against closing them without a response.
#[test]
fn connections_above_the_limit_are_refused_with_503() {
    let (vm, _seen) = vm(&["--max-connections=2"]);
    let held: Vec<_> = (0..2)
        .map(|_| TcpStream::connect(vm.listen).unwrap())
        .collect();
    thread::sleep(Duration::from_millis(200));
    let response = raw_exchange(vm.listen, b"", IDLE_TIMEOUT);
    assert!(
        response.text.starts_with("HTTP/1.1 503 "),
        "{}",
        response.text
    );
    assert_outcome(&response.text, "not-run");
    assert!(response.closed);
    drop(held);
    thread::sleep(Duration::from_millis(200));
    let request = "GET / HTTP/1.1\r\nhost: status\r\n\r\n";
    let response = raw_exchange(vm.listen, request.as_bytes(), Duration::from_millis(300));
    assert!(
        response.text.starts_with("HTTP/1.1 200 "),
        "{}",
        response.text
    );
}
