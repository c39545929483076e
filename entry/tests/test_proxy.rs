//! Calls through the data plane: what callers and targets see.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use common::raw_call;
use common::raw_server;
use common::read_head;
use common::refused_addr;
use common::vm::Vm;

/// How long the raw caller waits for more of an answer.
const QUIET: Duration = Duration::from_millis(500);

fn get(vm: &Vm, fields: &str) -> String {
    let request = format!("GET /path HTTP/1.1\r\nhost: status\r\n{fields}\r\n");
    raw_call(vm.listen, request.as_bytes(), QUIET)
}

/// Answers every request on a connection with `answer`.
fn answering(answer: &'static str) -> impl FnMut(TcpStream) + Send + 'static {
    move |mut stream| {
        std::thread::spawn(move || {
            while !read_head(&mut stream).is_empty() {
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// Guards against a request that does not reach a target at all.
#[test]
fn request_passes_end_to_end() {
    let target = raw_server(answering("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"));
    let vm = Vm::alone(&[target], &[]);
    let answer = get(&vm, "");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.contains("carobshore-outcome: whole\r\n"), "{answer}");
    assert!(answer.contains("carobshore-code: 0\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
}

/// Guards against a refused connect being reported as anything but "not run".
#[test]
fn refused_targets_are_not_run() {
    let vm = Vm::alone(&[refused_addr()], &[]);
    let answer = get(&vm, "");
    assert!(
        answer.contains("carobshore-outcome: not-run\r\n"),
        "{answer}"
    );
}
