//! Request and response heads: the start line and the header fields.

use bytes::Buf;
use bytes::BytesMut;

use crate::body::Framing;
use crate::fields::Fields;
use crate::message_error::MessageError;

/// Largest number of header fields in a message.
const MAX_FIELDS: usize = 128;
/// The smallest status code (RFC 9110, section 15).
const MIN_STATUS: u16 = 100;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: Box<str>,
    /// The request target (path and query), unchanged from the wire.
    pub target: Box<str>,
    /// The header fields.
    pub fields: Fields,
    /// Whether the sender keeps the connection open after the response.
    pub keep_alive: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The reason phrase.
    pub reason: Box<str>,
    /// The header fields.
    pub fields: Fields,
    /// Whether the sender keeps the connection open after the response.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Consumes a complete head from the buffer, or returns `None` if more bytes are needed. Fails
    /// if the head is larger than `max_len` bytes, or if a line of it ends with LF alone: not all
    /// recipients take that for the end of a line.
    pub fn take(buffer: &mut BytesMut, max_len: usize) -> Result<Option<Self>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut headers);
        let Some(length) = complete_length(parsed.parse(buffer), buffer.len(), max_len)? else {
            return Ok(None);
        };
        if has_lone_line_feed(&buffer[..length]) {
            return Err(MessageError::Malformed("a line ends without CR"));
        }
        let version = parsed.version.unwrap_or_default();
        let fields = collect(parsed.headers);
        let head = Self {
            method: parsed.method.unwrap_or_default().into(),
            target: parsed.path.unwrap_or_default().into(),
            keep_alive: is_persistent(version, &fields),
            fields,
        };
        buffer.advance(length);
        Ok(Some(head))
    }

    /// Returns how the end of the body is determined.
    ///
    /// A request with two lengths, or with a length and a transfer coding, is rejected: another
    /// recipient could see a different end (request smuggling).
    pub fn framing(&self) -> Result<Framing, MessageError> {
        let lengths = self.fields.count("content-length");
        if self.fields.count("transfer-encoding") > 0 {
            return match is_chunked_only(&self.fields) && lengths == 0 {
                true => Ok(Framing::Chunked),
                false => Err(MessageError::Malformed("ambiguous body length")),
            };
        }
        match lengths {
            0 => Ok(Framing::Length(0)),
            1 => length(&self.fields).map(Framing::Length),
            _ => Err(MessageError::Malformed("more than one Content-Length")),
        }
    }
}

impl ResponseHead {
    /// Consumes a complete head from the buffer, or returns `None` if more bytes are needed. Skips
    /// interim (1xx) responses. Fails if the head is larger than `max_len` bytes, if its status is
    /// below 100, or if a line of it ends with LF alone, like [`RequestHead::take`]: in a head that was
    /// damaged, such a line can end it too early.
    pub fn take(buffer: &mut BytesMut, max_len: usize) -> Result<Option<Self>, MessageError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
            let mut parsed = httparse::Response::new(&mut headers);
            let Some(length) = complete_length(parsed.parse(buffer), buffer.len(), max_len)? else {
                return Ok(None);
            };
            if has_lone_line_feed(&buffer[..length]) {
                return Err(MessageError::Malformed("a line ends without CR"));
            }
            let version = parsed.version.unwrap_or_default();
            let fields = collect(parsed.headers);
            let head = Self {
                status: parsed.code.unwrap_or_default(),
                reason: parsed.reason.unwrap_or_default().into(),
                keep_alive: is_persistent(version, &fields),
                fields,
            };
            buffer.advance(length);
            if head.status < MIN_STATUS {
                return Err(MessageError::Malformed("invalid status code"));
            }
            if head.status == 101 {
                return Err(MessageError::Malformed(
                    "unexpected 101 (Switching Protocols)",
                ));
            }
            // A start line that was cut off, and that of the next response.
            if head.reason.contains("HTTP/1.") {
                return Err(MessageError::Malformed("two status lines in one"));
            }
            if head.status >= 200 {
                return Ok(Some(head));
            }
        }
    }

    /// Returns how the end of the body is determined. `method` is the method of the request.
    ///
    /// A body in another transfer coding is rejected, also if it is sent in chunks: the field that names
    /// the coding is not forwarded, and the next recipient would take the coded bytes for the body.
    pub fn framing(&self, method: &str) -> Result<Framing, MessageError> {
        if method == "HEAD" || matches!(self.status, 204 | 304) {
            return Ok(Framing::Length(0));
        }
        if self.fields.count("transfer-encoding") > 0 {
            return match is_chunked_only(&self.fields) {
                true => Ok(Framing::Chunked),
                false => Err(MessageError::Malformed("unsupported transfer coding")),
            };
        }
        match self.fields.count("content-length") {
            0 => Ok(Framing::UntilClose),
            1 => length(&self.fields).map(Framing::Length),
            _ => Err(MessageError::Malformed("more than one Content-Length")),
        }
    }
}

/// Returns the length of a parsed head in bytes, or `None` if more bytes are needed. `received` is
/// the number of buffered bytes.
fn complete_length(
    parsed: httparse::Result<usize>,
    received: usize,
    max_len: usize,
) -> Result<Option<usize>, MessageError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= max_len => Ok(Some(length)),
        Ok(httparse::Status::Partial) if received <= max_len => Ok(None),
        Ok(_) => Err(MessageError::HeadTooLarge),
        Err(error) => Err(malformed(error)),
    }
}

/// Returns whether chunked is the only transfer coding, and is applied once.
fn is_chunked_only(fields: &Fields) -> bool {
    let coding = fields.text("transfer-encoding").unwrap_or_default();
    fields.count("transfer-encoding") == 1 && coding.eq_ignore_ascii_case("chunked")
}

/// Returns whether a line feed does not follow a carriage return.
pub(crate) fn has_lone_line_feed(bytes: &[u8]) -> bool {
    let lines = bytes.split_inclusive(|byte| *byte == b'\n');
    let mut ended = lines.filter(|line| line.ends_with(b"\n"));
    ended.any(|line| !line.ends_with(b"\r\n"))
}

fn length(fields: &Fields) -> Result<u64, MessageError> {
    let text = fields.text("content-length").unwrap_or_default();
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let length = text.parse().ok().filter(|_| digits);
    length.ok_or(MessageError::Malformed("invalid Content-Length"))
}

fn collect(parsed: &[httparse::Header<'_>]) -> Fields {
    let mut fields = Fields::default();
    for field in parsed {
        fields.add(field.name, field.value);
    }
    fields
}

fn is_persistent(version: u8, fields: &Fields) -> bool {
    version == 1 && !fields.has_token("connection", "close")
}

fn malformed(error: httparse::Error) -> MessageError {
    match error {
        httparse::Error::TooManyHeaders => MessageError::HeadTooLarge,
        httparse::Error::HeaderName => MessageError::Malformed("invalid header name"),
        httparse::Error::HeaderValue => MessageError::Malformed("invalid header value"),
        httparse::Error::NewLine => MessageError::Malformed("invalid line ending"),
        httparse::Error::Status => MessageError::Malformed("invalid status code"),
        httparse::Error::Token => MessageError::Malformed("invalid token"),
        httparse::Error::Version => MessageError::Malformed("invalid HTTP version"),
    }
}
