//! Responses to callers.

use std::time::Duration;

use carobshore_http::client::Response;
use carobshore_http::fields::Fields;
use carobshore_platform::header_fields;

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No configuration has been read yet.
    NotReady,
    /// No route covers the request.
    NoRoute,
    /// The request is malformed.
    BadRequest,
    /// The header section is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The header section or the body took too long.
    TooSlow,
    /// No target of the service is known.
    NoTarget,
    /// No target has room in time.
    NoRoom,
    /// The targets that were asked refused the request.
    TargetsRefused,
    /// Too many bytes of requests are held in memory.
    NoMemory,
    /// The process is about to end.
    Stopping,
    /// The request was sent, and nothing is known of its end.
    Broken,
    /// The time was over while a target worked on the request.
    TimedOut,
}

impl Refusal {
    /// Returns the status. 408, 429 and 503 promise that the request has not run.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NoRoute => 404,
            Self::TooSlow => 408,
            Self::BodyTooLarge => 413,
            Self::HeadTooLarge => 431,
            Self::Broken => 502,
            Self::TimedOut => 504,
            Self::NotReady
            | Self::NoTarget
            | Self::NoRoom
            | Self::TargetsRefused
            | Self::NoMemory
            | Self::Stopping => 503,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::NoRoute => "no-route",
            Self::BadRequest => "bad-request",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::TooSlow => "too-slow",
            Self::NoTarget => "no-target",
            Self::NoRoom => "no-room",
            Self::TargetsRefused => "targets-refused",
            Self::NoMemory => "no-memory",
            Self::Stopping => "stopping",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
        }
    }
}

/// A whole response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The text after the status.
    pub reason: Box<str>,
    /// The header fields, without those that frame the body or concern the connection.
    pub fields: Fields,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl Reply {
    /// Builds the response that passes on what a target answered.
    pub fn from_target(response: Response) -> Self {
        let Response { head, body } = response;
        let mut fields = head.fields;
        let length = fields.text("content-length").map(Box::<str>::from);
        fields.keep_end_to_end();
        // The response to HEAD announces a length without a body.
        if let Some(length) = length.filter(|_| body.is_empty()) {
            fields.set("Content-Length", length.as_bytes());
        }
        Self {
            status: head.status,
            reason: head.reason,
            fields,
            body,
            close: false,
        }
    }

    /// Builds a response of the gateway's own.
    pub fn from_refusal(refusal: Refusal, id: Option<&str>, retry: Option<Duration>) -> Self {
        let mut fields = Fields::default();
        if let Some(id) = id {
            header_fields::set_request_id(&mut fields, id);
        }
        if let Some(retry) = retry {
            header_fields::set_retry_after(&mut fields, retry);
        }
        fields.add("Content-Type", "text/plain");
        let close = matches!(
            refusal,
            Refusal::BadRequest
                | Refusal::HeadTooLarge
                | Refusal::BodyTooLarge
                | Refusal::TooSlow
                | Refusal::NoMemory
        );
        Self {
            status: refusal.status(),
            reason: refusal.as_str().into(),
            fields,
            body: format!("{}\n", refusal.as_str()).into_bytes(),
            close,
        }
    }

    /// Builds a response with a text.
    pub fn text(status: u16, text: impl Into<Vec<u8>>) -> Self {
        let mut fields = Fields::default();
        fields.add("Content-Type", "text/plain; version=0.0.4");
        Self {
            status,
            reason: Box::default(),
            fields,
            body: text.into(),
            close: false,
        }
    }

    /// Returns the response in wire format.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256 + self.body.len());
        bytes.extend_from_slice(format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).as_bytes());
        self.fields.write_to(&mut bytes);
        let bodiless = matches!(self.status, 204 | 304);
        if !bodiless && self.fields.count("content-length") == 0 {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", self.body.len()).as_bytes());
        }
        if self.close {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}
