//! The response of a target or another entry VM, read from its [`Connection`].

use std::rc::Rc;

use ntex::client::ClientResponse;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Payload;
use ntex::http::StatusCode;
use ntex::http::Version;
use ntex::http::header::CONNECTION;
use ntex::http::header::CONTENT_LENGTH;
use ntex::http::header::TRANSFER_ENCODING;
use ntex::util::Bytes;

use crate::connection::Connection;
use crate::connection::SendFailure;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The response has no body.
    Empty,
    /// The body has this many bytes, as `Content-Length` says.
    Length(u64),
    /// The body is sent in chunks and ends with the last chunk.
    Chunked,
}

/// The body ended before its framing says that it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Truncated;

/// A response whose head has been received.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The status of the final response. Interim responses are refused.
    pub status: StatusCode,
    /// The header fields as received, including hop-by-hop ones.
    pub headers: HeaderMap,
    /// The body, which is read after the head.
    pub body: UpstreamBody,
}

/// The body of a response, read part by part.
#[derive(Debug)]
pub struct UpstreamBody {
    payload: Payload,
    connection: Rc<Connection>,
    framing: Framing,
    received: u64,
    ended: bool,
    reusable: bool,
}

impl UpstreamResponse {
    pub(crate) fn new(
        connection: Rc<Connection>,
        method: &Method,
        response: &ClientResponse,
    ) -> Result<Self, SendFailure> {
        let status = response.status();
        let framing = framing(method, response)?;
        let closing = response.version() != Version::HTTP_11 || has_close_token(response.headers());
        let payload = response.take_payload();
        // After a 204 or 304 with a Content-Length, the client waits for a body that is never sent.
        let unsent_body = framing == Framing::Empty && !matches!(payload, Payload::None);
        if framing == Framing::Chunked && matches!(payload, Payload::None) {
            return Err(SendFailure::Malformed("unknown transfer encoding".into()));
        }
        let body = UpstreamBody {
            payload: if unsent_body { Payload::None } else { payload },
            connection,
            framing,
            received: 0,
            ended: false,
            reusable: !closing && !unsent_body,
        };
        Ok(Self {
            status,
            headers: response.headers().clone(),
            body,
        })
    }
}

impl UpstreamBody {
    /// Returns how the end of the body is determined.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the next part, or `None` when the framing proves that the body is complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        if self.ended || self.framing == Framing::Empty {
            self.ended = true;
            return Ok(None);
        }
        match self.payload.recv().await {
            Some(Ok(bytes)) => {
                self.received += bytes.len() as u64;
                Ok(Some(bytes))
            }
            // The client reports a truncated HTTP/1.0 body as complete.
            None if self.is_truncated() => Err(Truncated),
            None => {
                self.ended = true;
                Ok(None)
            }
            Some(Err(_)) => Err(Truncated),
        }
    }

    /// Returns whether the body was read to its end.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the connection if it can carry another request.
    ///
    /// A connection whose response has not ended is never reused: the rest of the response would
    /// be read as the response to the next request.
    pub fn into_reusable(self) -> Option<Rc<Connection>> {
        let discarding = self.connection.monitor().discards_writes();
        let usable = self.ended && self.reusable && !discarding && !self.connection.is_closed();
        usable.then_some(self.connection)
    }

    fn is_truncated(&self) -> bool {
        matches!(self.framing, Framing::Length(length) if self.received < length)
    }
}

fn framing(method: &Method, response: &ClientResponse) -> Result<Framing, SendFailure> {
    let status = response.status();
    if status.is_informational() {
        // The client would treat an interim response as the final one.
        return Err(SendFailure::Malformed("interim response".into()));
    }
    let headers = response.headers();
    let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if *method == Method::HEAD || bodiless {
        return Ok(Framing::Empty);
    }
    if headers.contains_key(TRANSFER_ENCODING) {
        return match response.version() {
            Version::HTTP_11 => Ok(Framing::Chunked),
            _ => Err(SendFailure::Malformed("chunked HTTP/1.0 response".into())),
        };
    }
    let length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    match length.and_then(|text| text.trim().parse().ok()) {
        Some(0) => Ok(Framing::Empty),
        Some(length) => Ok(Framing::Length(length)),
        // The body would end with the connection, so a broken connection could not be told apart
        // from a complete body.
        None => Err(SendFailure::Malformed("response without a length".into())),
    }
}

fn has_close_token(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}
