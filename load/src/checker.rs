//! Decides whether a response is the complete response to the request that was sent.

use std::fmt;

use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::ResultCode;
use carobshore_standin::blob;
use carobshore_standin::target_body::Echo;
use serde::Serialize;

/// The longest echo that is kept for the check.
const MAX_ECHO: usize = 64 * 1024;

/// What is known before the request is sent.
#[derive(Clone, Debug)]
pub struct Expected {
    /// The request's `x-request-id`.
    pub id: Box<str>,
    /// The body of a successful response.
    pub body: ExpectedBody,
    /// Whether the response passes an entry VM, which adds the outcome headers.
    pub has_outcome: bool,
}

/// The body of a successful response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpectedBody {
    /// An echo of the request's body.
    Echo {
        /// The length of the request's body.
        bytes: u64,
        /// The digest of the request's body.
        digest: Box<str>,
    },
    /// The blob that belongs to the request's id.
    Blob {
        /// The length of the response's body.
        size: u64,
    },
}

/// The head of a response, with the headers that matter.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// `x-request-id`.
    pub id: Option<Box<str>>,
    /// `target-id`.
    pub target: Option<Box<str>>,
    /// `carobshore-outcome`.
    pub outcome: Option<Box<str>>,
    /// `carobshore-code`.
    pub code: Option<Box<str>>,
}

/// What a response is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The complete response to the own request.
    Whole,
    /// A complete error response of the target.
    TargetError,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The response broke off; the caller can tell that it did.
    Cut,
    /// No response arrived.
    Missing,
    /// The response belongs to another request.
    MixedUp,
    /// The response looks complete, but its body is not the expected one.
    WrongBody,
    /// The outcome headers are missing or contradict each other.
    BadOutcome,
}

impl Verdict {
    /// Returns whether the response breaks an invariant, whatever faults there were.
    pub fn is_violation(self) -> bool {
        matches!(self, Self::MixedUp | Self::WrongBody | Self::BadOutcome)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Whole => "whole",
            Self::TargetError => "target-error",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Cut => "cut",
            Self::Missing => "missing",
            Self::MixedUp => "mixed-up",
            Self::WrongBody => "wrong-body",
            Self::BadOutcome => "bad-outcome",
        })
    }
}

/// Takes in a response piece by piece.
#[derive(Debug)]
pub struct Checker {
    expected: Expected,
    head: Option<Head>,
    kept: Vec<u8>,
    received: u64,
    is_blob_wrong: bool,
}

impl Checker {
    /// Starts the check of the response to one request.
    pub fn new(expected: Expected) -> Self {
        Self {
            expected,
            head: None,
            kept: Vec::new(),
            received: 0,
            is_blob_wrong: false,
        }
    }

    /// Takes in the head.
    pub fn head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Takes in a part of the body.
    pub fn chunk(&mut self, chunk: &[u8]) {
        let from = self.received;
        self.received += chunk.len() as u64;
        match self.expected.body {
            ExpectedBody::Blob { .. } => {
                let expected = blob::chunk(&self.expected.id, from, chunk.len());
                self.is_blob_wrong |= expected != chunk;
            }
            ExpectedBody::Echo { .. } => {
                let room = MAX_ECHO - self.kept.len();
                self.kept.extend_from_slice(&chunk[..chunk.len().min(room)]);
            }
        }
    }

    /// Judges a response that ended, or broke off when `is_complete` is false.
    pub fn end(&self, is_complete: bool) -> Verdict {
        let Some(head) = &self.head else {
            return Verdict::Missing;
        };
        if !is_complete {
            return Verdict::Cut;
        }
        if !self.expected.has_outcome {
            return self.judge_direct(head);
        }
        match parse_outcome(head) {
            None => Verdict::BadOutcome,
            Some(Outcome::NotRun) => Verdict::NotRun,
            Some(Outcome::MayHaveRun) => Verdict::MayHaveRun,
            Some(Outcome::Whole) => self.judge_whole(head),
        }
    }

    fn judge_direct(&self, head: &Head) -> Verdict {
        match head.status {
            503 => Verdict::NotRun,
            _ => self.judge_whole(head),
        }
    }

    fn judge_whole(&self, head: &Head) -> Verdict {
        let has_other_id = head.id.as_ref().is_some_and(|id| *id != self.expected.id);
        if has_other_id {
            return Verdict::MixedUp;
        }
        if head.status >= 400 {
            return Verdict::TargetError;
        }
        match &self.expected.body {
            ExpectedBody::Echo { bytes, digest } => self.judge_echo(*bytes, digest),
            ExpectedBody::Blob { size } if self.received == *size && !self.is_blob_wrong => {
                Verdict::Whole
            }
            ExpectedBody::Blob { .. } => Verdict::WrongBody,
        }
    }

    fn judge_echo(&self, bytes: u64, digest: &str) -> Verdict {
        let Ok(echo) = serde_json::from_slice::<Echo>(&self.kept) else {
            return Verdict::WrongBody;
        };
        if echo.id != self.expected.id {
            Verdict::MixedUp
        } else if echo.bytes != bytes || *echo.digest != *digest {
            Verdict::WrongBody
        } else {
            Verdict::Whole
        }
    }
}

/// Returns the outcome if its headers are present and agree with each other and the status.
fn parse_outcome(head: &Head) -> Option<Outcome> {
    let outcome: Outcome = head.outcome.as_ref()?.parse().ok()?;
    let number: u16 = head.code.as_ref()?.parse().ok()?;
    let code = ResultCode::ALL
        .iter()
        .find(|code| code.number() == number)?;
    let group = code.number() / 1000;
    let agrees = match outcome {
        Outcome::Whole => *code == ResultCode::Ok,
        Outcome::NotRun => matches!(group, 3 | 4 | 6) && head.status >= 400,
        Outcome::MayHaveRun => group == 5 && head.status >= 400,
    };
    agrees.then_some(outcome)
}
