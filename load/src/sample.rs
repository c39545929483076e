//! The result of one request.

use std::time::Duration;

use crate::arrival::Kind;
use crate::checker::Verdict;

/// What is kept of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The kind of request.
    pub kind: Kind,
    /// The id by which targets count executions.
    pub execution: Box<str>,
    /// How long after its scheduled time the request was handed to the client.
    pub delay: Duration,
    /// The time from the scheduled time to the end of the response.
    pub latency: Duration,
    /// What the response is worth.
    pub verdict: Verdict,
    /// The result code of the entry VM.
    pub code: Option<Box<str>>,
    /// The target that answered.
    pub target: Option<Box<str>>,
}
