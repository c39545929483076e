//! What a read of the log returns.

use serde::Deserialize;
use serde::Serialize;

use crate::offset::Offset;

/// The text of a record at its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The position in the log.
    pub offset: Offset,
    /// The record as its writer sent it.
    pub data: Box<str>,
}

/// A part of the log, from the offset that was asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The offset of the oldest record that is retained.
    pub first: Offset,
    /// The offset that the next appended record gets.
    pub next: Offset,
    /// The records in the order of their offsets, without holes.
    pub records: Vec<LogRecord>,
}
