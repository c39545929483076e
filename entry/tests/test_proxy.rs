//! Calls through the data plane: what callers and targets see.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::PATIENCE;
use common::assert_outcome;
use common::field;
use common::raw_call;
use common::raw_exchange;
use common::raw_server;
use common::read_head;
use common::read_until_quiet;
use common::refused_addr;
use common::reset;
use common::vm::Vm;

/// How long the raw caller waits for more of an answer.
const QUIET: Duration = Duration::from_millis(400);
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Starts a server that runs `serve` in a thread of its own for each connection.
fn target(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    raw_server(move |stream| {
        let serve = serve.clone();
        thread::spawn(move || serve(stream));
    })
}

/// Starts a target that answers every request with `answer`.
fn answering(answer: &'static str) -> SocketAddr {
    target(move |mut stream| {
        while !read_head(&mut stream).is_empty() {
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Starts a target that reports the head of each request and answers it.
fn reporting() -> (SocketAddr, mpsc::Receiver<String>) {
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
    raw_call(vm.listen, request.as_bytes(), QUIET)
}

fn outcome(answer: &str) -> (Option<&str>, Option<&str>) {
    let code = field(answer, "carobshore-code");
    (field(answer, "carobshore-outcome"), code)
}

/// Guards against a request that does not reach a target at all.
#[test]
fn request_passes_end_to_end() {
    let vm = Vm::alone(&[answering(OK)], &[]);
    let answer = call(&vm, "GET", "");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert_eq!(outcome(&answer), (Some("whole"), Some("0")));
    assert_eq!(field(&answer, "via"), Some("1.1 entry-1"));
    assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
}

/// Guards against fields of one connection being passed on, and against missing `Via`,
/// `Forwarded` and deadline.
#[test]
fn targets_get_end_to_end_fields_only() {
    let (addr, seen) = reporting();
    let vm = Vm::alone(&[addr], &[]);
    let fields = "connection: keep-alive, secret\r\nsecret: 1\r\nkeep-alive: 5\r\nte: trailers\r\n\
                  proxy-authorization: x\r\ncarobshore-caller: c\r\ncarobshore-deadline-ms: 5000\r\n\
                  carobshore-hops: 2\r\nkept: a\r\nkept: b\r\n";
    call(&vm, "GET", fields);
    let head = seen.recv_timeout(PATIENCE).unwrap();
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

/// Guards against what targets say to their home being passed on to callers.
#[test]
fn callers_do_not_see_what_targets_say_to_their_home() {
    let answer = "HTTP/1.1 200 OK\r\ntarget-load: in-flight=1, queued=0\r\ntarget-drain: no\r\n\
                  connection: x-hop\r\nx-hop: 1\r\ncontent-length: 0\r\n\r\n";
    let vm = Vm::alone(&[answering(answer)], &[]);
    let answer = call(&vm, "GET", "");
    assert_eq!(outcome(&answer), (Some("whole"), Some("0")));
    for name in ["target-load", "target-drain", "x-hop", "carobshore-free"] {
        assert_eq!(field(&answer, name), None, "{answer}");
    }
}

/// Guards against a run-once request on a connection that may have become unresponsive while it was
/// idle, and against idempotent requests that each open a connection.
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
        let answer = call(&vm, method, fields);
        assert_eq!(outcome(&answer), (Some("whole"), Some("0")), "{answer}");
        connections.try_iter().count()
    };
    // Each call waits for longer than the 250 ms for which a connection counts as fresh.
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
    raw_call(vm.listen, twice.as_bytes(), QUIET);
    assert_eq!(connections.try_iter().count(), 1);
}

/// Guards against a refused connect being reported as anything but "not run".
#[test]
fn refused_targets_are_not_run() {
    let vm = Vm::alone(&[refused_addr()], &[]);
    for method in ["GET", "POST"] {
        let answer = call(&vm, method, "");
        assert_outcome(&answer, "not-run");
    }
}

/// Guards against a run-once request being sent again after it may have run, and against an
/// idempotent one not being sent again.
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
    let answer = call(&vm, "POST", "content-length: 0\r\n");
    assert_eq!(
        outcome(&answer),
        (Some("may-have-run"), Some("5001")),
        "{answer}"
    );
    assert_eq!(seen.try_iter().count(), 1);
    call(&vm, "GET", "");
    assert!(seen.try_iter().count() > 1);
}

/// Guards against a target's proof that it did not start the request being ignored, and against a
/// body that is not sent again in full.
#[test]
fn refused_request_is_sent_again_with_its_whole_body() {
    let (tell, told) = mpsc::channel();
    let addr = target(move |mut stream| {
        let refusal = "HTTP/1.1 503 Busy\r\ntarget-refused: shed\r\ncontent-length: 4\r\n\r\nbusy";
        for answer in [refusal, OK] {
            read_head(&mut stream);
            let mut body = vec![0; 60_000];
            stream.read_exact(&mut body).unwrap();
            tell.send(body.iter().all(|byte| *byte == b'x')).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    let vm = Vm::alone(&[addr], &[]);
    let body = "x".repeat(60_000);
    let request = format!("POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 60000\r\n\r\n{body}");
    let answer = raw_call(vm.listen, request.as_bytes(), QUIET);
    assert_eq!(outcome(&answer), (Some("whole"), Some("0")), "{answer}");
    assert_eq!(told.try_iter().collect::<Vec<_>>(), [true, true]);
}

/// Guards against a request being sent again without the part of its body that is not kept.
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
    let answer = raw_call(vm.listen, request.as_bytes(), QUIET);
    assert_eq!(
        outcome(&answer),
        (Some("not-run"), Some("4011")),
        "{answer}"
    );
}

/// Guards against a silent target holding a request beyond its deadline.
#[test]
fn silent_target_ends_at_the_deadline() {
    let addr = target(|mut stream| {
        read_head(&mut stream);
        thread::sleep(PATIENCE);
    });
    let vm = Vm::alone(&[addr], &[]);
    let started = Instant::now();
    let request = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 0\r\n\
                   carobshore-deadline-ms: 300\r\n\r\n";
    let answer = raw_call(vm.listen, request.as_bytes(), Duration::from_secs(2));
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert_eq!(outcome(&answer), (Some("may-have-run"), Some("5002")));
    assert!(started.elapsed() >= Duration::from_millis(300));
}

/// Guards against a truncated response being passed on as complete.
#[test]
fn cut_responses_abort_the_callers_connection() {
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
        let answer = raw_exchange(vm.listen, request, PATIENCE);
        assert!(answer.closed, "{case}");
        let (_, body) = answer.text.split_once("\r\n\r\n").unwrap_or_default();
        assert!(
            ["", "short", "5\r\nshort\r\n"].contains(&body),
            "{}",
            answer.text
        );
    }
}

/// Guards against HEAD, 204 and 304 being framed so that the caller waits for a body, or takes the
/// next response for it.
#[test]
fn bodiless_responses_keep_the_connection_in_step() {
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
        let vm = Vm::alone(&[answering(case)], &[]);
        let one = format!("{method} / HTTP/1.1\r\nhost: status\r\n\r\n");
        let answer = raw_call(vm.listen, one.repeat(2).as_bytes(), QUIET);
        assert_eq!(field(&answer, "content-length"), length, "{case}: {answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 2, "{case}: {answer}");
        assert!(answer.ends_with("\r\n\r\n"), "{case}: {answer}");
    }
}

/// Guards against an attempt that goes on when its caller has left.
#[test]
fn caller_that_leaves_cancels_its_attempt() {
    let (tell, told) = mpsc::channel();
    let addr = target(move |mut stream| {
        read_head(&mut stream);
        tell.send("request").unwrap();
        let mut rest = [0];
        assert_eq!(stream.read(&mut rest).unwrap_or(0), 0);
        tell.send("closed").unwrap();
    });
    let vm = Vm::alone(&[addr], &[]);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    caller
        .write_all(b"POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 0\r\n\r\n")
        .unwrap();
    assert_eq!(told.recv_timeout(PATIENCE), Ok("request"));
    drop(caller);
    assert_eq!(told.recv_timeout(PATIENCE / 2), Ok("closed"));
}

/// Guards against an upload that its caller breaks off being completed towards the target.
#[test]
fn upload_that_breaks_off_is_not_completed() {
    let (tell, told) = mpsc::channel();
    let addr = target(move |mut stream| {
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
        tell.send(all.len()).unwrap();
    });
    let vm = Vm::alone(&[addr], &[]);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    let head = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 200000\r\n\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    caller.write_all(&[b'x'; 100_000]).unwrap();
    thread::sleep(Duration::from_millis(200));
    drop(caller);
    let bytes = told.recv_timeout(PATIENCE).unwrap();
    assert!((100_000..200_000).contains(&bytes), "{bytes}");
}

/// Guards against the refusal of a large upload being lost, because the target stops reading.
#[test]
fn refusal_during_an_upload_reaches_the_caller() {
    let addr = target(|mut stream| {
        read_head(&mut stream);
        let _ = stream.write_all(
            b"HTTP/1.1 413 Too Large\r\ncontent-length: 5\r\nconnection: close\r\n\r\nlarge",
        );
        thread::sleep(PATIENCE);
    });
    let vm = Vm::alone(&[addr], &[]);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    let head = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 300000000\r\n\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    caller.write_all(&[b'x'; 100_000]).unwrap();
    let answer = read_until_quiet(&mut caller, Duration::from_secs(2));
    assert!(answer.text.starts_with("HTTP/1.1 413 "), "{}", answer.text);
    assert!(answer.text.ends_with("\r\n\r\nlarge"), "{}", answer.text);
}

/// Guards against a caller that waits for `100 Continue` before it sends its body.
#[test]
fn expectation_is_answered_here_and_not_passed_on() {
    let (tell, told) = mpsc::channel();
    let addr = target(move |mut stream| {
        tell.send(read_head(&mut stream)).unwrap();
        let mut body = [0; 3];
        stream.read_exact(&mut body).unwrap();
        stream.write_all(OK.as_bytes()).unwrap();
    });
    let vm = Vm::alone(&[addr], &[]);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    caller.set_read_timeout(Some(PATIENCE)).unwrap();
    let head =
        "POST / HTTP/1.1\r\nhost: status\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    assert_eq!(read_head(&mut caller), "HTTP/1.1 100 Continue\r\n\r\n");
    caller.write_all(b"abc").unwrap();
    let answer = read_until_quiet(&mut caller, QUIET);
    assert!(answer.text.starts_with("HTTP/1.1 200 "), "{}", answer.text);
    assert_eq!(field(&told.recv_timeout(PATIENCE).unwrap(), "expect"), None);
}

/// Guards against a body being changed or held in memory on its way, in both directions.
#[test]
fn large_bodies_pass_unchanged_at_the_pace_of_the_receiver() {
    const BYTES: usize = 64 << 20;
    let (tell, told) = mpsc::channel();
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
            tell.send(written).unwrap();
        }
    });
    let vm = Vm::alone(&[addr], &[]);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: status\r\ncontent-length: {BYTES}\r\n\r\n");
    caller.write_all(head.as_bytes()).unwrap();
    for _ in 0..BYTES >> 16 {
        caller.write_all(&[b'x'; 1 << 16]).unwrap();
    }
    // The caller reads nothing yet: the target has to be held up.
    thread::sleep(Duration::from_millis(500));
    let written = told.try_iter().last().unwrap_or(0);
    assert!(
        written < BYTES / 2,
        "{written} bytes were taken from the target"
    );
    let head = read_head(&mut caller);
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    let mut body = vec![0; BYTES];
    caller.read_exact(&mut body).unwrap();
    assert!(body.iter().all(|byte| *byte == b'y'));
}

/// Guards against readiness, liveness and metrics that do not show the state.
#[test]
fn admin_endpoints_show_the_state() {
    let vm = Vm::alone(&[answering(OK)], &[]);
    call(&vm, "GET", "");
    let admin = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nhost: admin\r\n\r\n");
        raw_call(vm.admin, request.as_bytes(), QUIET)
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

/// Guards against io_uring, which the users forbid.
#[test]
fn no_io_uring_is_in_use_while_serving() {
    let vm = Vm::alone(&[answering(OK)], &[]);
    call(&vm, "GET", "");
    let files = std::fs::read_dir("/proc/self/fd").unwrap();
    let links = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
    for link in links {
        assert!(!link.to_string_lossy().contains("io_uring"), "{link:?}");
    }
}
