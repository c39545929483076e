//! Appends records exactly once in effect, although an append's answer may be lost.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::error::Error;
use crate::log_page::LogPage;
use crate::offset::Offset;
use crate::recent_ids::REMEMBERED_IDS;
use crate::record::Record;
use crate::record_id::RecordId;
use crate::result_code::ResultCode;

/// The delay before the first read back; it doubles up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// The longest delay between two tries.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// The most records that one read back asks for.
const READ_MAX: u32 = 512;

/// The number of other records after which a writer no longer appends again. The fold recognizes
/// a duplicate only among the last [`REMEMBERED_IDS`] ids, so a repeat has to come well before.
const MAX_DISTANCE: u64 = REMEMBERED_IDS as u64 / 4;

/// What happened to an append or a read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendEvent {
    /// A record has to be appended; `not_before` is the end of the log before it was first sent.
    Submit {
        /// The record.
        record: Record,
        /// An offset at or before which the record cannot be.
        not_before: Offset,
    },
    /// The log answered an append.
    Appended {
        /// The record's id.
        id: RecordId,
        /// The record's offset.
        offset: Offset,
    },
    /// An append failed or its answer is missing; it may have taken effect.
    OutcomeUnknown {
        /// The record's id.
        id: RecordId,
    },
    /// The log refused the record, which took no effect.
    Refused {
        /// The record's id.
        id: RecordId,
        /// What the log said.
        message: Box<str>,
    },
    /// A read back succeeded.
    Page {
        /// The record's id.
        id: RecordId,
        /// The offset from which was read.
        from: Offset,
        /// What was read.
        page: LogPage,
    },
    /// A read back failed because the records have expired.
    Expired {
        /// The record's id.
        id: RecordId,
    },
    /// A read back failed.
    ReadFailed {
        /// The record's id.
        id: RecordId,
    },
    /// Time has passed.
    Tick,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendAction {
    /// Send the record to the log.
    Append(Record),
    /// Read the log.
    Read {
        /// The record's id, to be returned in the event.
        id: RecordId,
        /// The first offset.
        from: Offset,
        /// The most records.
        max: u32,
    },
    /// The record is on the log.
    Done {
        /// The record's id.
        id: RecordId,
        /// Its offset.
        offset: Offset,
    },
    /// The appender gave up.
    Failed {
        /// The record's id.
        id: RecordId,
        /// Why, and what to do.
        error: Error,
        /// Whether the record may be on the log or reach it later.
        uncertain: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Appending,
    Waiting { until: Instant },
    Reading,
}

#[derive(Clone, Debug)]
struct Job {
    record: Record,
    start: Offset,
    not_before: Offset,
    began: Instant,
    backoff: Duration,
    step: Step,
}

/// Appends records one after the other.
///
/// After a lost answer it reads back from the last known offset and sends the record again, with
/// the same id, only when the record is absent. A copy that is still on its way can then arrive
/// late; the fold ignores the second one.
#[derive(Clone, Debug)]
pub struct Appender {
    give_up: Duration,
    current: Option<Job>,
    queue: VecDeque<(Record, Offset)>,
    /// The offset after the last record that was appended. Records that were sent later cannot be
    /// before it.
    end: Offset,
}

impl Appender {
    /// Returns an appender that tries for `give_up` on each record.
    pub fn new(give_up: Duration) -> Self {
        Self {
            give_up,
            current: None,
            queue: VecDeque::new(),
            end: Offset::default(),
        }
    }

    /// Returns whether nothing is left to append.
    pub fn is_idle(&self) -> bool {
        self.current.is_none() && self.queue.is_empty()
    }

    /// Returns when the next `Tick` is needed.
    pub fn wakeup(&self) -> Option<Instant> {
        let job = self.current.as_ref()?;
        match job.step {
            Step::Waiting { until } => Some(until.min(job.began + self.give_up)),
            Step::Appending | Step::Reading => Some(job.began + self.give_up),
        }
    }

    /// Takes an event and adds what has to be done.
    pub fn handle(&mut self, now: Instant, event: AppendEvent, actions: &mut Vec<AppendAction>) {
        match event {
            AppendEvent::Submit { record, not_before } => {
                self.queue.push_back((record, not_before));
            }
            AppendEvent::Appended { id, offset } => {
                if self.is_current(id) {
                    self.done(offset, actions);
                }
            }
            AppendEvent::OutcomeUnknown { id } => self.wait(now, id, Step::Appending),
            AppendEvent::ReadFailed { id } => self.wait(now, id, Step::Reading),
            AppendEvent::Refused { id, message } => {
                if self.is_current(id) {
                    self.fail(refused(&message), false, actions);
                }
            }
            AppendEvent::Page { id, from, page } => self.page(now, id, from, &page, actions),
            AppendEvent::Expired { id } => {
                if self.is_current(id) {
                    self.fail(expired(), true, actions);
                }
            }
            AppendEvent::Tick => self.tick(now, actions),
        }
        self.start_next(now, actions);
    }

    fn is_current(&self, id: RecordId) -> bool {
        self.current.as_ref().is_some_and(|job| job.record.id == id)
    }

    fn start_next(&mut self, now: Instant, actions: &mut Vec<AppendAction>) {
        if self.current.is_some() {
            return;
        }
        let Some((record, not_before)) = self.queue.pop_front() else {
            return;
        };
        let not_before = not_before.max(self.end);
        actions.push(AppendAction::Append(record.clone()));
        self.current = Some(Job {
            record,
            start: not_before,
            not_before,
            began: now,
            backoff: MIN_BACKOFF,
            step: Step::Appending,
        });
    }

    fn wait(&mut self, now: Instant, id: RecordId, during: Step) {
        let Some(job) = self.current.as_mut().filter(|job| job.record.id == id) else {
            return;
        };
        if job.step != during {
            return;
        }
        job.step = Step::Waiting {
            until: now + job.backoff,
        };
        job.backoff = (job.backoff * 2).min(MAX_BACKOFF);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<AppendAction>) {
        let give_up = self.give_up;
        let Some(job) = self.current.as_mut() else {
            return;
        };
        if now.saturating_duration_since(job.began) >= give_up {
            self.fail(unavailable(give_up), true, actions);
            return;
        }
        if matches!(job.step, Step::Waiting { until } if now >= until) {
            job.read(actions);
        }
    }

    fn page(
        &mut self,
        now: Instant,
        id: RecordId,
        from: Offset,
        page: &LogPage,
        actions: &mut Vec<AppendAction>,
    ) {
        let Some(job) = self.current.as_mut().filter(|job| job.record.id == id) else {
            return;
        };
        if job.step != Step::Reading || from != job.not_before {
            return;
        }
        if page.first > job.not_before {
            self.fail(expired(), true, actions);
            return;
        }
        let found = page.records.iter().find(|record| {
            Record::parse(&record.data).is_ok_and(|record| record.id == job.record.id)
        });
        if let Some(found) = found {
            let offset = found.offset;
            self.done(offset, actions);
            return;
        }
        let Some(not_before) = page_end(job.not_before, page) else {
            // A page with a hole proves nothing about the records that it leaves out.
            self.wait(now, id, Step::Reading);
            return;
        };
        job.not_before = not_before;
        if job.not_before.0 - job.start.0 > MAX_DISTANCE {
            self.fail(too_far(), true, actions);
        } else if job.not_before < page.next {
            job.backoff = MIN_BACKOFF;
            job.read(actions);
        } else {
            job.step = Step::Appending;
            actions.push(AppendAction::Append(job.record.clone()));
        }
    }

    fn done(&mut self, offset: Offset, actions: &mut Vec<AppendAction>) {
        if let Some(job) = self.current.take() {
            let id = job.record.id;
            self.end = self.end.max(offset.next());
            actions.push(AppendAction::Done { id, offset });
        }
    }

    fn fail(&mut self, error: Error, uncertain: bool, actions: &mut Vec<AppendAction>) {
        if let Some(job) = self.current.take() {
            let id = job.record.id;
            actions.push(AppendAction::Failed {
                id,
                error,
                uncertain,
            });
        }
    }
}

impl Job {
    fn read(&mut self, actions: &mut Vec<AppendAction>) {
        self.step = Step::Reading;
        actions.push(AppendAction::Read {
            id: self.record.id,
            from: self.not_before,
            max: READ_MAX,
        });
    }
}

/// Returns the offset after the page's records, or nothing if the page has a hole or is empty
/// although the log goes on.
fn page_end(not_before: Offset, page: &LogPage) -> Option<Offset> {
    let mut expected = not_before;
    for record in &page.records {
        if record.offset != expected {
            return None;
        }
        expected = expected.next();
    }
    if page.records.is_empty() && page.next > not_before {
        return None;
    }
    Some(expected)
}

fn refused(message: &str) -> Error {
    Error::new(
        ResultCode::BadRecord,
        format!("the log refused the record: {}", message.escape_debug()),
        "nothing was appended; correct what the log names and repeat the command",
    )
}

fn unavailable(after: Duration) -> Error {
    Error::new(
        ResultCode::LogUnavailable,
        format!(
            "the log did not confirm the append within {} s",
            after.as_secs()
        ),
        "the record may be on the log; run `carobshore history` before the command is repeated",
    )
}

fn expired() -> Error {
    Error::new(
        ResultCode::LogGap,
        "the records in which the append could be found have expired",
        "the record may have taken effect; run `carobshore history` before the command is repeated",
    )
}

fn too_far() -> Error {
    Error::new(
        ResultCode::LogUnavailable,
        format!("{MAX_DISTANCE} other records were appended while the answer was missing"),
        "the record may be on the log; run `carobshore history` before the command is repeated",
    )
}
