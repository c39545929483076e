//! A record of a compacted topic of the store, which retains the newest record of each key.

use serde::Deserialize;
use serde::Serialize;

use crate::json_integer;

/// A record of a compacted topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// The position of the record in the topic.
    #[serde(deserialize_with = "json_integer::deserialize")]
    pub offset: u64,
    /// The key; a newer record of the same key supersedes this one.
    pub key: Box<str>,
    /// The value; `None` for a tombstone. Bytes that are not valid UTF-8 are replaced, so that such
    /// a value is malformed for its reader.
    pub value: Option<Box<str>>,
}

/// Returns the records at or after the offset `next`, up to which records are known. Overlapping
/// calls return known records again, and applying an old one again could undo a newer one.
pub fn unseen(mut records: Vec<KeyedRecord>, next: u64) -> Vec<KeyedRecord> {
    records.retain(|record| record.offset >= next);
    records
}
