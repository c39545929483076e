//! Guards against responses delivered to the wrong request, and against truncated responses that
//! are taken as complete.

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

const TIMEOUT: Duration = Duration::from_secs(2);

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
    Client::open(addr, TIMEOUT, KeepAliveOptions::SHORT, 1 << 20)
        .await
        .expect("a connection")
}

fn get() -> EncodedRequest<'static> {
    EncodedRequest::new("GET", "/", &Fields::default(), &[])
}

fn has_id(id: &'static str) -> impl Fn(&ResponseHead) -> bool {
    move |head| head.fields.text("id") == Some(id)
}

async fn exchange_once(addr: SocketAddr) -> (Client, Result<Response, ExchangeFailure>) {
    let mut client = open(addr).await;
    let result = client.exchange(&get(), |_| true).await;
    (client, result)
}

#[tokio::test]
async fn a_connection_is_reused_after_a_complete_response() {
    let addr = server(|mut stream| {
        for body in ["one", "two"] {
            read_head(&mut stream);
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{body}");
            stream.write_all(text.as_bytes()).expect("a write");
        }
        thread::sleep(TIMEOUT);
    });
    let (mut client, response) = exchange_once(addr).await;
    assert_eq!(response.expect("a response").body, b"one");
    assert!(client.is_idle());
    let second = client.exchange(&get(), |_| true).await;
    assert_eq!(second.expect("a response").body, b"two");
}

#[tokio::test]
async fn a_late_extra_response_is_skipped_and_the_connection_is_not_reused() {
    let addr = server(|mut stream| {
        read_head(&mut stream);
        let text = "HTTP/1.1 200 OK\r\nid: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nid: new\r\nContent-Length: 3\r\n\r\nnew";
        stream.write_all(text.as_bytes()).expect("a write");
        thread::sleep(TIMEOUT);
    });
    let mut client = open(addr).await;
    let response = client
        .exchange(&get(), has_id("new"))
        .await
        .expect("a response");
    assert_eq!(response.body, b"new");
    assert!(!client.is_idle());
}

#[tokio::test]
async fn unsolicited_bytes_make_a_connection_unusable() {
    let addr = server(|mut stream| {
        read_head(&mut stream);
        let text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(text.as_bytes()).expect("a write");
        thread::sleep(Duration::from_millis(50));
        stream.write_all(b"HTTP/1.1 200 OK\r\n").expect("a write");
        thread::sleep(TIMEOUT);
    });
    let (mut client, response) = exchange_once(addr).await;
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
    let (_, response) = exchange_once(addr).await;
    let failure = response.expect_err("a failure");
    assert!(failure.sent);
    assert!(matches!(
        failure.error,
        MessageError::Closed | MessageError::Broken(_)
    ));
}

#[tokio::test]
async fn a_response_without_a_length_is_complete_only_if_its_connection_closes_without_a_reset() {
    let reply = "HTTP/1.1 200 OK\r\n\r\nabc";
    let addr = server(move |mut stream| {
        read_head(&mut stream);
        stream.write_all(reply.as_bytes()).expect("a write");
    });
    let (mut client, response) = exchange_once(addr).await;
    assert_eq!(response.expect("a response").body, b"abc");
    assert!(!client.is_idle());

    let addr = server(move |mut stream| {
        read_head(&mut stream);
        stream.write_all(reply.as_bytes()).expect("a write");
        thread::sleep(Duration::from_millis(100));
        let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        reset.expect("set SO_LINGER");
    });
    let (_, response) = exchange_once(addr).await;
    assert!(matches!(
        response.expect_err("a failure").error,
        MessageError::Broken(_)
    ));
}

#[tokio::test]
async fn an_early_response_is_accepted_and_the_connection_is_not_reused() {
    let addr = server(|mut stream| {
        read_head(&mut stream);
        let text = "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno";
        stream.write_all(text.as_bytes()).expect("a write");
        // The server reads no further, so the client cannot send the rest of the body.
        thread::sleep(TIMEOUT);
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
    let (mut client, response) = exchange_once(addr).await;
    response.expect("a response");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!client.is_idle());
}

/// Guards against an earlier response that is repeated on a connection in use again.
#[tokio::test]
async fn bytes_that_arrive_before_the_request_are_no_response_to_it() {
    let addr = server(|mut stream| {
        let text = "HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok";
        stream.write_all(text.as_bytes()).expect("a write");
        thread::sleep(TIMEOUT);
    });
    let mut client = open(addr).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let failure = client.exchange(&get(), has_id("a")).await;
    assert!(!failure.expect_err("no response").sent);
    assert!(!client.is_idle());
}

/// What a server says in the head of a response counts from then on, not from the end of its body.
#[tokio::test]
async fn a_head_is_reported_before_the_body_has_arrived() {
    let addr = server(|mut stream| {
        read_head(&mut stream);
        let text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no";
        stream.write_all(text.as_bytes()).expect("a write");
        thread::sleep(TIMEOUT);
    });
    let mut client = open(addr).await;
    let mut heads = 0;
    let request = get();
    let exchange = client.exchange(&request, |_| {
        heads += 1;
        true
    });
    let ended = tokio::time::timeout(Duration::from_millis(300), exchange).await;
    assert!(ended.is_err(), "the body is incomplete");
    assert_eq!(heads, 1);
}
