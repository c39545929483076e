//! The result of a read of the log.

use serde::Deserialize;
use serde::Serialize;

use crate::offset::Offset;

/// An encoded record and its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The position of the record in the log.
    pub offset: Offset,
    /// The encoded record, unchanged from its writer.
    pub data: Box<str>,
}

/// Consecutive records of the log from the requested offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The offset of the oldest record that the log retains.
    pub first: Offset,
    /// The offset that the next appended record gets.
    pub next: Offset,
    /// The records in the order of their offsets, without gaps.
    pub records: Vec<LogRecord>,
}
