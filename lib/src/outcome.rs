//! What a response tells the caller about the execution of its request.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// What is known about whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The response is the target's own and complete.
    Whole,
    /// It is proven that no target ran the request, so it is safe to send it again.
    NotRun,
    /// The request may have run; only the state of the target can tell.
    MayHaveRun,
}

impl Outcome {
    /// Returns the value of the `carobshore-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Outcome {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let all = [Self::Whole, Self::NotRun, Self::MayHaveRun];
        all.into_iter()
            .find(|outcome| outcome.as_str() == text)
            .ok_or_else(|| {
                Error::new(
                    ResultCode::BadHeader,
                    format!("`{}` is not a valid outcome", text.escape_debug()),
                    "use `whole`, `not-run` or `may-have-run`",
                )
            })
    }
}
