//! An HTTP server whose answers are broken: it decides how much of a request it reads, which bytes
//! it sends, and how the connection ends.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use carobshore_http::head::RequestHead;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

use crate::endless_part::EndlessPart;

/// Largest header section of a request, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// The receive buffer of each connection, in bytes. It is small, so that a client is still writing a
/// long upload when the answer arrives.
const RECEIVE_BUFFER: usize = 16 << 10;
/// How long a server waits between the bytes of an answer and the end of the connection.
const PAUSE: Duration = Duration::from_millis(5);
/// How long a server leaves the rest of an upload unread after the end of its answer.
const UNREAD_TIME: Duration = Duration::from_secs(1);
/// How long a server waits for more of a request, in all.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections that wait to be accepted.
const BACKLOG: i32 = 64;

/// Transfer codings besides chunks alone: the values of the fields that name them.
pub const OTHER_CODINGS: [&[&str]; 12] = [
    &["gzip, chunked"],
    &["gzip", "chunked"],
    &["chunked", "gzip"],
    &["chunked, gzip"],
    &["deflate,chunked"],
    &["identity, chunked"],
    &["chunked, identity"],
    &["chunked, chunked"],
    &["chunked", "chunked"],
    &["chunked;q=1"],
    &["\"chunked\""],
    &["gzip"],
];

/// How much of the body of a request is read before the answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadRead {
    /// Nothing.
    Nothing,
    /// The first quarter. The next one is read while the answer is on its way.
    Part,
    /// The whole body.
    Whole,
}

impl UploadRead {
    /// All states of an upload.
    pub const ALL: [Self; 3] = [Self::Nothing, Self::Part, Self::Whole];
}

/// What happens to a connection after the bytes of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It stays open for the next request.
    Open,
    /// It stays open, and is silent from then on.
    Silent,
    /// The sending side is shut down.
    Close,
    /// It is reset.
    Reset,
    /// The sending side is shut down, and then the connection is reset.
    CloseAndReset,
    /// These bytes are sent again and again until the client closes the connection.
    Endless(Vec<u8>),
}

/// An answer, whole or broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenAnswer {
    /// What is read of the request before it.
    pub upload: UploadRead,
    /// What is sent.
    pub bytes: Vec<u8>,
    /// What follows.
    pub end: AnswerEnd,
}

impl BrokenAnswer {
    /// Creates an answer after a whole request.
    pub fn new(bytes: impl Into<Vec<u8>>, end: AnswerEnd) -> Self {
        Self {
            upload: UploadRead::Whole,
            bytes: bytes.into(),
            end,
        }
    }

    /// Creates an answer of which a part has no end. `fields` are the other fields of its head, with the
    /// ends of their lines.
    pub fn endless(part: EndlessPart, fields: &str) -> Self {
        let (start, repeated) = part.texts(fields);
        Self::new(start, AnswerEnd::Endless(repeated.into_bytes()))
    }
}

/// A running server. Dropping it stops it from accepting connections.
#[derive(Debug)]
pub struct BrokenServer {
    addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
}

impl BrokenServer {
    /// Starts a server on a free port of the loopback address. `answer` gets the head of each request.
    pub fn start(
        answer: impl Fn(&RequestHead) -> BrokenAnswer + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_recv_buffer_size(RECEIVE_BUFFER)?;
        listener.bind(&crate::server::ANY_PORT.into())?;
        listener.listen(BACKLOG)?;
        let listener = std::net::TcpListener::from(listener);
        let server = Self {
            addr: listener.local_addr()?,
            stopped: Arc::default(),
            sent: Arc::default(),
        };
        let (stopped, sent) = (Arc::clone(&server.stopped), Arc::clone(&server.sent));
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (answer, sent) = (Arc::clone(&answer), Arc::clone(&sent));
                thread::spawn(move || {
                    let _ = serve(stream, &*answer, &sent);
                });
            }
        });
        Ok(server)
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns how many bytes of endless answers were sent so far, or are being sent.
    pub fn endless_bytes(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }
}

impl Drop for BrokenServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Unblocks the accept loop so that it sees the flag.
        drop(TcpStream::connect_timeout(
            &self.addr,
            Duration::from_secs(1),
        ));
    }
}

fn serve(
    mut stream: TcpStream,
    answer: &dyn Fn(&RequestHead) -> BrokenAnswer,
    sent: &AtomicU64,
) -> io::Result<()> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut buffer = BytesMut::new();
    loop {
        let head = read_head(&mut stream, &mut buffer)?;
        let length = head.fields.text("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let BrokenAnswer { upload, bytes, end } = answer(&head);
        let first = match upload {
            UploadRead::Nothing => 0,
            UploadRead::Part => length / 4,
            UploadRead::Whole => length,
        };
        read_body(&mut stream, &mut buffer, first)?;
        stream.write_all(&bytes)?;
        if upload == UploadRead::Part {
            read_body(&mut stream, &mut buffer, length / 4)?;
        } else if end != AnswerEnd::Open {
            thread::sleep(PAUSE);
        }
        match end {
            AnswerEnd::Open => {}
            AnswerEnd::Silent => return drain(&mut stream),
            AnswerEnd::Close => {
                stream.shutdown(Shutdown::Write)?;
                if upload == UploadRead::Whole {
                    return drain(&mut stream);
                }
                // The rest is not read: a client that wrote all of it would find the end too late.
                thread::sleep(UNREAD_TIME);
                return Ok(());
            }
            AnswerEnd::Reset => return reset(&stream),
            AnswerEnd::CloseAndReset => {
                reset(&stream)?;
                return stream.shutdown(Shutdown::Write);
            }
            AnswerEnd::Endless(bytes) => loop {
                sent.fetch_add(bytes.len() as u64, Ordering::SeqCst);
                stream.write_all(&bytes)?;
            },
        }
    }
}

fn read_head(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<RequestHead> {
    loop {
        match RequestHead::take(buffer, MAX_HEAD) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => read(stream, buffer)?,
            Err(error) => return Err(io::Error::other(error)),
        }
    }
}

/// Reads and drops so many bytes of a body.
fn read_body(stream: &mut TcpStream, buffer: &mut BytesMut, mut length: usize) -> io::Result<()> {
    loop {
        let part = length.min(buffer.len());
        drop(buffer.split_to(part));
        length -= part;
        if length == 0 {
            return Ok(());
        }
        read(stream, buffer)?;
    }
}

fn read(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<()> {
    let mut bytes = [0; 16 << 10];
    match stream.read(&mut bytes)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        count => {
            buffer.extend_from_slice(&bytes[..count]);
            Ok(())
        }
    }
}

/// Reads until the client closes the connection.
fn drain(stream: &mut TcpStream) -> io::Result<()> {
    io::copy(stream, &mut io::sink()).map(|_| ())
}

/// Makes the end of the stream, when it is dropped, a reset.
fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
