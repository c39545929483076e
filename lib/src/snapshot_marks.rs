//! The snapshots that the log contains.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::offset::Offset;
use crate::plan_digest::PlanDigest;
use crate::record::Chunk;

/// The maximum number of incomplete snapshots that are tracked; beyond it the oldest is dropped.
const MAX_PARTIAL: usize = 4;

/// The maximum number of chunks of a snapshot, whose size is then at most 256 MiB.
pub const MAX_CHUNKS: u32 = 4_096;

/// A complete snapshot on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// The offset below which all records are covered by the snapshot. The records from here on
    /// must be retained while this is the newest snapshot.
    pub upto: Offset,
    /// The offset of the snapshot's first chunk.
    pub first: Offset,
    /// The offset of the chunk that completed it.
    pub last: Offset,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Partial {
    upto: Offset,
    first: Offset,
    count: u32,
    seen: BTreeSet<u32>,
}

/// Tracks which snapshots on the log are complete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotMarks {
    partial: BTreeMap<PlanDigest, Partial>,
    newest: Option<SnapshotMark>,
}

impl SnapshotMarks {
    /// Adds a chunk; returns false if it cannot belong to a snapshot.
    pub(crate) fn add(&mut self, offset: Offset, chunk: &Chunk) -> bool {
        let valid = chunk.index < chunk.count && chunk.count <= MAX_CHUNKS && chunk.upto <= offset;
        if !valid {
            return false;
        }
        let partial = self.partial.entry(chunk.digest).or_insert_with(|| Partial {
            upto: chunk.upto,
            first: offset,
            count: chunk.count,
            seen: BTreeSet::new(),
        });
        if partial.upto != chunk.upto || partial.count != chunk.count {
            return false;
        }
        partial.seen.insert(chunk.index);
        if partial.seen.len() == partial.count as usize {
            self.complete(chunk.digest, offset);
        }
        if self.partial.len() > MAX_PARTIAL {
            let oldest = self.partial.iter().min_by_key(|(_, partial)| partial.first);
            if let Some(digest) = oldest.map(|(digest, _)| *digest) {
                self.partial.remove(&digest);
            }
        }
        true
    }

    fn complete(&mut self, digest: PlanDigest, last: Offset) {
        let Some(partial) = self.partial.remove(&digest) else {
            return;
        };
        if self.newest.is_none_or(|newest| newest.upto < partial.upto) {
            self.newest = Some(SnapshotMark {
                upto: partial.upto,
                first: partial.first,
                last,
            });
        }
    }

    /// Returns the complete snapshot that covers the most records.
    pub(crate) fn newest(&self) -> Option<SnapshotMark> {
        self.newest
    }
}
