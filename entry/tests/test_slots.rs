//! The slot of a request is freed, however the request ends.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use common::MAX_WAIT;
use common::field;
use common::raw_call;
use common::raw_server;
use common::read_head;
use common::reset;
use common::vm::Vm;

/// Starts a target that behaves as the path of the request says.
fn target() -> SocketAddr {
    raw_server(|mut stream| {
        thread::spawn(move || {
            loop {
                let head = read_head(&mut stream);
                let path = head.split(' ').nth(1).unwrap_or_default();
                let response: &[u8] = match path {
                    "/ok" => b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                    "/cut" => b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut",
                    "/shed" => {
                        b"HTTP/1.1 503 Busy\r\ntarget-refused: shed\r\ncontent-length: 0\r\n\r\n"
                    }
                    "/reset" => return reset(stream),
                    "/silent" => return thread::sleep(MAX_WAIT),
                    _ => return,
                };
                if stream.write_all(response).is_err() || path == "/cut" {
                    return;
                }
            }
        });
    })
}

fn request(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: status\r\ncontent-length: 0\r\n\
         carobshore-deadline-ms: 300\r\n\r\n"
    )
}

/// Guards against slots that stay in use after a request was truncated, refused, reset, timed out
/// or abandoned by its caller, in the queue or in flight.
#[test]
fn slots_are_freed_however_requests_end() {
    let vm = Vm::alone(&[target()], &[]);
    let paths = ["/ok", "/cut", "/shed", "/reset", "/silent"];
    for round in 0..4 {
        let calls = paths
            .iter()
            .flat_map(|path| ["GET", "POST"].map(|method| (path, method)));
        let callers = calls.flat_map(|call| [(call, false), (call, true)]);
        let threads: Vec<_> = callers
            .map(|((path, method), leaves)| {
                let request = request(method, path);
                let listen = vm.listen;
                thread::spawn(move || {
                    if leaves {
                        let mut stream = TcpStream::connect(listen).unwrap();
                        stream.write_all(request.as_bytes()).unwrap();
                        thread::sleep(Duration::from_millis(20 * round));
                    } else {
                        raw_call(listen, request.as_bytes(), Duration::from_millis(400));
                    }
                })
            })
            .collect();
        threads
            .into_iter()
            .for_each(|thread| thread.join().unwrap());
    }
    // A target that has failed this often is tried again only after a pause.
    let served = (0..20).any(|_| {
        let response = raw_call(
            vm.listen,
            request("GET", "/ok").as_bytes(),
            Duration::from_millis(400),
        );
        field(&response, "carobshore-outcome") == Some("whole")
    });
    assert!(served, "{:#}", vm.dump());
    let dump = vm.dump();
    let owned = &dump["services"]["status"]["owned"];
    for count in [
        &dump["in_flight_other"],
        &owned["in_flight"],
        &owned["queued"],
    ] {
        assert_eq!(*count, 0, "{dump:#}");
    }
}
