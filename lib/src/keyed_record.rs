//! A record of a topic of the store that keeps the newest record of each key.

use serde::Deserialize;
use serde::Serialize;

/// A record with its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// The offset.
    pub offset: u64,
    /// The key.
    pub key: Box<str>,
    /// The value; absent if the key was dropped. Bytes that are not text are replaced, so that
    /// such a value is malformed for its reader.
    pub value: Option<Box<str>>,
}

/// Returns the records that come after what is known up to the offset `next`. Calls that overlap
/// answer with records that are known already; to take an old one again could undo a newer one.
pub fn unseen(mut records: Vec<KeyedRecord>, next: u64) -> Vec<KeyedRecord> {
    records.retain(|record| record.offset >= next);
    records
}
