//! The most recently applied records, kept for peers that cannot read the log.

use std::collections::VecDeque;

use crate::log_page::LogPage;
use crate::log_page::LogRecord;
use crate::offset::Offset;

/// Consecutive records up to the applied offset, bounded in number and total size.
#[derive(Clone, Debug)]
pub(crate) struct RecentRecords {
    records: VecDeque<LogRecord>,
    bytes: usize,
    max_records: usize,
    max_bytes: usize,
}

impl RecentRecords {
    /// Returns an empty buffer with the given bounds.
    pub(crate) fn new(max_records: usize, max_bytes: usize) -> Self {
        Self {
            records: VecDeque::new(),
            bytes: 0,
            max_records,
            max_bytes,
        }
    }

    /// Adds the record that follows the last one, and drops the oldest ones beyond the bounds. Any
    /// other record is a repeated one and is ignored.
    pub(crate) fn push(&mut self, record: LogRecord) {
        let last = self.records.back();
        if last.is_some_and(|last| last.offset.next() != record.offset) {
            return;
        }
        self.bytes += record.data.len();
        self.records.push_back(record);
        while self.records.len() > self.max_records || self.bytes > self.max_bytes {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.bytes -= oldest.data.len();
        }
    }

    /// Removes all records, because the next one will not follow the last.
    pub(crate) fn clear(&mut self) {
        self.records.clear();
        self.bytes = 0;
    }

    /// Returns up to `max` records from the offset on. `first` of the page is the offset of the
    /// oldest record that is kept; if that is higher than `from`, the page has no records.
    pub(crate) fn page(&self, from: Offset, applied: Offset, max: usize) -> LogPage {
        let oldest = self.records.front();
        let first = oldest.map_or(applied, |record| record.offset);
        let wanted = self.records.iter().filter(|record| record.offset >= from);
        LogPage {
            first,
            next: applied,
            records: match from < first {
                true => Vec::new(),
                false => wanted.take(max).cloned().collect(),
            },
        }
    }
}
