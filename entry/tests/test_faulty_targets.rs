//! Guards against callers that are told what a faulty target has only seemed to say: a refusal of an
//! earlier request, or a response that has been cut off.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use common::field;
use common::raw_call;
use common::raw_server;
use common::read_head;
use common::vm::Vm;

const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
const POST: &[u8] = b"POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 0\r\n\r\n";
const REFUSAL: &[u8] = b"HTTP/1.1 503 Full\r\ntarget-refused: shed\r\ncontent-length: 0\r\n\r\n";
const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\r\nok";

/// Starts a target that refuses the first request of each connection, and sends the same refusal
/// once more when the next one arrives, which it runs. Counts the requests that it runs.
fn repeating_target(runs: Arc<AtomicUsize>) -> SocketAddr {
    raw_server(move |mut stream| {
        let runs = Arc::clone(&runs);
        thread::spawn(move || {
            if read_head(&mut stream).is_empty() || stream.write_all(REFUSAL).is_err() {
                return;
            }
            while !read_head(&mut stream).is_empty() {
                runs.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(REFUSAL);
                thread::sleep(Duration::from_millis(50));
                let _ = stream.write_all(WHOLE);
            }
        });
    })
}

#[test]
fn a_repeated_refusal_of_an_earlier_request_is_not_taken_for_that_of_the_next() {
    let runs = Arc::new(AtomicUsize::new(0));
    let vm = Vm::alone(&[repeating_target(Arc::clone(&runs))], &[]);
    for index in 0..6 {
        let before = runs.load(Ordering::SeqCst);
        let response = raw_call(vm.listen, POST, IDLE_TIMEOUT);
        let ran = runs.load(Ordering::SeqCst) > before;
        let outcome = field(&response, "carobshore-outcome");
        assert!(!(ran && outcome == Some("not-run")), "{index}: {response}");
    }
}

#[test]
fn a_response_that_is_cut_anywhere_is_not_whole() {
    let cut = Arc::new(AtomicUsize::new(0));
    let shared = Arc::clone(&cut);
    let target = raw_server(move |mut stream| {
        let shared = Arc::clone(&shared);
        thread::spawn(move || {
            read_head(&mut stream);
            let count = shared.load(Ordering::SeqCst);
            let _ = stream.write_all(&WHOLE[..count]);
            let _ = stream.shutdown(std::net::Shutdown::Write);
        });
    });
    let vm = Vm::alone(&[target], &[]);
    let in_head = (0..WHOLE.len() - 12).step_by(9);
    for count in in_head.chain(WHOLE.len() - 12..WHOLE.len()) {
        cut.store(count, Ordering::SeqCst);
        let response = raw_call(vm.listen, POST, IDLE_TIMEOUT);
        let complete = response.ends_with("\r\n\r\nok");
        assert!(!complete, "{count} bytes: {response}");
        let in_body = count >= WHOLE.len() - 2;
        // The head of a response that breaks off in its body has been passed on already, and the
        // caller sees that the body is too short.
        let outcome = field(&response, "carobshore-outcome");
        assert!(
            in_body || outcome != Some("whole"),
            "{count} bytes: {response}"
        );
        let length = field(&response, "content-length");
        let is_framed = response.is_empty() || length == Some("2");
        assert!(!in_body || is_framed, "{count} bytes: {response}");
    }
}

/// Guards against a data thread that ends because the numbers of a target's load do not add up, and
/// against a full target that counts as idle because their sum has wrapped around.
#[test]
fn callers_are_served_by_a_target_that_states_an_impossible_load() {
    const LOADS: [&str; 3] = [
        "in-flight=4294967295, queued=4294967295",
        "in-flight=4294967295, queued=1",
        "in-flight=18446744073709551616, queued=0",
    ];
    for load in LOADS {
        let target = raw_server(move |mut stream| {
            thread::spawn(move || {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\ntarget-load: {load}\r\ncontent-length: 2\r\n\r\nok"
                );
                while !read_head(&mut stream).is_empty()
                    && stream.write_all(answer.as_bytes()).is_ok()
                {}
            });
        });
        let vm = Vm::alone(&[target], &[]);
        for _ in 0..4 {
            let response = raw_call(vm.listen, POST, IDLE_TIMEOUT);
            assert!(response.ends_with("\r\n\r\nok"), "{load}: {response}");
        }
    }
}
