//! An HTTP server whose handler controls every byte sent and how each connection ends.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use carobshore_http::body::BodyReader;
use carobshore_http::head::RequestHead;
use socket2::SockRef;

/// Maximum size of a header section, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// Maximum size of a body, in bytes.
const MAX_BODY: usize = 16 << 20;

/// How a server responds to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerAction {
    /// Write these bytes and keep the connection open.
    Send(Vec<u8>),
    /// Write these bytes and shut down the sending side.
    SendAndClose(Vec<u8>),
    /// Write these bytes and reset the connection.
    SendAndReset(Vec<u8>),
    /// Never respond on this connection again.
    Hang,
}

/// A request as passed to a handler.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The request line and header fields.
    pub head: RequestHead,
    /// The body; empty if the request is handled before its body is read.
    pub body: Vec<u8>,
    /// The connection, to detect whether the client has closed it.
    pub stream: TcpStream,
}

/// A running server. Dropping it resets all connections.
#[derive(Debug)]
pub struct RawServer {
    addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl RawServer {
    /// Starts a server on a loopback address. `before_body` selects the requests that are handled
    /// before their body is read.
    pub fn start(
        addr: SocketAddr,
        before_body: impl Fn(&RequestHead) -> bool + Send + Sync + 'static,
        handler: impl Fn(ReceivedRequest) -> ServerAction + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let server = Self {
            addr: listener.local_addr()?,
            stopped: Arc::default(),
            connections: Arc::default(),
        };
        let stopped = Arc::clone(&server.stopped);
        let connections = Arc::clone(&server.connections);
        let handler = Arc::new(handler);
        let before_body = Arc::new(before_body);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(mut stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    lock(&connections).push(copy);
                }
                let (handler, before_body) = (Arc::clone(&handler), Arc::clone(&before_body));
                let connections = Arc::clone(&connections);
                thread::spawn(move || {
                    if serve(&mut stream, &*before_body, &*handler) == ConnectionEnd::Reset {
                        reset_now(stream, &connections);
                    }
                });
            }
        });
        Ok(server)
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        for stream in lock(&self.connections).drain(..) {
            reset(&stream);
        }
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Unblocks the accept loop so that it sees the flag.
        drop(TcpStream::connect_timeout(
            &self.addr,
            Duration::from_secs(1),
        ));
        self.reset_connections();
    }
}

/// Locks the mutex, ignoring poisoning by a thread that panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a connection ends on the side of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// The client or the server has closed it.
    Closed,
    /// The server is to reset it.
    Reset,
}

fn serve(
    stream: &mut TcpStream,
    before_body: &dyn Fn(&RequestHead) -> bool,
    handler: &dyn Fn(ReceivedRequest) -> ServerAction,
) -> ConnectionEnd {
    let mut buffer = BytesMut::new();
    while let Some(received) = receive(stream, &mut buffer, before_body) {
        let sent = match handler(received) {
            ServerAction::Send(bytes) => stream.write_all(&bytes),
            ServerAction::SendAndClose(bytes) => {
                let _ = stream.write_all(&bytes);
                let _ = stream.shutdown(std::net::Shutdown::Write);
                return ConnectionEnd::Closed;
            }
            ServerAction::SendAndReset(bytes) => {
                let _ = stream.write_all(&bytes);
                thread::sleep(Duration::from_millis(20));
                return ConnectionEnd::Reset;
            }
            ServerAction::Hang => {
                let _ = io::copy(stream, &mut io::sink());
                return ConnectionEnd::Closed;
            }
        };
        if sent.is_err() {
            return ConnectionEnd::Closed;
        }
    }
    ConnectionEnd::Closed
}

/// Resets a connection. The kernel does so when the last copy of the socket is closed, without an end of
/// the stream before.
fn reset_now(stream: TcpStream, connections: &Mutex<Vec<TcpStream>>) {
    let peer = stream.peer_addr().ok();
    lock(connections).retain(|copy| copy.peer_addr().ok() != peer);
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}

fn receive(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    before_body: &dyn Fn(&RequestHead) -> bool,
) -> Option<ReceivedRequest> {
    let head = loop {
        if let Some(head) = RequestHead::take(buffer, MAX_HEAD).ok()? {
            break head;
        }
        read(stream, buffer)?;
    };
    let mut body = BodyReader::new(head.framing().ok()?, MAX_BODY).ok()?;
    while !before_body(&head) && !body.advance(buffer).ok()? {
        read(stream, buffer)?;
    }
    Some(ReceivedRequest {
        head,
        body: body.into_body(),
        stream: stream.try_clone().ok()?,
    })
}

fn read(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<()> {
    let mut bytes = [0; 16 << 10];
    let count = stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&bytes[..count]);
    Some(())
}

/// Ends a connection that another thread uses: the end of the stream comes first, the reset when that
/// thread has closed its copy.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
