//! Searches the log for the newest usable snapshot, from its end backwards.

use crate::error::Error;
use crate::log_page::LogPage;
use crate::offset::Offset;
use crate::replicated_state::ReplicatedState;
use crate::snapshot_scan::SnapshotScan;

/// The factor by which the searched range grows if it has no usable snapshot.
const GROWTH: u64 = 4;

/// The progress of a search after a page.
#[derive(Debug)]
pub(crate) enum SearchProgress {
    /// The search continues with the page at [`SnapshotSearch::at`].
    Continue,
    /// The search has ended.
    Finished {
        /// The state of the newest usable snapshot.
        state: Option<Box<ReplicatedState>>,
        /// Why a complete snapshot could not be used.
        error: Option<Error>,
    },
}

/// Reads a range at the end of the log first, and a larger one if it has no usable snapshot.
///
/// Snapshots are appended after a bounded number of records, so that the first range usually has
/// one. Reading everything would take too long: the log of a day, with all its snapshots, may be
/// 100 MB.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSearch {
    first: Offset,
    /// The start of the range, known once the end of the log is.
    start: Option<Offset>,
    at: Offset,
    /// The number of records in the range.
    span: u64,
    scan: SnapshotScan,
}

impl SnapshotSearch {
    /// Starts a search among the records from `first` on; `span` is the size of the first range.
    pub(crate) fn new(first: Offset, span: u64) -> Self {
        Self {
            first,
            start: None,
            at: first,
            span: span.max(1),
            scan: SnapshotScan::default(),
        }
    }

    /// Returns the first offset of the next page.
    pub(crate) fn at(&self) -> Offset {
        self.at
    }

    /// Returns the maximum number of records of the next page: 1 for the first, which only serves
    /// to find the end of the log.
    pub(crate) fn limit(&self, max: u32) -> u32 {
        if self.start.is_some() { max } else { 1 }
    }

    /// Processes the page that starts at [`Self::at`].
    pub(crate) fn page(&mut self, page: &LogPage) -> SearchProgress {
        self.first = self.first.max(page.first);
        if self.start.is_none() && page.next.0 > self.first.0 + self.span {
            self.start_range(page.next);
            return SearchProgress::Continue;
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
        // The range ends with the log, or where a faulty log returns no further records.
        if self.at > from && self.at < page.next {
            return SearchProgress::Continue;
        }
        self.end_range(page.next)
    }

    fn start_range(&mut self, next: Offset) {
        let start = Offset(next.0.saturating_sub(self.span)).max(self.first);
        self.start = Some(start);
        self.at = start;
        self.scan = SnapshotScan::default();
    }

    fn end_range(&mut self, next: Offset) -> SearchProgress {
        let (state, error) = std::mem::take(&mut self.scan).finish();
        let usable = state.filter(|state| state.applied() >= self.first);
        let searched_all = self.start.is_none_or(|start| start <= self.first);
        if usable.is_some() || searched_all {
            let state = usable.map(Box::new);
            return SearchProgress::Finished { state, error };
        }
        self.span = self.span.saturating_mul(GROWTH);
        self.start_range(next);
        SearchProgress::Continue
    }
}
