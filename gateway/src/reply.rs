//! Responses to callers.

use std::time::Duration;

use carobshore_http::client::Response;
use carobshore_http::fields::Fields;
use carobshore_platform::header_fields;

/// What the head of a response takes, in bytes; an estimate.
const HEAD_MEMORY: usize = 1 << 10;

/// Why the gateway responds to a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The configuration or the targets have not been read yet.
    NotReady,
    /// The request carries no key of any organisation.
    UnknownKey,
    /// No route matches the request.
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
    /// All targets of the service are leaving or want a pause.
    TargetsUnavailable,
    /// No target has capacity in time.
    NoRoom,
    /// The targets that were tried refused the request.
    TargetsRefused,
    /// Request bodies use too much memory.
    NoMemory,
    /// The organisation has used up its quota.
    QuotaExceeded,
    /// No owner of the organisation's quota answers.
    QuotaUnknown,
    /// The process is about to exit.
    Stopping,
    /// The request was sent, and it is unknown whether it ran.
    Broken,
    /// The deadline passed while a target processed the request.
    TimedOut,
}

impl Refusal {
    /// Returns the status code. 408, 429 and 503 promise that the request has not run.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::NoRoute => 404,
            Self::TooSlow => 408,
            Self::BodyTooLarge => 413,
            Self::QuotaExceeded => 429,
            Self::HeadTooLarge => 431,
            Self::Broken => 502,
            Self::TimedOut => 504,
            Self::NotReady
            | Self::NoTarget
            | Self::TargetsUnavailable
            | Self::NoRoom
            | Self::TargetsRefused
            | Self::NoMemory
            | Self::QuotaUnknown
            | Self::Stopping => 503,
        }
    }

    /// Returns the name used in logs, metrics and responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::UnknownKey => "unknown-key",
            Self::NoRoute => "no-route",
            Self::BadRequest => "bad-request",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::TooSlow => "too-slow",
            Self::NoTarget => "no-target",
            Self::TargetsUnavailable => "targets-unavailable",
            Self::NoRoom => "no-room",
            Self::TargetsRefused => "targets-refused",
            Self::NoMemory => "no-memory",
            Self::QuotaExceeded => "quota-exceeded",
            Self::QuotaUnknown => "quota-unknown",
            Self::Stopping => "stopping",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
        }
    }
}

/// A complete response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: Box<str>,
    /// The header fields, without framing and hop-by-hop fields.
    pub fields: Fields,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl Reply {
    /// Creates the response that forwards the response of a target to a request with this method.
    pub fn from_target(response: Response, method: &str) -> Self {
        let Response { head, body } = response;
        let mut fields = head.fields;
        let length = fields.text("content-length").map(Box::<str>::from);
        fields.keep_end_to_end();
        // These state the length of a body that is not sent.
        let is_bodiless = method == "HEAD" || head.status == 304;
        if let Some(length) = length.filter(|_| is_bodiless) {
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

    /// Creates a response of the gateway itself. `retry` is the delay after which the caller may
    /// retry.
    pub fn from_refusal(refusal: Refusal, id: Option<&str>, retry: Option<Duration>) -> Self {
        let mut fields = Fields::default();
        if let Some(id) = id {
            header_fields::set_request_id(&mut fields, id);
        }
        if let Some(retry) = retry {
            header_fields::set_retry_after(&mut fields, retry);
        }
        if refusal == Refusal::UnknownKey {
            header_fields::add_key_challenge(&mut fields);
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

    /// Creates a plain text response.
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

    /// Adds a header field.
    pub fn with_field(mut self, name: &str, value: &str) -> Self {
        self.fields.add(name, value);
        self
    }

    /// Returns the size of the body, in bytes.
    pub fn body_len(&self) -> usize {
        self.body.len()
    }

    /// Returns the memory that the response takes, in bytes.
    pub fn memory(&self) -> u64 {
        (self.body.capacity() + HEAD_MEMORY) as u64
    }

    /// Encodes the response. `Content-Length` is added if the fields have none.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = self.head_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Encodes the response without its body.
    pub fn head_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256);
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
        bytes
    }
}
