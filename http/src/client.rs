//! An HTTP/1.1 client connection for one request at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::body::BodyReader;
use crate::fields::Fields;
use crate::head::ResponseHead;
use crate::message_error::MessageError;
use crate::socket;
use crate::socket::KeepAliveOptions;

/// Largest header section of a response, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// Size of one read, in bytes.
const READ_SIZE: usize = 16 << 10;
/// Bodies up to this length are sent with their head, in bytes.
const JOINED_BODY: usize = 16 << 10;
/// How long after the end of a connection a reset may arrive that answers what was sent before:
/// more than a round trip.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// A request in wire format.
#[derive(Clone, Debug)]
pub struct EncodedRequest<'a> {
    /// The method, which determines whether the response may have a body.
    pub method: Box<str>,
    /// The encoded head, followed by the body if that is short.
    pub bytes: Vec<u8>,
    /// The length of the head, in bytes.
    pub head_len: usize,
    /// The rest of the body, which is not copied.
    pub body: &'a [u8],
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The head.
    pub head: ResponseHead,
    /// The decoded body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns whether the body is empty although the head does not say so, because the connection
    /// ended directly after it.
    pub fn is_unproven(&self) -> bool {
        let fields = &self.head.fields;
        let framed = fields.count("content-length") + fields.count("transfer-encoding") > 0;
        let bodiless = matches!(self.head.status, 204 | 304);
        self.body.is_empty() && !framed && !bodiless
    }
}

/// An exchange that ended without a response.
#[derive(Debug)]
pub struct ExchangeFailure {
    /// Whether any byte of the request was written to the socket.
    pub sent: bool,
    /// The cause.
    pub error: MessageError,
}

/// A connection to a server.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    buffer: BytesMut,
    reusable: bool,
    max_body: usize,
}

impl<'a> EncodedRequest<'a> {
    /// Encodes a request. `Content-Length` is added if there is a body or the method usually has
    /// one.
    pub fn new(method: &str, target: &str, fields: &Fields, body: &'a [u8]) -> Self {
        let (joined, apart) = match body.len() <= JOINED_BODY {
            true => (body, &[][..]),
            false => (&[][..], body),
        };
        let mut bytes = Vec::with_capacity(512 + joined.len());
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
        let head_len = bytes.len();
        bytes.extend_from_slice(joined);
        Self {
            method: method.into(),
            bytes,
            head_len,
            body: apart,
        }
    }

    /// Returns the length of the head and the body, in bytes.
    fn len(&self) -> usize {
        self.bytes.len() + self.body.len()
    }

    /// Returns the bytes that can be written next, after so many.
    fn unsent(&self, written: usize) -> &[u8] {
        match written.checked_sub(self.bytes.len()) {
            Some(of_body) => &self.body[of_body..],
            None => &self.bytes[written..],
        }
    }
}

impl Client {
    /// Connects within `timeout`. Response bodies may have at most `max_body` bytes.
    pub async fn open(
        addr: SocketAddr,
        timeout: Duration,
        options: KeepAliveOptions,
        max_body: usize,
    ) -> io::Result<Self> {
        Ok(Self {
            stream: socket::connect(addr, timeout, options).await?,
            buffer: BytesMut::new(),
            reusable: true,
            max_body,
        })
    }

    /// Returns whether the connection can be reused: the last exchange is complete, the server
    /// keeps the connection open, and no unsolicited bytes have arrived.
    pub fn is_idle(&mut self) -> bool {
        let mut byte = [0];
        let no_input = matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        self.reusable &= no_input && self.buffer.is_empty();
        self.reusable
    }

    /// Sends a request and reads the first complete response that belongs to it.
    ///
    /// `belongs` gets the head of each response as soon as it is read, and returns whether it is of
    /// the response to this request. Other responses are skipped, and the connection is then not
    /// reused. So is a response whose head was read before the head of the request was sent: the
    /// server cannot know the request yet. Bytes that arrive before anything was sent end the
    /// exchange. Dropping the future also makes the connection unusable.
    ///
    /// A response whose body ends with the connection is complete only if the whole request was sent
    /// before that end. Until then the end may be that of a connection which was reset: the kernel
    /// reports a reset once, to the write that it hits, and the reads that follow see the end of the
    /// stream. After a long request, the connection must not be reset shortly after the end either.
    pub async fn exchange(
        &mut self,
        request: &EncodedRequest<'_>,
        belongs: impl FnMut(&ResponseHead) -> bool,
    ) -> Result<Response, ExchangeFailure> {
        self.exchange_within(request, belongs, |_| true).await
    }

    /// Does the same as [`Self::exchange`]. `may_use` gets the memory in bytes that the response
    /// takes, whenever it has grown, and returns whether there is that much. Otherwise the exchange
    /// fails.
    pub async fn exchange_within(
        &mut self,
        request: &EncodedRequest<'_>,
        mut belongs: impl FnMut(&ResponseHead) -> bool,
        mut may_use: impl FnMut(usize) -> bool,
    ) -> Result<Response, ExchangeFailure> {
        // The connection becomes reusable again only after a complete response.
        let reusable = std::mem::replace(&mut self.reusable, false);
        let mut skipped = 0_u32;
        let (mut read, mut write) = self.stream.split();
        let mut written = 0;
        let mut write_error = None;
        let mut reader = ResponseReader::new(&request.method, self.max_body);
        let response = loop {
            let is_sent = written >= request.head_len;
            let is_response = |head: &ResponseHead| belongs(head) && is_sent;
            match reader.advance(&mut self.buffer, is_response) {
                Ok(Some(answer)) if answer.belongs => break answer.response,
                Ok(Some(_)) => {
                    skipped += 1;
                    reader = ResponseReader::new(&request.method, self.max_body);
                    continue;
                }
                Ok(None) => {}
                Err(error) => return Err(failure(written, error)),
            }
            if !may_use(self.buffer.capacity() + reader.memory()) {
                return Err(failure(written, MessageError::NoMemory));
            }
            self.buffer.reserve(READ_SIZE);
            let unsent = request.unsent(written);
            tokio::select! {
                // Bytes that have arrived already are read before more is sent.
                biased;
                result = read.read_buf(&mut self.buffer) => match result {
                    Ok(0) => {
                        let is_whole = unsent.is_empty();
                        let answer = reader.on_close().filter(|answer| is_whole && answer.belongs);
                        let Some(answer) = answer else {
                            return Err(failure(written, close_error(write_error)));
                        };
                        let confirmed = confirm_end(read.as_ref(), request).await;
                        confirmed.map_err(|error| failure(written, error.into()))?;
                        break answer.response;
                    }
                    Ok(_) if written == 0 => {
                        return Err(failure(written, MessageError::Malformed("unsolicited bytes")));
                    }
                    Ok(_) => {}
                    Err(error) => return Err(failure(written, error.into())),
                },
                result = write.write(unsent), if !unsent.is_empty() && write_error.is_none() => match result {
                    Ok(count) => written += count,
                    // The server may have responded before it stopped reading.
                    Err(error) => write_error = Some(error),
                },
            }
        };
        let fully_sent = written == request.len();
        self.reusable = reusable && fully_sent && skipped == 0 && response.head.keep_alive;
        Ok(response)
    }
}

/// Waits until a server that has not got all of a long request would have reset the connection, and
/// fails if it has.
///
/// The kernel takes more of a request than the server has received. If the server's process ends
/// meanwhile, so does the connection, and what arrives later is answered with a reset. Reads do not
/// report a reset after the end of the stream.
async fn confirm_end(stream: &TcpStream, request: &EncodedRequest<'_>) -> io::Result<()> {
    if request.body.is_empty() {
        return Ok(());
    }
    sleep(RESET_DELAY).await;
    stream.take_error()?.map_or(Ok(()), Err)
}

fn close_error(write_error: Option<io::Error>) -> MessageError {
    write_error.map_or(MessageError::Closed, MessageError::Broken)
}

fn failure(written: usize, error: MessageError) -> ExchangeFailure {
    ExchangeFailure {
        sent: written > 0,
        error,
    }
}

/// A complete response on a connection.
struct Answer {
    response: Response,
    /// Whether it is the response to the current request.
    belongs: bool,
}

/// Decoder of one response.
struct ResponseReader<'a> {
    method: &'a str,
    max_body: usize,
    started: Option<StartedResponse>,
}

/// A response whose head has been read.
struct StartedResponse {
    head: ResponseHead,
    body: BodyReader,
    belongs: bool,
}

impl<'a> ResponseReader<'a> {
    fn new(method: &'a str, max_body: usize) -> Self {
        Self {
            method,
            max_body,
            started: None,
        }
    }

    /// Consumes buffered bytes. Returns the response once it is complete. `belongs` gets its head,
    /// once, and returns whether it is the response to the current request.
    fn advance(
        &mut self,
        buffer: &mut BytesMut,
        belongs: impl FnOnce(&ResponseHead) -> bool,
    ) -> Result<Option<Answer>, MessageError> {
        if self.started.is_none() {
            let Some(mut head) = ResponseHead::take(buffer, MAX_HEAD)? else {
                return Ok(None);
            };
            let framing = head.framing(self.method)?;
            head.keep_alive &= framing != crate::body::Framing::UntilClose;
            self.started = Some(StartedResponse {
                belongs: belongs(&head),
                body: BodyReader::new(framing, self.max_body)?,
                head,
            });
        }
        let Some(started) = &mut self.started else {
            return Ok(None);
        };
        match started.body.advance(buffer)? {
            true => Ok(self.finish()),
            false => Ok(None),
        }
    }

    /// Returns the memory that the body takes.
    fn memory(&self) -> usize {
        let started = self.started.as_ref();
        started.map_or(0, |started| started.body.memory())
    }

    /// Records that the server closed the connection without a reset, which may complete the
    /// response.
    fn on_close(&mut self) -> Option<Answer> {
        let started = self.started.as_mut()?;
        started.body.on_close().then(|| self.finish())?
    }

    fn finish(&mut self) -> Option<Answer> {
        let StartedResponse {
            head,
            body,
            belongs,
        } = self.started.take()?;
        let body = body.into_body();
        Some(Answer {
            response: Response { head, body },
            belongs,
        })
    }
}
