//! A copy of a topic of the store, from which other VMs take changes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::keyed_record::KeyedRecord;

/// Dropped keys that are remembered, for VMs that have not heard of them.
const MOST_DROPPED: usize = 512;

/// What has changed since an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The offset behind all that is known.
    pub next: u64,
    /// Whether the records are all that exist, so that keys that are not among them are dropped.
    pub whole: bool,
    /// The newest record of each key that has changed.
    pub records: Vec<KeyedRecord>,
}

/// The newest record of each key of a topic.
#[derive(Clone, Debug, Default)]
pub struct StoreMirror {
    records: BTreeMap<Box<str>, KeyedRecord>,
    next: u64,
    /// Changes from this offset on are complete. Before it, only the whole state can be given.
    complete_from: u64,
    loaded: bool,
}

impl StoreMirror {
    /// Takes over the whole state, which was read up to `next`.
    pub fn load(&mut self, records: Vec<KeyedRecord>, next: u64) {
        let keyed = records
            .into_iter()
            .map(|record| (record.key.clone(), record));
        self.records = keyed.collect();
        self.next = next;
        self.complete_from = next;
        self.loaded = true;
    }

    /// Takes over records that follow, which were read up to `next`.
    pub fn extend(&mut self, records: impl IntoIterator<Item = KeyedRecord>, next: u64) {
        for record in records {
            self.records.insert(record.key.clone(), record);
        }
        self.next = self.next.max(next);
        self.forget_dropped();
    }

    /// Returns the offset behind all that is known, once the whole state was loaded.
    pub fn next(&self) -> Option<u64> {
        self.loaded.then_some(self.next)
    }

    /// Returns what has changed from an offset on.
    pub fn since(&self, from: u64) -> Changes {
        let whole = from < self.complete_from || from > self.next;
        let wanted = |record: &&KeyedRecord| match whole {
            true => record.value.is_some(),
            false => record.offset >= from,
        };
        let mut records: Vec<_> = self.records.values().filter(wanted).cloned().collect();
        records.sort_by_key(|record| record.offset);
        Changes {
            next: self.next,
            whole,
            records,
        }
    }

    /// Forgets the oldest dropped keys when there are too many.
    fn forget_dropped(&mut self) {
        let dropped = self
            .records
            .values()
            .filter(|record| record.value.is_none());
        let mut offsets: Vec<u64> = dropped.map(|record| record.offset).collect();
        if offsets.len() <= MOST_DROPPED {
            return;
        }
        offsets.sort_unstable();
        let upto = offsets[offsets.len() - MOST_DROPPED / 2];
        self.records
            .retain(|_, record| record.value.is_some() || record.offset >= upto);
        self.complete_from = self.complete_from.max(upto);
    }
}
