//! A change of a record, for a reader that knows an earlier version of it.

use serde::Deserialize;
use serde::Serialize;

use crate::json_integer;
use crate::keyed_record::KeyedRecord;
use crate::text_patch::TextPatch;

/// A record of a compacted topic as its difference from an earlier one of the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPatch {
    /// The key of both records.
    pub key: Box<str>,
    /// The position of the record.
    #[serde(deserialize_with = "json_integer::deserialize")]
    pub offset: u64,
    /// The position of the earlier record.
    #[serde(deserialize_with = "json_integer::deserialize")]
    pub base: u64,
    /// The difference of the values.
    pub patch: TextPatch,
}

impl RecordPatch {
    /// Returns the difference of two records, or nothing if one of them is a tombstone.
    pub fn between(base: &KeyedRecord, record: &KeyedRecord) -> Option<Self> {
        let (old, new) = (base.value.as_deref()?, record.value.as_deref()?);
        Some(Self {
            key: record.key.clone(),
            offset: record.offset,
            base: base.offset,
            patch: TextPatch::between(old, new),
        })
    }

    /// Returns the record, or nothing if `known` is not the record that the patch starts from.
    pub fn apply(&self, known: &KeyedRecord) -> Option<KeyedRecord> {
        let old = known
            .value
            .as_deref()
            .filter(|_| known.offset == self.base)?;
        Some(KeyedRecord {
            offset: self.offset,
            key: self.key.clone(),
            value: Some(self.patch.apply(old)?.into()),
        })
    }
}
