//! A copy of a compacted topic of the store, from which other VMs read changes.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::json_integer;
use crate::keyed_record::KeyedRecord;
use crate::record_patch::RecordPatch;
use crate::store_era::StoreEra;
use crate::store_position::StorePosition;

/// The maximum number of tombstones that are kept for VMs that have not read them yet.
const MAX_TOMBSTONES: usize = 512;
/// The number of earlier versions that are kept of a large record, for VMs that know one of them.
const MAX_EARLIER: usize = 4;
/// Size from which on a record counts as large, in bytes.
const LARGE: usize = 2 << 10;

/// The changes of a topic since an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The offset up to which the topic is known.
    #[serde(deserialize_with = "json_integer::deserialize")]
    pub next: u64,
    /// The era of all offsets; 0 from VMs of earlier releases.
    #[serde(default)]
    pub era: StoreEra,
    /// Whether the records are the complete topic, so that all other keys are deleted.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The newest record of each key that has changed.
    pub records: Vec<KeyedRecord>,
    /// Further changed records, as differences from what the reader knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub patches: Vec<RecordPatch>,
}

impl Changes {
    /// Returns the position up to which the topic is known.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.next)
    }
}

/// The newest record of each key of a topic, including recent tombstones.
#[derive(Clone, Debug, Default)]
pub struct StoreMirror {
    records: BTreeMap<Box<str>, KeyedRecord>,
    /// Earlier versions of large records, the last one at the back.
    earlier: BTreeMap<Box<str>, VecDeque<KeyedRecord>>,
    next: StorePosition,
    /// The offset from which on changes are complete. For lower offsets only the complete topic can
    /// be returned, because older tombstones were dropped.
    complete_from: u64,
    loaded: bool,
}

impl StoreMirror {
    /// Replaces the copy by the complete topic, read up to `next`. Changes since the last read stay
    /// available, so that readers need not read the complete topic as well, unless that was in an
    /// earlier era.
    pub fn load(&mut self, records: Vec<KeyedRecord>, next: StorePosition) {
        let keyed = records
            .into_iter()
            .map(|record| (record.key.clone(), record));
        let replaced = std::mem::replace(&mut self.records, keyed.collect());
        let continues = next.era == self.next.era;
        if !continues || !self.loaded || next <= self.next {
            self.complete_from = next.offset.0;
        } else {
            self.add_tombstones(&replaced, next.offset.0);
        }
        match continues {
            true => replaced
                .into_values()
                .for_each(|record| self.keep_earlier(record)),
            // Offsets of an earlier era do not tell which records its readers know.
            false => self.earlier.clear(),
        }
        self.next = next;
        self.loaded = true;
        self.trim_tombstones();
    }

    /// Adds a tombstone for each key that is gone. Its own has not been read: it is one of those
    /// between the last read and `next`.
    fn add_tombstones(&mut self, replaced: &BTreeMap<Box<str>, KeyedRecord>, next: u64) {
        for (key, record) in replaced {
            self.records.entry(key.clone()).or_insert(KeyedRecord {
                offset: match record.value {
                    Some(_) => next - 1,
                    None => record.offset,
                },
                key: key.clone(),
                value: None,
            });
        }
    }

    /// Applies the records that follow, read up to `next` in the same era.
    pub fn extend(&mut self, records: impl IntoIterator<Item = KeyedRecord>, next: StorePosition) {
        for record in newest_of_each(records) {
            if let Some(replaced) = self.records.insert(record.key.clone(), record) {
                self.keep_earlier(replaced);
            }
        }
        self.next = self.next.max(next);
        self.trim_tombstones();
    }

    /// Returns the position up to which the topic is known; `None` before it was loaded.
    pub fn next(&self) -> Option<StorePosition> {
        self.loaded.then_some(self.next)
    }

    /// Returns the changes for a reader that knows the topic up to `from`: all records if it knows
    /// nothing, or nothing of this era.
    pub fn since(&self, from: Option<StorePosition>) -> Changes {
        let complete_from = StorePosition::new(self.next.era, self.complete_from);
        let known = from.filter(|from| (complete_from..=self.next).contains(from));
        let complete = known.is_none();
        let wanted = |record: &&KeyedRecord| match known {
            None => record.value.is_some(),
            Some(from) => record.offset >= from.offset.0,
        };
        let mut records: Vec<_> = self.records.values().filter(wanted).cloned().collect();
        records.sort_by_key(|record| record.offset);
        Changes {
            next: self.next.offset.0,
            era: self.next.era,
            complete,
            records,
            patches: Vec::new(),
        }
    }

    /// Returns the same changes as [`Self::since`], with large records as differences from what the
    /// reader knows.
    pub fn patches_since(&self, from: Option<StorePosition>) -> Changes {
        let mut changes = self.since(from);
        let Some(from) = from.filter(|_| !changes.complete) else {
            return changes;
        };
        let from = from.offset.0;
        let patches = changes
            .records
            .iter()
            .map(|record| self.patch(from, record));
        let patches: Vec<Option<RecordPatch>> = patches.collect();
        let mut kept = patches.iter().map(Option::is_none);
        changes.records.retain(|_| kept.next().unwrap_or(true));
        changes.patches = patches.into_iter().flatten().collect();
        changes
    }

    /// Returns the changes with all records whole, or nothing if one of them is a difference from a
    /// record that is not known here.
    pub fn restore(&self, mut changes: Changes) -> Option<Changes> {
        for patch in std::mem::take(&mut changes.patches) {
            let known = self.records.get(&patch.key)?;
            changes.records.push(patch.apply(known)?);
        }
        changes.records.sort_by_key(|record| record.offset);
        Some(changes)
    }

    /// Returns a large record as its difference from the one that a reader of the topic up to `from`
    /// knows.
    fn patch(&self, from: u64, record: &KeyedRecord) -> Option<RecordPatch> {
        let earlier = self.earlier.get(&record.key)?;
        let base = earlier.iter().rev().find(|record| record.offset < from)?;
        RecordPatch::between(base, record)
    }

    /// Keeps a record that a newer one has replaced, if it is large.
    fn keep_earlier(&mut self, record: KeyedRecord) {
        let is_large = record
            .value
            .as_ref()
            .is_some_and(|value| value.len() >= LARGE);
        let current = self.records.get(&record.key);
        if !is_large || current.is_some_and(|current| current.offset == record.offset) {
            return;
        }
        let earlier = self.earlier.entry(record.key.clone()).or_default();
        if earlier.len() == MAX_EARLIER {
            earlier.pop_front();
        }
        earlier.push_back(record);
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

/// Returns the last record of each key.
fn newest_of_each(
    records: impl IntoIterator<Item = KeyedRecord>,
) -> impl Iterator<Item = KeyedRecord> {
    let keyed = records
        .into_iter()
        .map(|record| (record.key.clone(), record));
    keyed.collect::<BTreeMap<_, _>>().into_values()
}
