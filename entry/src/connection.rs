//! One connection to a target or to another entry VM.
//!
//! The HTTP client of ntex has its own connection pool and opens connections on demand. Here, each
//! client gets exactly one connection, which is opened before the client is built. The client's
//! connector returns that connection once and fails afterwards, so the client can neither retry
//! nor reconnect, and it is always known on which connection a request was sent.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::socket;
use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::Connector;
use ntex::client::error::ClientError;
use ntex::connect::ConnectError;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Uri;
use ntex::http::body::Body;
use ntex::io::IoBoxed;
use ntex::io::IoRef;
use ntex::service::ServiceFactory;
use ntex::service::fn_service;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::io_monitor::IoMonitor;
use crate::io_monitor::IoMonitorFilter;
use crate::socket_options::TCP_TIMEOUTS;
use crate::upstream_response::UpstreamResponse;

/// Longest lifetime of a connection inside the client, in seconds. The connection table closes
/// connections earlier.
const CLIENT_LIFETIME_S: u16 = u16::MAX;

/// A request to a target or to another entry VM.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// The caller's method, or GET for a probe.
    pub method: Method,
    /// Path and query.
    pub path: Box<str>,
    /// All header fields, except those that set the framing.
    pub headers: HeaderMap,
    /// The body; its size decides the framing.
    pub body: Body,
}

/// Why a request got no response head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The connection was closed before any byte of the request was handed to it.
    NotSent,
    /// The connection failed after the first byte of the request was handed to it.
    Broken(Box<str>),
    /// The response is not valid HTTP, or its end cannot be determined.
    Malformed(Box<str>),
    /// The request's body could not be read to its end.
    BodyFailed,
}

/// An open connection that carries one request at a time.
pub struct Connection {
    addr: SocketAddr,
    client: Client,
    io: IoRef,
    monitor: Rc<IoMonitor>,
    request_start: Cell<u64>,
    opened: Instant,
}

impl Connection {
    /// Opens a connection within `limit`.
    pub async fn open(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(addr))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        socket::configure(&stream, TCP_TIMEOUTS)?;
        let monitor = Rc::new(IoMonitor::of_responses());
        let io = ntex::rt::from_tcp_stream(stream.into_std()?, SharedCfg::default())?;
        let io = io.add_filter(IoMonitorFilter(Rc::clone(&monitor)));
        let io_ref = io.get_ref();
        let client = build_client(io.into()).await?;
        Ok(Self {
            addr,
            client,
            io: io_ref,
            monitor,
            request_start: Cell::new(0),
            opened: Instant::now(),
        })
    }

    /// Returns when the connection was opened.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Returns whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.io.is_closed()
    }

    /// Returns whether any byte of the current request was handed to the connection.
    pub fn handed_over(&self) -> bool {
        self.monitor.written() > self.request_start.get()
    }

    /// Returns the monitor of the connection's bytes.
    pub fn monitor(&self) -> &Rc<IoMonitor> {
        &self.monitor
    }

    /// Returns whether the head of an error response has arrived and waits to be read.
    pub fn refused_early(&self) -> bool {
        const STATUS_AT: usize = "HTTP/1.1 ".len();
        self.io
            .with_read_buf(|buf| matches!(buf.get(STATUS_AT), Some(b'4' | b'5')))
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future closes the connection, which is how an attempt is cancelled.
    pub async fn send(
        self: Rc<Self>,
        request: OutgoingRequest,
    ) -> Result<UpstreamResponse, SendFailure> {
        self.request_start.set(self.monitor.written());
        self.monitor.expect_response();
        let uri = self.uri(&request.path)?;
        let method = request.method.clone();
        let mut builder = self.client.request(request.method, uri);
        *builder.headers_mut() = request.headers;
        match builder.send_body(request.body).await {
            Ok(response) => UpstreamResponse::new(self, &method, &response),
            Err(error) => Err(self.classify(&error)),
        }
    }

    fn uri(&self, path: &str) -> Result<Uri, SendFailure> {
        format!("http://{}{path}", self.addr)
            .parse()
            .map_err(|_| SendFailure::NotSent)
    }

    fn classify(&self, error: &ClientError) -> SendFailure {
        if !self.handed_over() {
            return SendFailure::NotSent;
        }
        match error {
            ClientError::Response(error) => SendFailure::Malformed(error.to_string().into()),
            ClientError::Error(_) => SendFailure::BodyFailed,
            error => SendFailure::Broken(error.to_string().into()),
        }
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("addr", &self.addr)
            .field("wire", &self.monitor)
            .finish_non_exhaustive()
    }
}

/// Builds a client whose only connection is `io`.
async fn build_client(io: IoBoxed) -> io::Result<Client> {
    let once = Rc::new(RefCell::new(Some(io)));
    let connector = fn_service(move |_: ntex::connect::Connect<Uri>| {
        let io = once.borrow_mut().take();
        async move { io.ok_or_else(|| ConnectError::Io(io::ErrorKind::NotConnected.into())) }
    });
    let connector = Connector::default()
        .limit(1)
        .keep_alive(ntex::time::Seconds(CLIENT_LIFETIME_S))
        .lifetime(ntex::time::Seconds(CLIENT_LIFETIME_S))
        .connector(connector.map_init_err(|()| io::Error::other("unreachable")));
    Client::builder()
        .connector::<()>(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .build(SharedCfg::default())
        .await
        .map_err(io::Error::other)
}
