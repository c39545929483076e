//! Raw servers and callers that the tests of the daemon share.
#![allow(dead_code)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

/// Longest wait of a test for something that has to happen.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Starts a server that hands each connection, one after the other, to `serve`.
pub fn raw_server(mut serve: impl FnMut(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            serve(stream);
        }
    });
    addr
}

/// Returns an address on which nothing listens.
pub fn refused_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Reads until the blank line that ends a header section, and returns everything read.
pub fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// Sends `request` and returns everything that comes back until the connection closes or stays
/// silent for `quiet`.
pub fn raw_call(addr: SocketAddr, request: &[u8], quiet: Duration) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(quiet)).unwrap();
    // The server may answer and close before it has read everything.
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let mut part = [0; 4096];
    while let Ok(bytes) = stream.read(&mut part) {
        if bytes == 0 {
            break;
        }
        answer.extend_from_slice(&part[..bytes]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Makes the close of `stream` a reset.
pub fn reset(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

/// Waits for a message without stopping the tasks of this thread.
pub async fn soon<T>(receiver: &Receiver<T>) -> T {
    let end = std::time::Instant::now() + PATIENCE;
    loop {
        match receiver.try_recv() {
            Ok(message) => return message,
            Err(error) => assert!(std::time::Instant::now() < end, "no message: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
