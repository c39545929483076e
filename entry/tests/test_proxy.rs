//! Requests through the data plane, as callers and targets see them.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::MAX_WAIT;
use common::assert_outcome;
use common::field;
use common::raw_call;
use common::raw_exchange;
use common::raw_server;
use common::read_head;
use common::read_until_idle;
use common::refused_addr;
use common::reset;
use common::vm::Vm;

/// How long a client waits for more of a response.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Starts a server that runs `serve` for each connection, in a thread of its own.
fn target(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    raw_server(move |stream| {
        let serve = serve.clone();
        thread::spawn(move || serve(stream));
    })
}

/// Starts a target that responds to every request with `response`.
fn responding_target(response: &'static str) -> SocketAddr {
    target(move |mut stream| {
        while !read_head(&mut stream).is_empty() {
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Starts a target that reports the head of each request, and responds to it.
fn reporting_target() -> (SocketAddr, mpsc::Receiver<String>) {
    let (heads, seen) = mpsc::channel();
    let addr = target(move |mut stream| {
        loop {
            let head = read_head(&mut stream);
            if head.is_empty() {
                return;
            }
            let _ = heads.send(head);
            let _ = stream.write_all(OK.as_bytes());
        }
    });
    (addr, seen)
}

fn call(vm: &Vm, method: &str, fields: &str) -> String {
    let request = format!("{method} /path?q HTTP/1.1\r\nhost: status\r\n{fields}\r\n");
    raw_call(vm.listen, request.as_bytes(), IDLE_TIMEOUT)
}

fn outcome(response: &str) -> (Option<&str>, Option<&str>) {
    let code = field(response, "carobshore-code");
    (field(response, "carobshore-outcome"), code)
}

/// Guards against a request that does not reach a target at all.
#[test]
fn request_passes_end_to_end() {
    let vm = Vm::alone(&[responding_target(OK)], &[]);
    let response = call(&vm, "GET", "");
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    assert_eq!(outcome(&response), (Some("whole"), Some("0")));
    assert_eq!(field(&response, "via"), Some("1.1 entry-1"));
    assert!(response.ends_with("\r\n\r\nok"), "{response}");
}

/// Guards against passing on hop-by-hop fields, and against a missing `Via`, `Forwarded` or
/// deadline.
#[test]
fn targets_get_end_to_end_fields_only() {
    let (addr, seen) = reporting_target();
    let vm = Vm::alone(&[addr], &[]);
    let fields = "connection: keep-alive, secret\r\nsecret: 1\r\nkeep-alive: 5\r\nte: trailers\r\n\
                  proxy-authorization: x\r\ncarobshore-caller: c\r\ncarobshore-deadline-ms: 5000\r\n\
                  carobshore-hops: 2\r\nkept: a\r\nkept: b\r\n";
    call(&vm, "GET", fields);
    let head = seen.recv_timeout(MAX_WAIT).unwrap();
    assert!(head.starts_with("GET /path?q HTTP/1.1\r\n"), "{head}");
    for name in [
        "secret",
        "keep-alive",
        "te",
        "proxy-authorization",
        "carobshore-caller",
        "carobshore-hops",
    ] {
        assert_eq!(field(&head, name), None, "{head}");
    }
    assert_eq!(head.matches("kept: ").count(), 2, "{head}");
    assert_eq!(field(&head, "host"), Some("status"), "{head}");
    assert_eq!(field(&head, "via"), Some("1.1 entry-1"), "{head}");
    let forwarded = "for=127.0.0.1;host=\"status\";proto=http";
    assert_eq!(field(&head, "forwarded"), Some(forwarded), "{head}");
    let left: u64 = field(&head, "carobshore-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!((1..=5000).contains(&left), "{left}");
}

/// Guards against passing on to callers what targets report to their home.
#[test]
fn fields_for_the_home_are_not_sent_to_callers() {
    let response = "HTTP/1.1 200 OK\r\ntarget-load: in-flight=1, queued=0\r\ntarget-drain: no\r\n\
                  connection: x-hop\r\nx-hop: 1\r\ncontent-length: 0\r\n\r\n";
    let vm = Vm::alone(&[responding_target(response)], &[]);
    let response = call(&vm, "GET", "");
    assert_eq!(outcome(&response), (Some("whole"), Some("0")));
    for name in ["target-load", "target-drain", "x-hop", "carobshore-free"] {
        assert_eq!(field(&response, name), None, "{response}");
    }
}

/// Guards against sending a run-once request on a connection that may have become unresponsive
/// while idle, and against opening a connection for each idempotent request.
#[test]
fn run_once_requests_use_fresh_connections_only() {
    let (accepted, connections) = mpsc::channel();
    let addr = raw_server(move |mut stream| {
        accepted.send(()).unwrap();
        thread::spawn(move || {
            while !read_head(&mut stream).is_empty() {
                stream.write_all(OK.as_bytes()).unwrap();
            }
        });
    });
    let vm = Vm::alone(&[addr], &[]);
    let opened = |method: &str, fields: &str| {
        let response = call(&vm, method, fields);
        assert_eq!(outcome(&response), (Some("whole"), Some("0")), "{response}");
        connections.try_iter().count()
    };
    // Each call takes longer than the 250 ms for which a connection counts as fresh.
    assert_eq!(opened("GET", ""), 1);
    assert_eq!(opened("GET", ""), 0);
    assert_eq!(opened("POST", "content-length: 0\r\n"), 1);
    assert_eq!(
        opened(
            "POST",
            "content-length: 0\r\ncarobshore-repeatable: yes\r\n"
        ),
        0
    );
    let twice = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 0\r\n\r\n".repeat(2);
    raw_call(vm.listen, twice.as_bytes(), IDLE_TIMEOUT);
    assert_eq!(connections.try_iter().count(), 1);
}

/// Guards against reporting anything but "not run" if the connection is refused.
#[test]
fn refused_targets_are_not_run() {
    let vm = Vm::alone(&[refused_addr()], &[]);
    for method in ["GET", "POST"] {
        let response = call(&vm, method, "");
        assert_outcome(&response, "not-run");
    }
}

/// Guards against sending a run-once request again after it may have run, and against not sending
/// an idempotent one again.
#[test]
fn reset_after_the_request_is_retried_only_if_idempotent() {
    let (requests, seen) = mpsc::channel();
    let addr = target(move |mut stream| {
        let head = read_head(&mut stream);
        if !head.is_empty() {
            requests.send(head).unwrap();
        }
        reset(stream);
    });
    let vm = Vm::alone(&[addr], &[]);
    let response = call(&vm, "POST", "content-length: 0\r\n");
    assert_eq!(
        outcome(&response),
        (Some("may-have-run"), Some("5001")),
        "{response}"
    );
    assert_eq!(seen.try_iter().count(), 1);
    call(&vm, "GET", "");
    assert!(seen.try_iter().count() > 1);
}

/// Guards against ignoring a target's proof that it did not start the request, and against sending
/// only a part of the body again.
#[test]
fn refused_request_is_sent_again_with_its_whole_body() {
    let (sender, received) = mpsc::channel();
    let requests = Arc::new(AtomicUsize::new(0));
    let addr = target(move |mut stream| {
        let refusal = "HTTP/1.1 503 Busy\r\ntarget-refused: shed\r\ncontent-length: 4\r\n\r\nbusy";
        while !read_head(&mut stream).is_empty() {
            let response = match requests.fetch_add(1, Ordering::SeqCst) {
                0 => refusal,
                _ => OK,
            };
            let mut body = vec![0; 60_000];
            stream.read_exact(&mut body).unwrap();
            sender.send(body.iter().all(|byte| *byte == b'x')).unwrap();
            stream.write_all(response.as_bytes()).unwrap();
        }
    });
    let vm = Vm::alone(&[addr], &[]);
    let body = "x".repeat(60_000);
    let request = format!("POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 60000\r\n\r\n{body}");
    let response = raw_call(vm.listen, request.as_bytes(), IDLE_TIMEOUT);
    assert_eq!(outcome(&response), (Some("whole"), Some("0")), "{response}");
    assert_eq!(received.try_iter().collect::<Vec<_>>(), [true, true]);
}

/// Guards against sending a request again without the part of its body that is not kept.
#[test]
fn refused_request_with_a_large_body_is_not_sent_again() {
    let refusing = target(|mut stream| {
        read_head(&mut stream);
        let mut body = vec![0; 100_000];
        stream.read_exact(&mut body).unwrap();
        let refusal = "HTTP/1.1 503 Busy\r\ntarget-refused: shed\r\ncontent-length: 4\r\n\r\nbusy";
        let _ = stream.write_all(refusal.as_bytes());
    });
    let vm = Vm::alone(&[refusing], &[]);
    let body = "x".repeat(100_000);
    let request =
        format!("POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 100000\r\n\r\n{body}");
    let response = raw_call(vm.listen, request.as_bytes(), IDLE_TIMEOUT);
    assert_eq!(
        outcome(&response),
        (Some("not-run"), Some("4011")),
        "{response}"
    );
}

/// Guards against a request that waits for a silent target after its deadline.
#[test]
fn silent_target_ends_at_the_deadline() {
    let addr = target(|mut stream| {
        read_head(&mut stream);
        thread::sleep(MAX_WAIT);
    });
    let vm = Vm::alone(&[addr], &[]);
    let started = Instant::now();
    let request = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 0\r\n\
                   carobshore-deadline-ms: 300\r\n\r\n";
    let response = raw_call(vm.listen, request.as_bytes(), Duration::from_secs(2));
    assert!(response.starts_with("HTTP/1.1 504 "), "{response}");
    assert_eq!(outcome(&response), (Some("may-have-run"), Some("5002")));
    assert!(started.elapsed() >= Duration::from_millis(300));
}

/// Guards against passing on a truncated response as complete.
#[test]
fn truncated_responses_abort_the_callers_connection() {
    let cases = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.0 200 OK\r\ncontent-length: 10\r\n\r\nshort",
    ];
    for case in cases {
        let addr = target(move |mut stream| {
            read_head(&mut stream);
            let _ = stream.write_all(case.as_bytes());
        });
        let vm = Vm::alone(&[addr], &[]);
        let request = b"GET / HTTP/1.1\r\nhost: status\r\n\r\n";
        let response = raw_exchange(vm.listen, request, MAX_WAIT);
        assert!(response.closed, "{case}");
        let (_, body) = response.text.split_once("\r\n\r\n").unwrap_or_default();
        assert!(
            ["", "short", "5\r\nshort\r\n"].contains(&body),
            "{}",
            response.text
        );
    }
}

/// Guards against framing of HEAD, 204 and 304 responses that makes the caller wait for a body, or
/// read the next response as the body.
#[test]
fn bodiless_responses_keep_the_connection_usable() {
    let cases = [
        (
            "HEAD",
            "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n",
            Some("7"),
        ),
        (
            "GET",
            "HTTP/1.1 304 Not Modified\r\ncontent-length: 7\r\n\r\n",
            None,
        ),
        ("GET", "HTTP/1.1 204 No Content\r\n\r\n", None),
        (
            "GET",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            Some("0"),
        ),
    ];
    for (method, case, length) in cases {
        let vm = Vm::alone(&[responding_target(case)], &[]);
        let one = format!("{method} / HTTP/1.1\r\nhost: status\r\n\r\n");
        let response = raw_call(vm.listen, one.repeat(2).as_bytes(), IDLE_TIMEOUT);
        assert_eq!(
            field(&response, "content-length"),
            length,
            "{case}: {response}"
        );
        assert_eq!(
            response.matches("HTTP/1.1 ").count(),
            2,
            "{case}: {response}"
        );
        assert!(response.ends_with("\r\n\r\n"), "{case}: {response}");
    }
}

/// Guards against an attempt that continues after its caller has disconnected.
#[test]
fn caller_that_disconnects_cancels_its_attempt() {
    let (sender, received) = mpsc::channel();
    let addr = target(move |mut stream| {
        read_head(&mut stream);
        sender.send("request").unwrap();
        let mut rest = [0];
        assert_eq!(stream.read(&mut rest).unwrap_or(0), 0);
        sender.send("closed").unwrap();
    });
    let vm = Vm::alone(&[addr], &[]);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    caller
        .write_all(b"POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 0\r\n\r\n")
        .unwrap();
    assert_eq!(received.recv_timeout(MAX_WAIT), Ok("request"));
    drop(caller);
    assert_eq!(received.recv_timeout(MAX_WAIT / 2), Ok("closed"));
}

/// Guards against completing a request to the target when its caller aborted the upload.
#[test]
fn aborted_upload_is_not_completed() {
    let (sender, received) = mpsc::channel();
    let addr = target(move |mut stream| {
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
        sender.send(all.len()).unwrap();
    });
    let vm = Vm::alone(&[addr], &[]);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    let head = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 200000\r\n\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    caller.write_all(&[b'x'; 100_000]).unwrap();
    thread::sleep(Duration::from_millis(200));
    drop(caller);
    let bytes = received.recv_timeout(MAX_WAIT).unwrap();
    assert!((100_000..200_000).contains(&bytes), "{bytes}");
}

/// Guards against losing the refusal of a large upload because the target stops reading.
#[test]
fn refusal_during_an_upload_reaches_the_caller() {
    let addr = target(|mut stream| {
        read_head(&mut stream);
        let _ = stream.write_all(
            b"HTTP/1.1 413 Too Large\r\ncontent-length: 5\r\nconnection: close\r\n\r\nlarge",
        );
        thread::sleep(MAX_WAIT);
    });
    let vm = Vm::alone(&[addr], &[]);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    let head = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 300000000\r\n\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    caller.write_all(&[b'x'; 100_000]).unwrap();
    let response = read_until_idle(&mut caller, Duration::from_secs(2));
    assert!(
        response.text.starts_with("HTTP/1.1 413 "),
        "{}",
        response.text
    );
    assert!(
        response.text.ends_with("\r\n\r\nlarge"),
        "{}",
        response.text
    );
}

/// Guards against a caller that waits for `100 Continue` before it sends its body.
#[test]
fn expect_is_handled_here_and_not_passed_on() {
    let (sender, received) = mpsc::channel();
    let addr = target(move |mut stream| {
        sender.send(read_head(&mut stream)).unwrap();
        let mut body = [0; 3];
        stream.read_exact(&mut body).unwrap();
        stream.write_all(OK.as_bytes()).unwrap();
    });
    let vm = Vm::alone(&[addr], &[]);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    caller.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let head =
        "POST / HTTP/1.1\r\nhost: status\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    assert_eq!(read_head(&mut caller), "HTTP/1.1 100 Continue\r\n\r\n");
    caller.write_all(b"abc").unwrap();
    let response = read_until_idle(&mut caller, IDLE_TIMEOUT);
    assert!(
        response.text.starts_with("HTTP/1.1 200 "),
        "{}",
        response.text
    );
    assert_eq!(
        field(&received.recv_timeout(MAX_WAIT).unwrap(), "expect"),
        None
    );
}

/// Guards against changing a body or holding all of it in memory, in both directions.
#[test]
fn large_bodies_pass_unchanged_and_with_backpressure() {
    const BYTES: usize = 64 << 20;
    let (sender, received) = mpsc::channel();
    let addr = target(move |mut stream| {
        read_head(&mut stream);
        let mut body = vec![0; 1 << 16];
        let mut read = 0;
        while read < BYTES {
            let bytes = stream.read(&mut body).unwrap();
            assert!(body[..bytes].iter().all(|byte| *byte == b'x'));
            read += bytes;
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let mut written = 0;
        while written < BYTES {
            stream.write_all(&[b'y'; 1 << 16]).unwrap();
            written += 1 << 16;
            sender.send(written).unwrap();
        }
    });
    let vm = Vm::alone(&[addr], &[]);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: status\r\ncontent-length: {BYTES}\r\n\r\n");
    caller.write_all(head.as_bytes()).unwrap();
    for _ in 0..BYTES >> 16 {
        caller.write_all(&[b'x'; 1 << 16]).unwrap();
    }
    // The caller reads nothing yet, so the target must not be able to send everything.
    thread::sleep(Duration::from_millis(500));
    let written = received.try_iter().last().unwrap_or(0);
    assert!(
        written < BYTES / 2,
        "{written} bytes were read from the target"
    );
    let head = read_head(&mut caller);
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    let mut body = vec![0; BYTES];
    caller.read_exact(&mut body).unwrap();
    assert!(body.iter().all(|byte| *byte == b'y'));
}

/// Guards against readiness, liveness and metrics that do not reflect the state.
#[test]
fn admin_endpoints_show_the_state() {
    let vm = Vm::alone(&[responding_target(OK)], &[]);
    call(&vm, "GET", "");
    let admin = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nhost: admin\r\n\r\n");
        raw_call(vm.admin, request.as_bytes(), IDLE_TIMEOUT)
    };
    assert!(admin("/live").starts_with("HTTP/1.1 200 "));
    assert!(admin("/ready").starts_with("HTTP/1.1 200 "));
    let metrics = admin("/metrics");
    let counted = metrics.lines().any(|line| {
        let wanted = [
            "carobshore_requests_total",
            "service=\"status\"",
            "outcome=\"whole\"",
        ];
        wanted.iter().all(|part| line.contains(part)) && line.ends_with(" 1")
    });
    assert!(counted, "{metrics}");
    vm.update(|view| view.ready = false);
    thread::sleep(Duration::from_millis(100));
    assert!(admin("/ready").starts_with("HTTP/1.1 503 "));
    assert!(admin("/other").starts_with("HTTP/1.1 404 "));
}

/// Guards against the use of io_uring, which the users forbid.
#[test]
fn no_io_uring_is_in_use_while_serving() {
    let vm = Vm::alone(&[responding_target(OK)], &[]);
    call(&vm, "GET", "");
    let files = std::fs::read_dir("/proc/self/fd").unwrap();
    let links = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
    for link in links {
        assert!(!link.to_string_lossy().contains("io_uring"), "{link:?}");
    }
}
