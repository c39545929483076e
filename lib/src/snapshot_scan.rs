//! Finds the newest usable snapshot in a range of the log.

use std::collections::BTreeMap;

use crate::error::Error;
use crate::offset::Offset;
use crate::plan_digest::PlanDigest;
use crate::record::Body;
use crate::record::Record;
use crate::replicated_state::ReplicatedState;
use crate::snapshot::Snapshot;

/// The maximum number of incomplete sets in memory; beyond it the one that began first is dropped.
const MAX_SETS: usize = 4;

/// The chunks of an incomplete snapshot.
#[derive(Clone, Debug)]
struct Set {
    first: Offset,
    count: u32,
    records: BTreeMap<u32, Record>,
}

/// Collects chunks and decodes each set as soon as it is complete, so that at most one state and a
/// few incomplete sets are in memory.
#[derive(Clone, Debug, Default)]
pub struct SnapshotScan {
    sets: BTreeMap<PlanDigest, Set>,
    best: Option<ReplicatedState>,
    error: Option<Error>,
}

impl SnapshotScan {
    /// Adds one record of the log; records other than chunks are ignored.
    pub fn add(&mut self, offset: Offset, text: &str) {
        let Ok(record) = Record::parse(text) else {
            return;
        };
        let Body::Snapshot(chunk) = &record.body else {
            return;
        };
        let known = self.best.as_ref();
        if known.is_some_and(|state| state.applied() >= chunk.upto) {
            return;
        }
        let (digest, index) = (chunk.digest, chunk.index);
        let set = self.sets.entry(digest).or_insert_with(|| Set {
            first: offset,
            count: chunk.count,
            records: BTreeMap::new(),
        });
        set.records.insert(index, record);
        if set.records.len() >= set.count as usize {
            self.complete(digest);
        }
        self.drop_oldest();
    }

    fn complete(&mut self, digest: PlanDigest) {
        let Some(set) = self.sets.remove(&digest) else {
            return;
        };
        let records: Vec<_> = set.records.into_values().collect();
        match Snapshot::decode(&records) {
            Ok(state) => self.best = Some(state),
            Err(error) => self.error = Some(error),
        }
    }

    fn drop_oldest(&mut self) {
        if self.sets.len() <= MAX_SETS {
            return;
        }
        let oldest = self.sets.iter().min_by_key(|(_, set)| set.first);
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.sets.remove(&digest);
        }
    }

    /// Returns the state of the newest usable snapshot, and the last error if a complete set could
    /// not be decoded.
    pub fn finish(self) -> (Option<ReplicatedState>, Option<Error>) {
        (self.best, self.error)
    }
}
