//! The exit codes of the client.

use std::process::ExitCode;

use carobshore_lib::prelude::*;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The system refused, for example because another confirm came first.
    Refused = 1,
    /// An argument, variable or file is wrong.
    Usage = 2,
    /// The log or a VM cannot be reached; the command may be repeated.
    Unreachable = 3,
}

/// The thousands digit of the result codes for invalid settings and usage.
const USAGE_CODE_GROUP: u16 = 1;

impl Exit {
    /// Maps an error to an exit code. An error without a result code counts as wrong usage.
    pub(crate) fn from_report(report: &eyre::Report) -> Self {
        let Some(error) = report.downcast_ref::<Error>() else {
            return Self::Usage;
        };
        match error.code {
            ResultCode::LogUnavailable | ResultCode::PeerUnavailable => Self::Unreachable,
            code if code.number() / 1_000 == USAGE_CODE_GROUP => Self::Usage,
            ResultCode::BadRecordId => Self::Usage,
            _ => Self::Refused,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
