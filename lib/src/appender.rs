//! Appends records to the log so that each takes effect exactly once, even if responses are lost.

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

/// The delay before the log is first read back; it doubles up to `MAX_BACKOFF`.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// The longest delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// The maximum number of records that one read requests.
const READ_MAX: u32 = 512;

/// The number of other records after which a record is no longer appended again. Duplicates are
/// recognized only among the last [`REMEMBERED_IDS`] ids, so a retry has to come well before that.
const MAX_DISTANCE: u64 = REMEMBERED_IDS as u64 / 4;

/// An input to the appender: a new record, the result of an append or a read, or a timer tick.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendEvent {
    /// Appends a record.
    Submit {
        /// The record.
        record: Record,
        /// The lowest offset that the record can have: the one up to which the caller had applied
        /// the log when it created the record.
        earliest: Offset,
    },
    /// The log confirmed an append.
    Appended {
        /// The record's id.
        id: RecordId,
        /// The record's offset.
        offset: Offset,
    },
    /// An append failed or was not answered; it may have taken effect.
    OutcomeUnknown {
        /// The record's id.
        id: RecordId,
    },
    /// The log rejected the record, which has no effect.
    Rejected {
        /// The record's id.
        id: RecordId,
        /// The reason that the log gave.
        message: Box<str>,
    },
    /// A read of the log succeeded.
    Page {
        /// The record's id.
        id: RecordId,
        /// The first offset that was requested.
        from: Offset,
        /// The records and the bounds of the log.
        page: LogPage,
    },
    /// A read failed because the requested records have expired.
    Expired {
        /// The record's id.
        id: RecordId,
    },
    /// A read failed for another reason.
    ReadFailed {
        /// The record's id.
        id: RecordId,
    },
    /// A timer tick, due at [`Appender::wakeup`] at the latest.
    Tick,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendAction {
    /// Send the record to the log.
    Append(Record),
    /// Read the log.
    Read {
        /// The record's id, to be repeated in the event that reports the result.
        id: RecordId,
        /// The first offset to read.
        from: Offset,
        /// The maximum number of records.
        max: u32,
    },
    /// The record was appended.
    Done {
        /// The record's id.
        id: RecordId,
        /// Its offset.
        offset: Offset,
    },
    /// The record was rejected, or its outcome could not be determined in time.
    Failed {
        /// The record's id.
        id: RecordId,
        /// The cause, and what the operator can do.
        error: Error,
        /// Whether the record may have been appended or may still be.
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
    /// The value of `earliest` when the record was submitted.
    start: Offset,
    /// The lowest offset that the record can have; advances as the log is read.
    earliest: Offset,
    started: Instant,
    backoff: Duration,
    step: Step,
}

/// Appends records one at a time.
///
/// If an append is not answered, the appender reads the log and sends the record again, under the
/// same id, only if the record is absent. A delayed first copy can still arrive after that; the
/// replicated state ignores the second copy.
#[derive(Clone, Debug)]
pub struct Appender {
    timeout: Duration,
    current: Option<Job>,
    queue: VecDeque<(Record, Offset)>,
    /// The offset after the last appended record. Records that are sent later cannot be before it.
    end: Offset,
}

impl Appender {
    /// Returns an appender that tries to append each record for up to `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            current: None,
            queue: VecDeque::new(),
            end: Offset::default(),
        }
    }

    /// Returns whether all submitted records have been dealt with.
    pub fn is_idle(&self) -> bool {
        self.current.is_none() && self.queue.is_empty()
    }

    /// Returns when the next `Tick` is due.
    pub fn wakeup(&self) -> Option<Instant> {
        let job = self.current.as_ref()?;
        match job.step {
            Step::Waiting { until } => Some(until.min(job.started + self.timeout)),
            Step::Appending | Step::Reading => Some(job.started + self.timeout),
        }
    }

    /// Processes an event and pushes the resulting actions to `actions`.
    pub fn handle(&mut self, now: Instant, event: AppendEvent, actions: &mut Vec<AppendAction>) {
        match event {
            AppendEvent::Submit { record, earliest } => {
                self.queue.push_back((record, earliest));
            }
            AppendEvent::Appended { id, offset } => {
                if self.is_current(id) {
                    self.finish(offset, actions);
                }
            }
            AppendEvent::OutcomeUnknown { id } => self.retry_later(now, id, Step::Appending),
            AppendEvent::ReadFailed { id } => self.retry_later(now, id, Step::Reading),
            AppendEvent::Rejected { id, message } => {
                if self.is_current(id) {
                    self.fail(rejected(&message), false, actions);
                }
            }
            AppendEvent::Page { id, from, page } => self.handle_page(now, id, from, &page, actions),
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
        let Some((record, earliest)) = self.queue.pop_front() else {
            return;
        };
        let earliest = earliest.max(self.end);
        actions.push(AppendAction::Append(record.clone()));
        self.current = Some(Job {
            record,
            start: earliest,
            earliest,
            started: now,
            backoff: MIN_BACKOFF,
            step: Step::Appending,
        });
    }

    fn retry_later(&mut self, now: Instant, id: RecordId, expected_step: Step) {
        let Some(job) = self.current.as_mut().filter(|job| job.record.id == id) else {
            return;
        };
        if job.step != expected_step {
            return;
        }
        job.step = Step::Waiting {
            until: now + job.backoff,
        };
        job.backoff = (job.backoff * 2).min(MAX_BACKOFF);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<AppendAction>) {
        let timeout = self.timeout;
        let Some(job) = self.current.as_mut() else {
            return;
        };
        if now.saturating_duration_since(job.started) >= timeout {
            self.fail(unavailable(timeout), true, actions);
            return;
        }
        if matches!(job.step, Step::Waiting { until } if now >= until) {
            job.read_log(actions);
        }
    }

    fn handle_page(
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
        if job.step != Step::Reading || from != job.earliest {
            return;
        }
        if page.first > job.earliest {
            self.fail(expired(), true, actions);
            return;
        }
        let found = page.records.iter().find(|record| {
            Record::parse(&record.data).is_ok_and(|record| record.id == job.record.id)
        });
        if let Some(found) = found {
            let offset = found.offset;
            self.finish(offset, actions);
            return;
        }
        let Some(earliest) = page_end(job.earliest, page) else {
            // The record may be among those that are missing from the page.
            self.retry_later(now, id, Step::Reading);
            return;
        };
        job.earliest = earliest;
        if job.earliest.0 - job.start.0 > MAX_DISTANCE {
            self.fail(too_many_others(), true, actions);
        } else if job.earliest < page.next {
            job.backoff = MIN_BACKOFF;
            job.read_log(actions);
        } else {
            job.step = Step::Appending;
            actions.push(AppendAction::Append(job.record.clone()));
        }
    }

    fn finish(&mut self, offset: Offset, actions: &mut Vec<AppendAction>) {
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
    fn read_log(&mut self, actions: &mut Vec<AppendAction>) {
        self.step = Step::Reading;
        actions.push(AppendAction::Read {
            id: self.record.id,
            from: self.earliest,
            max: READ_MAX,
        });
    }
}

/// Returns the offset after the page's records, or `None` if records are missing from the page or
/// it is empty although the log continues.
fn page_end(from: Offset, page: &LogPage) -> Option<Offset> {
    let mut expected = from;
    for record in &page.records {
        if record.offset != expected {
            return None;
        }
        expected = expected.next();
    }
    if page.records.is_empty() && page.next > from {
        return None;
    }
    Some(expected)
}

fn rejected(message: &str) -> Error {
    Error::new(
        ResultCode::BadRecord,
        format!("the log rejected the record: {}", message.escape_debug()),
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

fn too_many_others() -> Error {
    Error::new(
        ResultCode::LogUnavailable,
        format!("{MAX_DISTANCE} other records were appended while the append was unconfirmed"),
        "the record may be on the log; run `carobshore history` before the command is repeated",
    )
}
