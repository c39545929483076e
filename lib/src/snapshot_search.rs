//! Searches the retained records for a snapshot, from the end of the log backwards.

use crate::error::Error;
use crate::log_page::LogPage;
use crate::offset::Offset;
use crate::replicated_state::ReplicatedState;
use crate::snapshot_scan::SnapshotScan;

/// How much further the search goes back after a part without a usable snapshot.
const GROWTH: u64 = 4;

/// What a search found out from a page.
#[derive(Debug)]
pub(crate) enum Found {
    /// The search goes on at the offset that [`SnapshotSearch::at`] returns.
    Nothing,
    /// The search has ended.
    End {
        /// The fold of the newest usable snapshot.
        state: Option<Box<ReplicatedState>>,
        /// Why a complete snapshot could not be used.
        error: Option<Error>,
    },
}

/// Reads the last part of the log first, and a larger one when it holds no usable snapshot.
///
/// A new snapshot is appended after a bounded number of records, so that the last part has one as
/// a rule. A log of a day, with all its snapshots, may be 100 MB.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSearch {
    first: Offset,
    start: Option<Offset>,
    at: Offset,
    span: u64,
    scan: SnapshotScan,
}

impl SnapshotSearch {
    /// Starts a search among the records from `first` on; `span` is the size of the last part.
    pub(crate) fn new(first: Offset, span: u64) -> Self {
        Self {
            first,
            start: None,
            at: first,
            span: span.max(1),
            scan: SnapshotScan::default(),
        }
    }

    /// Returns from where the next page is needed.
    pub(crate) fn at(&self) -> Offset {
        self.at
    }

    /// Returns how many records the next page may have: one while only the log's end is wanted.
    pub(crate) fn limit(&self, max: u32) -> u32 {
        if self.start.is_some() { max } else { 1 }
    }

    /// Takes the page that starts at [`Self::at`].
    pub(crate) fn page(&mut self, page: &LogPage) -> Found {
        self.first = self.first.max(page.first);
        if self.start.is_none() && page.next.0 > self.first.0 + self.span {
            self.start_part(page.next);
            return Found::Nothing;
        }
        self.start.get_or_insert(self.at);
        let from = self.at;
        for record in &page.records {
            if record.offset != self.at {
                break;
            }
            self.scan.add(record.offset, &record.data);
            self.at = record.offset.next();
        }
        // Without progress the log is faulty; the search then ends with what it has.
        if self.at > from && self.at < page.next {
            return Found::Nothing;
        }
        self.end_part(page.next)
    }

    fn start_part(&mut self, next: Offset) {
        let start = Offset(next.0.saturating_sub(self.span)).max(self.first);
        self.start = Some(start);
        self.at = start;
        self.scan = SnapshotScan::default();
    }

    fn end_part(&mut self, next: Offset) -> Found {
        let (state, error) = std::mem::take(&mut self.scan).finish();
        let usable = state.filter(|state| state.applied() >= self.first);
        let whole = self.start.is_none_or(|start| start <= self.first);
        if usable.is_some() || whole {
            let state = usable.map(Box::new);
            return Found::End { state, error };
        }
        self.span = self.span.saturating_mul(GROWTH);
        self.start_part(next);
        Found::Nothing
    }
}
