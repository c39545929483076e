//! Fakes of the log, the VM list and a target, behind the interfaces that carobshore uses.

use std::collections::BTreeSet;
use std::time::Duration;

use carobshore_lib::log_page::LogPage;
use carobshore_lib::log_page::LogRecord;
use carobshore_lib::prelude::*;

/// A span of simulated time, from its start to before its end.
pub type Span = (Duration, Duration);

/// The platform's log, with outages, slowness, lost responses and repeated appends.
#[derive(Debug, Default)]
pub struct FakeLog {
    /// Every record with the time of its append.
    pub records: Vec<(Duration, Record)>,
    /// When the log does not answer.
    pub outages: Vec<Span>,
    /// When the log answers late.
    pub slow: Vec<Span>,
    /// How many of the next appends take effect without an answer.
    pub lost_answers: u32,
    /// How many of the next appends arrive twice.
    pub repeat: u32,
}

impl FakeLog {
    /// Returns whether the log answers at the given time.
    pub fn is_up(&self, at: Duration) -> bool {
        !within(&self.outages, at)
    }

    /// Returns how long a message to or from the log takes.
    pub fn delay(&self, at: Duration) -> Duration {
        Duration::from_millis(if within(&self.slow, at) { 1_600 } else { 2 })
    }

    /// Appends a record, twice if a message is to be repeated.
    pub fn append(&mut self, at: Duration, record: &Record) -> Offset {
        let offset = Offset(self.records.len() as u64);
        self.records.push((at, record.clone()));
        if self.repeat > 0 {
            self.repeat -= 1;
            self.records.push((at, record.clone()));
        }
        offset
    }

    /// Returns a page of the log.
    pub fn page(&self, from: Offset, max: u32) -> LogPage {
        let text = |(n, (_, record)): (usize, &(Duration, Record))| LogRecord {
            offset: Offset(n as u64),
            data: record.to_json().into(),
        };
        let records = self.records.iter().enumerate().skip(from.0 as usize);
        LogPage {
            first: Offset(0),
            next: Offset(self.records.len() as u64),
            records: records.take(max as usize).map(text).collect(),
        }
    }

    /// Applies the log to an empty replicated state.
    pub fn replay(&self) -> ReplicatedState {
        let mut state = ReplicatedState::default();
        for (n, (_, record)) in self.records.iter().enumerate() {
            state.apply(Offset(n as u64), record);
        }
        state
    }
}

/// Returns whether a time lies in one of the spans.
pub fn within(spans: &[Span], at: Duration) -> bool {
    spans.iter().any(|(from, to)| *from <= at && at < *to)
}

/// What the platform's list shows: live VMs and leaving targets.
#[derive(Clone, Debug, Default)]
pub struct ListState {
    /// The names of live VMs.
    pub live: BTreeSet<String>,
    /// The numbers of leaving targets.
    pub leaving: BTreeSet<usize>,
}

/// The platform's list of VMs and targets.
#[derive(Debug, Default)]
pub struct FakeList {
    /// Every state with the time from which it holds.
    pub states: Vec<(Duration, ListState)>,
    /// When the list shows an old state, and how old.
    pub lag: Vec<(Span, Duration)>,
    /// When the list is wrong.
    pub wrong: Vec<(Span, ListState)>,
}

impl FakeList {
    /// Changes the true state from the given time on.
    pub fn change(&mut self, at: Duration, change: impl FnOnce(&mut ListState) -> bool) {
        let mut state = self
            .states
            .last()
            .map_or_else(ListState::default, |last| last.1.clone());
        change(&mut state);
        self.states.push((at, state));
    }

    /// Returns what a reader sees, with lag and wrong entries.
    pub fn read(&self, at: Duration) -> ListState {
        let wrong = self.wrong.iter().find(|(span, _)| within(&[*span], at));
        if let Some((_, state)) = wrong {
            return state.clone();
        }
        let lag = self.lag.iter().find(|(span, _)| within(&[*span], at));
        let seen = at.saturating_sub(lag.map_or(Duration::ZERO, |(_, lag)| *lag));
        let state = self.states.iter().rev().find(|(since, _)| *since <= seen);
        state.map_or_else(ListState::default, |(_, state)| state.clone())
    }
}

/// A target. The world records what it runs.
#[derive(Debug, Default)]
pub struct FakeTarget {
    /// Counts restarts; connections of an earlier run are broken.
    pub run: u64,
    /// When the target is down.
    pub down: Vec<Span>,
    /// When it sheds load.
    pub sheds: Vec<Span>,
    /// When it is slow.
    pub slow: Vec<Span>,
    /// Whether it drains.
    pub drains: bool,
    /// How many of the next responses are cut off.
    pub cut: u32,
    /// How many of the next responses come after the deadline.
    pub late: u32,
}
