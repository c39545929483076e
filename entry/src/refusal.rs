//! Responses that this VM generates itself.

use std::fmt;

use carobshore_lib::key_table::reported_outcome;
use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::ResultCode;
use ntex::http::ConnectionType;
use ntex::http::HeaderMap;
use ntex::http::Response;
use ntex::http::ResponseError;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use serde::Serialize;

use crate::field;
use crate::headers;

/// Help text if it is unknown whether an earlier request with the key has run.
const SAME_KEY: &str = "send the request again with the same key; it runs at most once";

/// A response that this VM generates: what is known about the request, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// The result code, what happened, and what to do next.
    pub error: Error,
    /// Whether a layer above may send the request again.
    pub retry: bool,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

#[derive(Serialize)]
struct Text<'a> {
    outcome: Outcome,
    code: ResultCode,
    name: &'static str,
    message: &'a str,
    help: &'a str,
}

impl Refusal {
    /// Builds the response to an invalid request, of which nothing was sent to a target. If the end
    /// of the request is uncertain, the connection is closed.
    pub fn of_request(error: Error) -> Self {
        Self {
            outcome: Outcome::NotRun,
            close: error.code == ResultCode::BadRequest,
            error,
            retry: true,
        }
    }

    /// Builds the response for an outcome that routing or an exchange has decided.
    pub fn of_outcome(outcome: Outcome, code: ResultCode) -> Self {
        let message = describe(code);
        let help = match outcome {
            Outcome::MayHaveRun => "look at the state of the target before sending it again",
            _ if retries(code) => "send the request again",
            _ => "do not retry at once; send the request again later",
        };
        Self {
            outcome,
            error: Error::new(code, message, help),
            retry: retries(code),
            close: false,
        }
    }

    /// Builds the response to a caller's request with a key, see [`reported_outcome`].
    pub fn of_keyed(outcome: Outcome, code: ResultCode, unused: bool) -> Self {
        Self::of_outcome(outcome, code).limit_claim(unused)
    }

    /// Replaces "not run" by a weaker claim, unless the owner of the key knows that it is unused.
    pub fn limit_claim(mut self, unused: bool) -> Self {
        let claimed = reported_outcome(self.outcome, unused);
        if claimed != self.outcome {
            self.outcome = claimed;
            self.error.help = SAME_KEY.into();
        }
        self
    }

    /// Returns the HTTP status for the result code.
    pub fn status(&self) -> StatusCode {
        match self.error.code {
            ResultCode::UnknownService => StatusCode::NOT_FOUND,
            ResultCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ResultCode::DeadlineTooClose | ResultCode::DeadlinePassed => {
                StatusCode::GATEWAY_TIMEOUT
            }
            ResultCode::StillRunning => StatusCode::CONFLICT,
            code => match code.number() / 1000 {
                3 => StatusCode::BAD_REQUEST,
                4 => StatusCode::SERVICE_UNAVAILABLE,
                5 => StatusCode::BAD_GATEWAY,
                _ => StatusCode::INTERNAL_SERVER_ERROR,
            },
        }
    }

    /// Builds the response.
    pub fn response(&self) -> Response {
        self.response_with(self.status())
    }

    /// Builds the response with another status.
    pub fn response_with(&self, status: StatusCode) -> Response {
        let text = Text {
            outcome: self.outcome,
            code: self.error.code,
            name: self.error.code.name(),
            message: &self.error.message,
            help: &self.error.help,
        };
        let body = serde_json::to_string(&text).unwrap_or_default();
        let mut response = Response::with_body(status, Body::from(body + "\n"));
        let fields = response.headers_mut();
        headers::set(fields, "content-type", "application/json");
        set_outcome(fields, self.outcome, self.error.code);
        if !self.retry {
            headers::set(fields, field::RETRY, "no");
        }
        if self.close {
            let head = response.head_mut();
            head.set_connection_type(ConnectionType::Close);
        }
        response
    }
}

/// A refusal after which the connection is closed without reading from it.
///
/// After a response with `connection: close`, the server continues to read if more bytes are
/// waiting. It stops only if the handler returns an error, so such refusals are errors.
#[derive(Clone, Debug)]
pub struct ClosingRefusal {
    /// What is known about the request, and why it was refused.
    pub refusal: Refusal,
    /// The status of the response. It may differ from that of the result code.
    pub status: StatusCode,
}

impl ClosingRefusal {
    /// Builds the error for a refusal, with the status of its result code.
    pub fn of(refusal: Refusal) -> Self {
        Self {
            status: refusal.status(),
            refusal,
        }
    }
}

impl fmt::Display for ClosingRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.refusal.error.fmt(f)
    }
}

impl std::error::Error for ClosingRefusal {}

impl ResponseError for ClosingRefusal {
    fn error_response(&self) -> Response {
        self.refusal.response_with(self.status)
    }
}

/// Sets the fields that every response carries.
pub fn set_outcome(fields: &mut HeaderMap, outcome: Outcome, code: ResultCode) {
    headers::set(fields, field::OUTCOME, outcome.as_str());
    headers::set_number(fields, field::CODE, u64::from(code.number()));
}

/// Returns whether layers above may retry. If each of 20 layers did, the load of a service that is
/// already full would multiply.
fn retries(code: ResultCode) -> bool {
    !matches!(
        code,
        ResultCode::QueueFull | ResultCode::DeadlineTooClose | ResultCode::RetryBudgetSpent
    )
}

fn describe(code: ResultCode) -> &'static str {
    match code {
        ResultCode::QueueFull => "the queue of the service is full",
        ResultCode::DeadlineTooClose => "the request could not have started before its deadline",
        ResultCode::NoTarget => "no target of the service takes new work",
        ResultCode::ConnectFailed => "no connection to a target could be opened",
        ResultCode::TargetRefused => "the target refused the request before it started",
        ResultCode::RetryBudgetSpent => "the retry budget of the service is spent",
        ResultCode::NotKeyOwner => "this VM does not own the key",
        ResultCode::LeaseLapsed => "the log cannot be read, so this VM may not own the key",
        ResultCode::OwnershipMoving => "the key is moving to another VM",
        ResultCode::NotReady => "this VM has no configuration yet or is stopping",
        ResultCode::BodyNotReplayable => "the body is too large to be sent a second time",
        ResultCode::CallerGone => "the caller went away before the request started",
        ResultCode::ConnectionBroken => "the connection broke after the request was handed over",
        ResultCode::DeadlinePassed => "the deadline passed after the request was handed over",
        ResultCode::AnswerCut => "the response broke off before its end",
        ResultCode::KeyBeforeOwnership => "the key is older than this VM's ownership of it",
        ResultCode::AnswerNotKept => "a request with this key ran before",
        ResultCode::KeyTooOld => "the key is older than the time for which outcomes are kept",
        ResultCode::StillRunning => "a request with this key is still running",
        ResultCode::KeyFromFuture => "the key was created in the future",
        ResultCode::PeerUnavailable => "the home VM of the request cannot be reached",
        code => code.name(),
    }
}
