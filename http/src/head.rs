//! The heads of requests and responses.

use bytes::Buf;
use bytes::BytesMut;

use crate::body::Framing;
use crate::fields::Fields;
use crate::message_error::MessageError;

/// The most header fields of a message.
const MAX_FIELDS: usize = 128;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: Box<str>,
    /// Path and query, byte for byte as they were sent.
    pub target: Box<str>,
    /// The header fields.
    pub fields: Fields,
    /// Whether the connection stays open after the response, as far as the sender is concerned.
    pub keep_alive: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The text after the status.
    pub reason: Box<str>,
    /// The header fields.
    pub fields: Fields,
    /// Whether the connection stays open after the response, as far as the sender is concerned.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Takes a complete head from the buffer, or returns `None` if more bytes are needed.
    pub fn take(buffer: &mut BytesMut, most: usize) -> Result<Option<Self>, MessageError> {
        let mut room = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut room);
        let Some(length) = whole(parsed.parse(buffer), buffer.len(), most)? else {
            return Ok(None);
        };
        let version = parsed.version.unwrap_or_default();
        let fields = collect(parsed.headers);
        let head = Self {
            method: parsed.method.unwrap_or_default().into(),
            target: parsed.path.unwrap_or_default().into(),
            keep_alive: keeps_alive(version, &fields),
            fields,
        };
        buffer.advance(length);
        Ok(Some(head))
    }

    /// Returns how the body is framed.
    ///
    /// A request with two lengths, or with a length and a transfer coding, is refused: another
    /// recipient could see a different end.
    pub fn framing(&self) -> Result<Framing, MessageError> {
        let lengths = self.fields.count("content-length");
        if self.fields.count("transfer-encoding") > 0 {
            let coding = self.fields.text("transfer-encoding").unwrap_or_default();
            let single = self.fields.count("transfer-encoding") == 1 && lengths == 0;
            return match single && coding.eq_ignore_ascii_case("chunked") {
                true => Ok(Framing::Chunked),
                false => Err(MessageError::Malformed("the end of the body is ambiguous")),
            };
        }
        match lengths {
            0 => Ok(Framing::Length(0)),
            1 => length(&self.fields).map(Framing::Length),
            _ => Err(MessageError::Malformed("more than one content length")),
        }
    }
}

impl ResponseHead {
    /// Takes a complete head from the buffer, or returns `None` if more bytes are needed. Interim
    /// responses are skipped.
    pub fn take(buffer: &mut BytesMut, most: usize) -> Result<Option<Self>, MessageError> {
        loop {
            let mut room = [httparse::EMPTY_HEADER; MAX_FIELDS];
            let mut parsed = httparse::Response::new(&mut room);
            let Some(length) = whole(parsed.parse(buffer), buffer.len(), most)? else {
                return Ok(None);
            };
            let version = parsed.version.unwrap_or_default();
            let fields = collect(parsed.headers);
            let head = Self {
                status: parsed.code.unwrap_or_default(),
                reason: parsed.reason.unwrap_or_default().into(),
                keep_alive: keeps_alive(version, &fields),
                fields,
            };
            buffer.advance(length);
            if head.status == 101 {
                return Err(MessageError::Malformed("unexpected upgrade"));
            }
            if head.status >= 200 {
                return Ok(Some(head));
            }
        }
    }

    /// Returns how the body of the response to a request with the method is framed.
    pub fn framing(&self, method: &str) -> Result<Framing, MessageError> {
        if method == "HEAD" || matches!(self.status, 204 | 304) {
            return Ok(Framing::Length(0));
        }
        if self.fields.count("transfer-encoding") > 0 {
            return match self.fields.has_token("transfer-encoding", "chunked") {
                true => Ok(Framing::Chunked),
                false => Err(MessageError::Malformed("unknown transfer coding")),
            };
        }
        match self.fields.count("content-length") {
            0 => Ok(Framing::UntilClose),
            1 => length(&self.fields).map(Framing::Length),
            _ => Err(MessageError::Malformed("more than one content length")),
        }
    }
}

/// Returns the length of a head that was parsed, or `None` if more bytes are needed. `received` is the
/// number of bytes that have arrived.
fn whole(
    parsed: httparse::Result<usize>,
    received: usize,
    most: usize,
) -> Result<Option<usize>, MessageError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= most => Ok(Some(length)),
        Ok(httparse::Status::Partial) if received <= most => Ok(None),
        Ok(_) => Err(MessageError::HeadTooLarge),
        Err(error) => Err(malformed(error)),
    }
}

fn length(fields: &Fields) -> Result<u64, MessageError> {
    let text = fields.text("content-length").unwrap_or_default();
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let length = text.parse().ok().filter(|_| digits);
    length.ok_or(MessageError::Malformed("bad content length"))
}

fn collect(parsed: &[httparse::Header<'_>]) -> Fields {
    let mut fields = Fields::default();
    for field in parsed {
        fields.add(field.name, field.value);
    }
    fields
}

fn keeps_alive(version: u8, fields: &Fields) -> bool {
    version == 1 && !fields.has_token("connection", "close")
}

fn malformed(error: httparse::Error) -> MessageError {
    match error {
        httparse::Error::TooManyHeaders => MessageError::HeadTooLarge,
        httparse::Error::HeaderName => MessageError::Malformed("bad field name"),
        httparse::Error::HeaderValue => MessageError::Malformed("bad field value"),
        httparse::Error::NewLine => MessageError::Malformed("bad line end"),
        httparse::Error::Status => MessageError::Malformed("bad status"),
        httparse::Error::Token => MessageError::Malformed("bad token"),
        httparse::Error::Version => MessageError::Malformed("bad version"),
    }
}
