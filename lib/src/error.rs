//! The error type of the library.

use std::fmt;

use serde::Serialize;

use crate::result_code::ResultCode;

/// An error with its result code, a message, and advice on what to do next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Error {
    /// The result code, which `docs/result-codes.md` explains.
    pub code: ResultCode,
    /// What went wrong, with the offending value.
    pub message: Box<str>,
    /// The allowed values, or what to do next.
    pub help: Box<str>,
}

/// A result whose error is an [`Error`] unless stated otherwise.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Builds an error from its parts.
    pub fn new(code: ResultCode, message: impl Into<Box<str>>, help: impl Into<Box<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            help: help.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}; {}", self.code, self.message, self.help)
    }
}

impl std::error::Error for Error {}
