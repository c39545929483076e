//! Tests of the appender: each record takes effect exactly once, even if responses are lost.

mod config_support;

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::appender::AppendAction;
use carobshore_lib::appender::AppendEvent;
use carobshore_lib::appender::Appender;
use carobshore_lib::log_page::LogPage;
use carobshore_lib::prelude::*;
use config_support::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TIMEOUT: Duration = Duration::from_secs(600);

fn read(log: &TestLog, id: RecordId, from: Offset, max: u32) -> AppendEvent {
    match log.read(from, max) {
        Ok(page) => AppendEvent::Page { id, from, page },
        Err(_) => AppendEvent::Expired { id },
    }
}

/// Guards against records that are lost or take effect twice if requests are lost before or after
/// the write, reads fail, and other writers append in between.
#[test]
fn each_record_takes_effect_once() {
    for seed in 0..1_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut log = TestLog::default();
        let mut appender = Appender::new(TIMEOUT);
        let mut now = Instant::now();
        let mut events = Vec::new();
        let mut sent = [0; 3];
        for number in 0..3 {
            let record = join(number + 1, &format!("entry-{number}.00000001"));
            let earliest = Offset(0);
            events.push(AppendEvent::Submit { record, earliest });
        }
        let mut done = Vec::new();
        for _ in 0..5_000 {
            let event = match events.is_empty() {
                true => AppendEvent::Tick,
                false => events.remove(0),
            };
            let mut actions = Vec::new();
            now += Duration::from_millis(100);
            appender.handle(now, event, &mut actions);
            if rng.random_bool(0.3) {
                log.append_text("{}".to_owned());
            }
            for action in actions {
                match action {
                    AppendAction::Append(record) => {
                        let id = record.id;
                        sent[id.0.as_u128() as usize - 1] += 1;
                        let written = rng.random_bool(0.6).then(|| log.append(&record));
                        let answered = rng.random_bool(0.5);
                        events.push(match written.filter(|_| answered) {
                            Some(offset) => AppendEvent::Appended { id, offset },
                            None => AppendEvent::OutcomeUnknown { id },
                        });
                    }
                    AppendAction::Read { id, from, max } => {
                        events.push(match rng.random_bool(0.7) {
                            true => read(&log, id, from, max.min(3)),
                            false => AppendEvent::ReadFailed { id },
                        });
                    }
                    AppendAction::Done { id, offset } => {
                        let record = Record::parse(&log.texts[offset.0 as usize]).unwrap();
                        assert_eq!(record.id, id, "seed {seed}");
                        done.push(id);
                    }
                    AppendAction::Failed { error, .. } => panic!("seed {seed}: {error}"),
                }
            }
            if appender.is_idle() && events.is_empty() {
                break;
            }
        }
        assert_eq!(done, [1, 2, 3].map(record_id), "seed {seed}");
        let copies = log
            .texts
            .iter()
            .filter(|text| text.contains("join"))
            .count();
        assert_eq!(copies, 3, "seed {seed}: sent {sent:?}");
        assert_eq!(
            log.replay(u64::MAX).roster().members.len(),
            3,
            "seed {seed}"
        );
    }
}

/// Returns an appender whose first append was not answered, and the time at which it reads the log.
fn reading(record: &Record) -> (Appender, Instant) {
    let mut appender = Appender::new(TIMEOUT);
    let now = Instant::now();
    let earliest = Offset(0);
    let record = record.clone();
    let id = record.id;
    appender.handle(
        now,
        AppendEvent::Submit { record, earliest },
        &mut Vec::new(),
    );
    appender.handle(now, AppendEvent::OutcomeUnknown { id }, &mut Vec::new());
    let mut actions = Vec::new();
    let now = appender.wakeup().unwrap();
    appender.handle(now, AppendEvent::Tick, &mut actions);
    assert!(matches!(actions[..], [AppendAction::Read { .. }]));
    (appender, now)
}

/// Guards against a second copy being sent if the log returns a page with missing records.
#[test]
fn an_incomplete_page_triggers_no_second_append() {
    let record = join(1, "entry-1.00000001");
    let id = record.id;
    let mut log = TestLog::default();
    log.append_text("{}".to_owned());
    log.append(&record);
    let from = Offset(0);
    let complete = log.read(from, 10).unwrap();
    let mut gap = complete.clone();
    gap.records.remove(0);
    gap.records[0].data = "{}".into();
    let empty = LogPage {
        records: Vec::new(),
        ..complete
    };
    for page in [gap, empty] {
        let (mut appender, now) = reading(&record);
        let mut actions = Vec::new();
        appender.handle(now, AppendEvent::Page { id, from, page }, &mut actions);
        assert_eq!(actions, []);
    }
}

/// Guards against an appender that never gives up, or that reports an unknown outcome as a certain
/// failure.
#[test]
fn failures_state_whether_the_outcome_is_uncertain() {
    let record = join(1, "entry-1.00000001");
    let id = record.id;
    let failed = |event: AppendEvent, later: Duration| {
        let (mut appender, now) = reading(&record);
        let mut actions = Vec::new();
        appender.handle(now + later, event, &mut actions);
        assert!(appender.is_idle());
        match actions.pop() {
            Some(AppendAction::Failed {
                error, uncertain, ..
            }) => (error.code, uncertain),
            other => panic!("{other:?}"),
        }
    };
    let message = "413".into();
    let none = Duration::ZERO;
    let refused = failed(AppendEvent::Rejected { id, message }, none);
    assert_eq!(refused, (ResultCode::BadRecord, false));
    let expired = failed(AppendEvent::Expired { id }, none);
    assert_eq!(expired, (ResultCode::LogGap, true));
    let late = failed(AppendEvent::Tick, TIMEOUT);
    assert_eq!(late, (ResultCode::LogUnavailable, true));
}
