//! A client connection that carries one exchange at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::body::BodyReader;
use crate::fields::Fields;
use crate::head::ResponseHead;
use crate::message_error::MessageError;
use crate::socket;
use crate::socket::KeepAliveOptions;

/// The largest header section of a response, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// How much is read at a time, in bytes.
const READ_SIZE: usize = 16 << 10;

/// A request in wire format.
#[derive(Clone, Debug)]
pub struct EncodedRequest {
    /// The method, which decides whether the response has a body.
    pub method: Box<str>,
    /// Head and body.
    pub bytes: Vec<u8>,
}

/// A whole response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The head.
    pub head: ResponseHead,
    /// The whole body.
    pub body: Vec<u8>,
}

/// An exchange that ended without a response.
#[derive(Debug)]
pub struct ExchangeFailure {
    /// Whether any byte of the request was handed to the connection.
    pub sent: bool,
    /// What happened.
    pub error: MessageError,
}

/// A connection to a server.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    buffer: BytesMut,
    reusable: bool,
    most: usize,
}

impl EncodedRequest {
    /// Builds a request. The length of the body is added to the fields if there is a body or the
    /// method expects one.
    pub fn new(method: &str, target: &str, fields: &Fields, body: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(512 + body.len());
        bytes.extend_from_slice(method.as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(target.as_bytes());
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        fields.write_to(&mut bytes);
        let bodiless = matches!(method, "GET" | "HEAD" | "OPTIONS" | "DELETE");
        if !(body.is_empty() && bodiless) {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        Self {
            method: method.into(),
            bytes,
        }
    }
}

impl Client {
    /// Opens a connection whose responses may have bodies of `most` bytes.
    pub async fn open(
        addr: SocketAddr,
        limit: Duration,
        options: KeepAliveOptions,
        most: usize,
    ) -> io::Result<Self> {
        Ok(Self {
            stream: socket::connect(addr, limit, options).await?,
            buffer: BytesMut::new(),
            reusable: true,
            most,
        })
    }

    /// Returns whether another exchange may start: the last one is over, the server keeps the
    /// connection open, and nothing has arrived that was not asked for.
    pub fn is_idle(&mut self) -> bool {
        let mut byte = [0];
        let quiet = matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        self.reusable &= quiet && self.buffer.is_empty();
        self.reusable
    }

    /// Sends a request and reads the first whole response that `belongs` to it.
    ///
    /// A response that does not belong to the request is skipped, and the connection is not used
    /// again. Dropping the future leaves the connection unusable.
    pub async fn exchange(
        &mut self,
        request: &EncodedRequest,
        belongs: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Response, ExchangeFailure> {
        // It becomes usable again only at the end of the response.
        let reusable = std::mem::replace(&mut self.reusable, false);
        let mut strangers = 0_u32;
        let (mut read, mut write) = self.stream.split();
        let mut written = 0;
        let mut broken = None;
        let mut reading = Reading::new(&request.method, self.most);
        let response = loop {
            match reading.advance(&mut self.buffer) {
                Ok(Some(response)) if belongs(&response.head) => break response,
                Ok(Some(_)) => {
                    strangers += 1;
                    reading = Reading::new(&request.method, self.most);
                    continue;
                }
                Ok(None) => {}
                Err(error) => return Err(failure(written, error)),
            }
            self.buffer.reserve(READ_SIZE);
            let unsent = &request.bytes[written..];
            tokio::select! {
                result = write.write(unsent), if !unsent.is_empty() && broken.is_none() => match result {
                    Ok(count) => written += count,
                    // The server may have answered before it stopped reading.
                    Err(error) => broken = Some(error),
                },
                result = read.read_buf(&mut self.buffer) => match result {
                    Ok(0) => match reading.closed() {
                        Some(response) if belongs(&response.head) => break response,
                        _ => return Err(failure(written, closed(broken))),
                    },
                    Ok(_) => {}
                    Err(error) => return Err(failure(written, error.into())),
                },
            }
        };
        let whole = written == request.bytes.len();
        self.reusable = reusable && whole && strangers == 0 && response.head.keep_alive;
        Ok(response)
    }
}

fn closed(broken: Option<io::Error>) -> MessageError {
    broken.map_or(MessageError::Closed, MessageError::Broken)
}

fn failure(written: usize, error: MessageError) -> ExchangeFailure {
    ExchangeFailure {
        sent: written > 0,
        error,
    }
}

/// A response that is being read.
struct Reading<'a> {
    method: &'a str,
    most: usize,
    begun: Option<(ResponseHead, BodyReader)>,
}

impl<'a> Reading<'a> {
    fn new(method: &'a str, most: usize) -> Self {
        Self {
            method,
            most,
            begun: None,
        }
    }

    /// Takes what has arrived, and returns the response when it is whole.
    fn advance(&mut self, buffer: &mut BytesMut) -> Result<Option<Response>, MessageError> {
        if self.begun.is_none() {
            let Some(mut head) = ResponseHead::take(buffer, MAX_HEAD)? else {
                return Ok(None);
            };
            let framing = head.framing(self.method)?;
            head.keep_alive &= framing != crate::body::Framing::UntilClose;
            self.begun = Some((head, BodyReader::new(framing, self.most)?));
        }
        let Some((_, body)) = &mut self.begun else {
            return Ok(None);
        };
        match body.advance(buffer)? {
            true => Ok(self.finish()),
            false => Ok(None),
        }
    }

    /// Notes that the connection was closed in order, which may be the end of the response.
    fn closed(&mut self) -> Option<Response> {
        let (_, body) = self.begun.as_mut()?;
        body.closed().then(|| self.finish())?
    }

    fn finish(&mut self) -> Option<Response> {
        let (head, body) = self.begun.take()?;
        let body = body.into_body();
        Some(Response { head, body })
    }
}
