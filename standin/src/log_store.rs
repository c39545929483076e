//! In-memory records of the log, with retention and a rate limit on appends.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::log_settings::LogSettings;

/// Size of the append burst, as a fraction of the appends allowed per second.
const BURST_SHARE: f64 = 0.2;

/// The append rate limit is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttled;

/// The requested offset is older than the oldest record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Expired {
    /// The oldest offset that can be read.
    pub first: u64,
    /// The offset of the next append.
    pub next: u64,
}

/// A record as returned by a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReadRecord {
    /// The record's position.
    pub offset: u64,
    /// The record as it was appended.
    pub data: Box<str>,
}

/// The result of a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Page {
    /// The oldest offset that can be read.
    pub first: u64,
    /// The offset of the next append.
    pub next: u64,
    /// The records from the requested offset on.
    pub records: Vec<ReadRecord>,
}

#[derive(Debug)]
struct StoredRecord {
    at: Instant,
    data: Box<str>,
}

/// Records in memory with consecutive offsets.
#[derive(Debug)]
pub struct LogStore {
    first: u64,
    records: VecDeque<StoredRecord>,
    capacity: usize,
    age: Duration,
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl LogStore {
    /// Builds an empty log.
    pub fn new(settings: &LogSettings, now: Instant) -> Self {
        let rate = f64::from(settings.appends);
        Self {
            first: 0,
            records: VecDeque::new(),
            capacity: settings.records.max(1),
            age: settings.age,
            rate,
            tokens: Self::max_tokens(rate),
            refilled: now,
        }
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, now: Instant, data: Box<str>) -> Result<u64, Throttled> {
        self.take_token(now)?;
        self.records.push_back(StoredRecord { at: now, data });
        self.expire(now);
        Ok(self.next_offset() - 1)
    }

    /// Reads up to `max` records from the offset `from` on.
    pub fn read(&mut self, now: Instant, from: u64, max: usize) -> Result<Page, Expired> {
        self.expire(now);
        let (first, next) = (self.first, self.next_offset());
        if from < first {
            return Err(Expired { first, next });
        }
        let skip = usize::try_from(from - first).unwrap_or(usize::MAX);
        let stored = self.records.iter().skip(skip).take(max);
        let records = stored
            .zip(from..)
            .map(|(record, offset)| ReadRecord {
                offset,
                data: record.data.clone(),
            })
            .collect();
        Ok(Page {
            first,
            next,
            records,
        })
    }

    /// Removes all records before `offset`, as the platform's retention policy does.
    pub fn expire_before(&mut self, offset: u64) {
        while self.first < offset && self.records.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Returns the offset of the next append.
    pub fn next_offset(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, now: Instant) {
        let too_many = self.records.len().saturating_sub(self.capacity);
        let too_old = self
            .records
            .iter()
            .take_while(|record| now.saturating_duration_since(record.at) > self.age)
            .count();
        self.expire_before(self.first + too_many.max(too_old) as u64);
    }

    fn take_token(&mut self, now: Instant) -> Result<(), Throttled> {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + elapsed * self.rate).min(Self::max_tokens(self.rate));
        if self.tokens < 1.0 {
            return Err(Throttled);
        }
        self.tokens -= 1.0;
        Ok(())
    }

    fn max_tokens(rate: f64) -> f64 {
        (rate * BURST_SHARE).max(1.0)
    }
}
