//! Guards against responses that reach the wrong request, and against broken responses that look
//! whole.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use carobshore_http::client::Client;
use carobshore_http::client::EncodedRequest;
use carobshore_http::client::ExchangeFailure;
use carobshore_http::client::Response;
use carobshore_http::fields::Fields;
use carobshore_http::head::ResponseHead;
use carobshore_http::message_error::MessageError;
use carobshore_http::socket::KeepAliveOptions;
use socket2::SockRef;

const LIMIT: Duration = Duration::from_secs(2);

/// Starts a server that runs `serve` on its first connection.
fn server(serve: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        serve(stream);
    });
    addr
}

/// Reads a request up to the end of its head.
fn read_head(stream: &mut TcpStream) {
    let mut seen = Vec::new();
    let mut byte = [0];
    while !seen.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a byte");
        seen.push(byte[0]);
    }
}

async fn open(addr: SocketAddr) -> Client {
    Client::open(addr, LIMIT, KeepAliveOptions::SHORT, 1 << 20)
        .await
        .expect("a connection")
}

fn get() -> EncodedRequest {
    EncodedRequest::new("GET", "/", &Fields::default(), &[])
}

fn is(id: &'static str) -> impl Fn(&ResponseHead) -> bool {
    move |head| head.fields.text("id") == Some(id)
}

async fn first(addr: SocketAddr) -> (Client, Result<Response, ExchangeFailure>) {
    let mut client = open(addr).await;
    let result = client.exchange(&get(), |_| true).await;
    (client, result)
}

#[tokio::test]
async fn a_connection_is_used_again_after_a_whole_response() {
    let addr = server(|mut stream| {
        for body in ["one", "two"] {
            read_head(&mut stream);
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{body}");
            stream.write_all(text.as_bytes()).expect("a write");
        }
        thread::sleep(LIMIT);
    });
    let (mut client, response) = first(addr).await;
    assert_eq!(response.expect("a response").body, b"one");
    assert!(client.is_idle());
    let second = client.exchange(&get(), |_| true).await;
    assert_eq!(second.expect("a response").body, b"two");
}

#[tokio::test]
async fn a_late_extra_response_is_skipped_and_the_connection_is_not_used_again() {
    let addr = server(|mut stream| {
        read_head(&mut stream);
        let text = "HTTP/1.1 200 OK\r\nid: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nid: new\r\nContent-Length: 3\r\n\r\nnew";
        stream.write_all(text.as_bytes()).expect("a write");
        thread::sleep(LIMIT);
    });
    let mut client = open(addr).await;
    let response = client
        .exchange(&get(), is("new"))
        .await
        .expect("a response");
    assert_eq!(response.body, b"new");
    assert!(!client.is_idle());
}

#[tokio::test]
async fn bytes_that_nobody_asked_for_end_the_use_of_a_connection() {
    let addr = server(|mut stream| {
        read_head(&mut stream);
        let text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(text.as_bytes()).expect("a write");
        thread::sleep(Duration::from_millis(50));
        stream.write_all(b"HTTP/1.1 200 OK\r\n").expect("a write");
        thread::sleep(LIMIT);
    });
    let (mut client, response) = first(addr).await;
    response.expect("a response");
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert!(!client.is_idle());
}

#[tokio::test]
async fn a_truncated_response_is_a_failure() {
    let addr = server(|mut stream| {
        read_head(&mut stream);
        let text = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
        stream.write_all(text.as_bytes()).expect("a write");
    });
    let (_, response) = first(addr).await;
    let failure = response.expect_err("a failure");
    assert!(failure.sent);
    assert!(matches!(
        failure.error,
        MessageError::Closed | MessageError::Broken(_)
    ));
}

#[tokio::test]
async fn a_response_without_a_length_is_whole_only_if_its_connection_closes_in_order() {
    let reply = "HTTP/1.1 200 OK\r\n\r\nabc";
    let addr = server(move |mut stream| {
        read_head(&mut stream);
        stream.write_all(reply.as_bytes()).expect("a write");
    });
    let (mut client, response) = first(addr).await;
    assert_eq!(response.expect("a response").body, b"abc");
    assert!(!client.is_idle());

    let addr = server(move |mut stream| {
        read_head(&mut stream);
        stream.write_all(reply.as_bytes()).expect("a write");
        thread::sleep(Duration::from_millis(100));
        let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        reset.expect("the option that resets");
    });
    let (_, response) = first(addr).await;
    assert!(matches!(
        response.expect_err("a failure").error,
        MessageError::Broken(_)
    ));
}

#[tokio::test]
async fn an_answer_before_the_end_of_the_body_is_taken_and_ends_the_use_of_the_connection() {
    let addr = server(|mut stream| {
        read_head(&mut stream);
        let text = "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno";
        stream.write_all(text.as_bytes()).expect("a write");
        // It reads no further, so that the rest of the body stays in the sender.
        thread::sleep(LIMIT);
    });
    let mut client = open(addr).await;
    let body = vec![7; 64 << 20];
    let request = EncodedRequest::new("POST", "/", &Fields::default(), &body);
    let response = client
        .exchange(&request, |_| true)
        .await
        .expect("a response");
    assert_eq!(response.head.status, 413);
    assert!(!client.is_idle());
}

#[tokio::test]
async fn a_closed_connection_is_not_idle() {
    let addr = server(|mut stream| {
        read_head(&mut stream);
        let text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(text.as_bytes()).expect("a write");
    });
    let (mut client, response) = first(addr).await;
    response.expect("a response");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!client.is_idle());
}
