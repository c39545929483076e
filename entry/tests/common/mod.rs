//! Plain TCP servers and clients for the tests of the daemon.
#![allow(dead_code, unreachable_pub)]

pub mod site;
pub mod vm;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// How long a test waits for something that has to happen before it fails.
pub const MAX_WAIT: Duration = Duration::from_secs(10);

/// Starts a server that calls `serve` with each connection, one after the other.
pub fn raw_server(mut serve: impl FnMut(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
            serve(stream);
        }
    });
    addr
}

/// Starts a target that reports the head of each request, and responds after `delay`.
pub fn reporting_target(delay: Duration) -> (SocketAddr, Receiver<String>) {
    let (heads, seen) = channel();
    let addr = raw_server(move |mut stream| {
        let heads = heads.clone();
        thread::spawn(move || {
            loop {
                let head = read_head(&mut stream);
                if head.is_empty() {
                    return;
                }
                let _ = heads.send(head);
                thread::sleep(delay);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
            }
        });
    });
    (addr, seen)
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

/// What a client received.
#[derive(Debug)]
pub struct RawResponse {
    /// All received bytes, as text.
    pub text: String,
    /// Whether the server closed the connection. Otherwise it stopped sending.
    pub closed: bool,
}

/// Sends `request` and reads until the server closes the connection or sends nothing for
/// `idle_timeout`.
pub fn raw_exchange(addr: SocketAddr, request: &[u8], idle_timeout: Duration) -> RawResponse {
    let mut stream = TcpStream::connect(addr).unwrap();
    // The server may respond and close the connection before it has read everything.
    let _ = stream.write_all(request);
    read_until_idle(&mut stream, idle_timeout)
}

/// Reads until the server closes the connection or sends nothing for `idle_timeout`.
pub fn read_until_idle(stream: &mut TcpStream, idle_timeout: Duration) -> RawResponse {
    stream.set_read_timeout(Some(idle_timeout)).unwrap();
    let mut response = Vec::new();
    let mut part = [0; 4096];
    let closed = loop {
        match stream.read(&mut part) {
            Ok(0) => break true,
            Ok(bytes) => response.extend_from_slice(&part[..bytes]),
            Err(error) => break error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    };
    RawResponse {
        text: String::from_utf8_lossy(&response).into_owned(),
        closed,
    }
}

/// Sends `request` and returns all that is received.
pub fn raw_call(addr: SocketAddr, request: &[u8], idle_timeout: Duration) -> String {
    raw_exchange(addr, request, idle_timeout).text
}

/// Returns the value of a field of a response.
pub fn field<'a>(response: &'a str, name: &str) -> Option<&'a str> {
    let (head, _) = response.split_once("\r\n\r\n")?;
    let mut lines = head
        .lines()
        .skip(1)
        .filter_map(|line| line.split_once(": "));
    lines
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
}

/// Checks whether the request ran, according to the response.
#[track_caller]
pub fn assert_outcome(response: &str, expected: &str) {
    assert_eq!(
        field(response, "carobshore-outcome"),
        Some(expected),
        "{response}"
    );
}

/// Closes `stream` with a reset.
pub fn reset(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

/// Waits for a message without blocking the other tasks of this thread.
pub async fn receive<T>(receiver: &Receiver<T>) -> T {
    let end = std::time::Instant::now() + MAX_WAIT;
    loop {
        match receiver.try_recv() {
            Ok(message) => return message,
            Err(error) => assert!(std::time::Instant::now() < end, "no message: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
