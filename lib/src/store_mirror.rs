//! A copy of a compacted topic of the store, from which other VMs read changes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::keyed_record::KeyedRecord;

/// The maximum number of tombstones that are kept for VMs that have not read them yet.
const MAX_TOMBSTONES: usize = 512;

/// The changes of a topic since an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The offset up to which the topic is known.
    pub next: u64,
    /// Whether the records are the complete topic, so that all other keys are deleted.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The newest record of each key that has changed.
    pub records: Vec<KeyedRecord>,
}

/// The newest record of each key of a topic, including recent tombstones.
#[derive(Clone, Debug, Default)]
pub struct StoreMirror {
    records: BTreeMap<Box<str>, KeyedRecord>,
    next: u64,
    /// The offset from which on changes are complete. For lower offsets only the complete topic can
    /// be returned, because older tombstones were dropped.
    complete_from: u64,
    loaded: bool,
}

impl StoreMirror {
    /// Replaces the copy by the complete topic, read up to `next`.
    pub fn load(&mut self, records: Vec<KeyedRecord>, next: u64) {
        let keyed = records
            .into_iter()
            .map(|record| (record.key.clone(), record));
        self.records = keyed.collect();
        self.next = next;
        self.complete_from = next;
        self.loaded = true;
    }

    /// Applies the records that follow, read up to `next`.
    pub fn extend(&mut self, records: impl IntoIterator<Item = KeyedRecord>, next: u64) {
        for record in records {
            self.records.insert(record.key.clone(), record);
        }
        self.next = self.next.max(next);
        self.trim_tombstones();
    }

    /// Returns the offset up to which the topic is known; `None` before it was loaded.
    pub fn next(&self) -> Option<u64> {
        self.loaded.then_some(self.next)
    }

    /// Returns the changes from an offset on.
    pub fn since(&self, from: u64) -> Changes {
        let complete = from < self.complete_from || from > self.next;
        let wanted = |record: &&KeyedRecord| match complete {
            true => record.value.is_some(),
            false => record.offset >= from,
        };
        let mut records: Vec<_> = self.records.values().filter(wanted).cloned().collect();
        records.sort_by_key(|record| record.offset);
        Changes {
            next: self.next,
            complete,
            records,
        }
    }

    /// Drops the oldest tombstones if there are too many.
    fn trim_tombstones(&mut self) {
        let tombstones = self
            .records
            .values()
            .filter(|record| record.value.is_none());
        let mut offsets: Vec<u64> = tombstones.map(|record| record.offset).collect();
        if offsets.len() <= MAX_TOMBSTONES {
            return;
        }
        offsets.sort_unstable();
        let upto = offsets[offsets.len() - MAX_TOMBSTONES / 2];
        self.records
            .retain(|_, record| record.value.is_some() || record.offset >= upto);
        self.complete_from = self.complete_from.max(upto);
    }
}
