//! Requests on a single connection, and what is known when one fails.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use carobshore_entry::connection::Connection;
use carobshore_entry::connection::OutgoingRequest;
use carobshore_entry::connection::SendFailure;
use carobshore_entry::upstream_response::Truncated;
use carobshore_entry::upstream_response::UpstreamResponse;
use common::MAX_WAIT;
use common::raw_server;
use common::read_head;
use common::receive;
use common::refused_addr;
use common::reset;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::body::Body;
use ntex::http::body::BodySize;
use ntex::http::body::MessageBody;
use ntex::util::Bytes;
use tokio::time::sleep;
use tokio::time::timeout;

async fn open(addr: SocketAddr) -> Rc<Connection> {
    Rc::new(Connection::open(addr, MAX_WAIT).await.unwrap())
}

fn request(method: Method, body: Body) -> OutgoingRequest {
    OutgoingRequest {
        method,
        path: "/path?query".into(),
        headers: HeaderMap::new(),
        body,
    }
}

fn get() -> OutgoingRequest {
    request(Method::GET, Body::None)
}

async fn read_all(response: &mut UpstreamResponse) -> Result<Vec<u8>, Truncated> {
    let mut all = Vec::new();
    while let Some(part) = response.body.next().await? {
        all.extend_from_slice(&part);
    }
    Ok(all)
}

/// A body of 10 bytes that fails after 4.
struct BreakingBody(usize);

impl MessageBody for BreakingBody {
    fn size(&self) -> BodySize {
        BodySize::Sized(10)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn std::error::Error>>>> {
        self.0 += 1;
        Poll::Ready(Some(match self.0 {
            1 => Ok(Bytes::from_static(b"part")),
            _ => Err(Rc::new(std::io::Error::other("the caller disconnected"))),
        }))
    }
}

/// Guards against treating a refused connection as a request that may have run.
#[ntex::test]
async fn refused_connect_is_an_error_of_open() {
    let error = Connection::open(refused_addr(), MAX_WAIT)
        .await
        .unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
}

/// Guards against reporting a request as not sent when the connection is reset after it.
#[ntex::test]
async fn reset_after_the_request_is_broken_and_handed_over() {
    let addr = raw_server(|mut stream| {
        read_head(&mut stream);
        reset(stream);
    });
    let connection = open(addr).await;
    let failure = Rc::clone(&connection).send(get()).await.unwrap_err();
    assert!(matches!(failure, SendFailure::Broken(_)), "{failure:?}");
    assert!(connection.handed_over());
}

/// Guards against reporting a request as possibly run when its connection was closed while idle.
#[ntex::test]
async fn closed_idle_connection_is_not_sent() {
    let addr = raw_server(|mut stream| {
        read_head(&mut stream);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            .unwrap();
    });
    let connection = open(addr).await;
    let mut response = Rc::clone(&connection).send(get()).await.unwrap();
    assert_eq!(read_all(&mut response).await.unwrap(), b"ok");
    sleep(Duration::from_millis(100)).await;
    assert!(connection.is_closed());
    assert!(response.body.into_reusable().is_none());
    let failure = Rc::clone(&connection).send(get()).await.unwrap_err();
    assert_eq!(failure, SendFailure::NotSent);
    assert!(!connection.handed_over());
}

/// Guards against the client reconnecting on its own.
#[ntex::test]
async fn failed_exchange_opens_no_second_connection() {
    let (accepted, connections) = mpsc::channel();
    let addr = raw_server(move |mut stream| {
        accepted.send(()).unwrap();
        read_head(&mut stream);
    });
    let connection = open(addr).await;
    for _ in 0..3 {
        Rc::clone(&connection).send(get()).await.unwrap_err();
    }
    sleep(Duration::from_millis(100)).await;
    assert_eq!(connections.try_iter().count(), 1);
}

/// Guards against treating a request as not sent because the target is silent, and against a
/// cancelled attempt that leaves its connection open.
#[ntex::test]
async fn request_on_silent_connection_counts_as_handed_over_and_cancelling_closes_it() {
    let (closed, seen) = mpsc::channel();
    let addr = raw_server(move |mut stream| {
        read_head(&mut stream);
        let mut rest = [0];
        closed.send(stream.read(&mut rest).unwrap_or(0)).unwrap();
    });
    let connection = open(addr).await;
    let sent = Rc::clone(&connection).send(get());
    assert!(timeout(Duration::from_millis(100), sent).await.is_err());
    assert!(connection.handed_over());
    assert_eq!(receive(&seen).await, 0);
    assert!(connection.is_closed());
}

/// Guards against treating a truncated response as complete, for each kind of framing.
#[ntex::test]
async fn truncated_responses_are_never_complete() {
    let cases: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nUpgrade: websocket\r\n\r\nshort",
    ];
    for case in cases {
        let addr = raw_server(move |mut stream| {
            read_head(&mut stream);
            stream.write_all(case).unwrap();
        });
        let mut response = open(addr).await.send(get()).await.unwrap();
        let text = String::from_utf8_lossy(case);
        assert_eq!(read_all(&mut response).await, Err(Truncated), "{text}");
        assert!(response.body.into_reusable().is_none(), "{text}");
    }
}

/// Guards against accepting a body whose end cannot be determined: a truncation would go unnoticed,
/// or the rest of the body would be read as the next response.
#[ntex::test]
async fn responses_without_a_provable_end_are_malformed() {
    let cases: [&[u8]; 5] = [
        b"HTTP/1.1 200 OK\r\n\r\nuntil the end of the connection",
        b"HTTP/1.0 200 OK\r\n\r\nuntil the end of the connection",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nuntil the end",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"not HTTP at all\r\n\r\n",
    ];
    for case in cases {
        let addr = raw_server(move |mut stream| {
            read_head(&mut stream);
            stream.write_all(case).unwrap();
        });
        let failure = open(addr).await.send(get()).await.unwrap_err();
        let text = String::from_utf8_lossy(case);
        assert!(
            matches!(failure, SendFailure::Malformed(_)),
            "{text}: {failure:?}"
        );
    }
}

/// Guards against waiting for the body of a response that never has one.
#[ntex::test]
async fn bodiless_responses_end_at_once() {
    let cases: [(Method, &[u8]); 3] = [
        (
            Method::HEAD,
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
        ),
        (
            Method::GET,
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n",
        ),
        (Method::GET, b"HTTP/1.1 204 No Content\r\n\r\n"),
    ];
    for (method, case) in cases {
        let addr = raw_server(move |mut stream| {
            read_head(&mut stream);
            stream.write_all(case).unwrap();
            read_head(&mut stream);
        });
        let sent = open(addr).await.send(request(method, Body::None));
        let mut response = timeout(MAX_WAIT, sent).await.unwrap().unwrap();
        let body = timeout(Duration::from_secs(1), read_all(&mut response)).await;
        assert_eq!(
            body.unwrap().unwrap(),
            b"",
            "{}",
            String::from_utf8_lossy(case)
        );
    }
}

/// Guards against closing a connection that can be reused.
#[ntex::test]
async fn whole_response_leaves_a_reusable_connection() {
    let addr = raw_server(|mut stream| {
        while !read_head(&mut stream).is_empty() {
            stream
                .write_all(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                )
                .unwrap();
        }
    });
    let mut connection = open(addr).await;
    for _ in 0..3 {
        let mut response = connection.send(get()).await.unwrap();
        assert_eq!(read_all(&mut response).await.unwrap(), b"ok");
        connection = response.body.into_reusable().unwrap();
    }
}

/// Guards against completing a request to the target when the caller's body failed.
#[ntex::test]
async fn failed_request_body_is_never_completed() {
    let (sender, received) = mpsc::channel();
    let addr = raw_server(move |mut stream| {
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
        sender.send(all).unwrap();
    });
    let failure = open(addr)
        .await
        .send(request(Method::POST, Body::from_message(BreakingBody(0))))
        .await;
    assert_eq!(failure.unwrap_err(), SendFailure::BodyFailed);
    let all = String::from_utf8(receive(&received).await).unwrap();
    let (_, body) = all.split_once("\r\n\r\n").unwrap();
    assert!("part".starts_with(body), "{all}");
}
