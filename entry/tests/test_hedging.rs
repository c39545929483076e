//! Hedging: second copies of idempotent requests.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::MAX_WAIT;
use common::assert_outcome;
use common::field;
use common::raw_call;
use common::raw_server;
use common::read_head;
use common::vm::Vm;

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: status\r\n\r\n";

/// Starts a target that does not respond to the next request once `silent` is set, and reports when
/// the connection of that request is closed.
fn target(silent: &Arc<AtomicBool>, closed: &mpsc::Sender<()>) -> SocketAddr {
    let silent = Arc::clone(silent);
    let closed = closed.clone();
    raw_server(move |mut stream| {
        let silent = Arc::clone(&silent);
        let closed = closed.clone();
        thread::spawn(move || {
            while !read_head(&mut stream).is_empty() {
                if silent.swap(false, Ordering::SeqCst) {
                    if std::io::copy(&mut stream, &mut std::io::sink()).is_ok() {
                        let _ = closed.send(());
                    }
                    return;
                }
                thread::sleep(Duration::from_millis(2));
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                let _ = stream.write_all(response);
            }
        });
    })
}

/// Starts a VM with enough targets that the second copy finds one, even if some of them look slow
/// because the machine is busy. The service has no budget for the probes that would correct this.
fn vm(silent: &Arc<AtomicBool>, closed: &mpsc::Sender<()>) -> Vm {
    let targets: Vec<_> = (0..6).map(|_| target(silent, closed)).collect();
    Vm::alone(&targets, &[])
}

/// Sends requests until there is a hedge budget, which is a share of the slot time used so far.
fn fill_hedge_budget(caller: &mut TcpStream) {
    for _ in 0..400 {
        caller.write_all(GET).unwrap();
        let head = read_head(caller);
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
        caller.read_exact(&mut [0; 2]).unwrap();
    }
}

/// Guards against an idempotent request that waits for a silent connection, and against not
/// cancelling the copy whose response is not used.
#[test]
fn hedge_replaces_a_silent_connection_and_the_first_copy_is_cancelled() {
    let silent = Arc::new(AtomicBool::new(false));
    let (closed, closing) = mpsc::channel();
    let vm = vm(&silent, &closed);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    fill_hedge_budget(&mut caller);
    silent.store(true, Ordering::SeqCst);
    let asked = Instant::now();
    caller.write_all(GET).unwrap();
    let head = read_head(&mut caller);
    let dump = &vm.dump()["services"]["status"]["owned"];
    assert_eq!(
        field(&head, "carobshore-outcome"),
        Some("whole"),
        "{dump:#}"
    );
    assert!(
        asked.elapsed() < Duration::from_secs(1),
        "{:?}",
        asked.elapsed()
    );
    assert_eq!(closing.recv_timeout(MAX_WAIT), Ok(()));
    let request = b"GET /metrics HTTP/1.1\r\nhost: admin\r\n\r\n";
    let metrics = raw_call(vm.admin, request, Duration::from_millis(300));
    let hedges = "carobshore_hedges_total{service=\"status\"";
    assert!(metrics.contains(hedges), "{metrics}");
}

/// Guards against sending a second copy of a body that is no longer kept, and against not freeing
/// the slot granted for it.
#[test]
fn unused_hedge_frees_its_slot() {
    let silent = Arc::new(AtomicBool::new(false));
    let (closed, _closing) = mpsc::channel();
    let vm = vm(&silent, &closed);
    let mut caller = TcpStream::connect(vm.listen).unwrap();
    fill_hedge_budget(&mut caller);
    silent.store(true, Ordering::SeqCst);
    let head = "POST / HTTP/1.1\r\nhost: status\r\ncarobshore-repeatable: yes\r\n\
                carobshore-deadline-ms: 2000\r\ncontent-length: 100000\r\n\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    caller.write_all(&[b'x'; 100_000]).unwrap();
    let head = read_head(&mut caller);
    assert_outcome(&head, "may-have-run");
    let dump = vm.dump();
    let owned = &dump["services"]["status"]["owned"];
    assert_ne!(owned["counters"]["hedges"], 0, "{owned:#}");
    assert_eq!(owned["in_flight"], 0, "{owned:#}");
}
