//! Appends one record to the log, and finds out whether it was stored if a response is lost.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::appender::AppendAction;
use carobshore_lib::appender::AppendEvent;
use carobshore_lib::appender::Appender;
use carobshore_lib::prelude::*;
use ntex::time::Millis;
use ntex::time::sleep;

use carobshore_platform::log_client::AppendAnswer;
use carobshore_platform::log_client::LogClient;
use carobshore_platform::log_client::ReadAnswer;

/// The interval at which the appender checks whether a retry is due.
const TICK_INTERVAL: Millis = Millis(50);

/// Appends the record and returns its offset; `earliest` is the lowest offset that it can have.
/// Fails if the log rejects the record, or if the outcome is not known after `timeout`.
pub(crate) async fn append(
    log: &LogClient,
    record: Record,
    earliest: Offset,
    timeout: Duration,
) -> Result<Offset> {
    let mut appender = Appender::new(timeout);
    let mut event = AppendEvent::Submit { record, earliest };
    loop {
        let mut actions = Vec::new();
        appender.handle(Instant::now(), event, &mut actions);
        event = AppendEvent::Tick;
        match actions.pop() {
            Some(AppendAction::Append(record)) => event = send(log, &record).await,
            Some(AppendAction::Read { id, from, max }) => {
                event = read(log, id, from, max).await;
            }
            Some(AppendAction::Done { offset, .. }) => return Ok(offset),
            Some(AppendAction::Failed { error, .. }) => return Err(error),
            None => sleep(TICK_INTERVAL).await,
        }
    }
}

async fn send(log: &LogClient, record: &Record) -> AppendEvent {
    let id = record.id;
    match log.append(record).await {
        AppendAnswer::Appended(offset) => AppendEvent::Appended { id, offset },
        AppendAnswer::Rejected(message) => AppendEvent::Rejected { id, message },
        AppendAnswer::OutcomeUnknown => AppendEvent::OutcomeUnknown { id },
    }
}

async fn read(log: &LogClient, id: RecordId, from: Offset, max: u32) -> AppendEvent {
    match log.read(from, max).await {
        ReadAnswer::Page(page) => AppendEvent::Page { id, from, page },
        ReadAnswer::Expired(_) => AppendEvent::Expired { id },
        ReadAnswer::Failed => AppendEvent::ReadFailed { id },
    }
}
