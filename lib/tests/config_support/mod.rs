//! An in-memory log and builders of records for the tests of the configuration.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

use carobshore_lib::log_page::LogPage;
use carobshore_lib::log_page::LogRecord;
use carobshore_lib::prelude::*;
use carobshore_lib::record::Confirm;
use carobshore_lib::record::Join;
use rand::RngExt;
use rand::rngs::StdRng;
use uuid::Uuid;

/// An in-memory log whose oldest records can expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct TestLog {
    pub(crate) texts: Vec<String>,
    pub(crate) first: u64,
}

impl TestLog {
    pub(crate) fn append(&mut self, record: &Record) -> Offset {
        self.append_text(record.to_json())
    }

    pub(crate) fn append_text(&mut self, text: String) -> Offset {
        self.texts.push(text);
        Offset(self.texts.len() as u64 - 1)
    }

    pub(crate) fn next(&self) -> Offset {
        Offset(self.texts.len() as u64)
    }

    /// Returns a page, or the oldest retained offset if `from` has expired.
    pub(crate) fn read(&self, from: Offset, max: u32) -> Result<LogPage, Offset> {
        if from.0 < self.first {
            return Err(Offset(self.first));
        }
        let texts = self.texts.iter().enumerate().skip(from.0 as usize);
        Ok(LogPage {
            first: Offset(self.first),
            next: self.next(),
            records: texts
                .take(max as usize)
                .map(|(offset, text)| LogRecord {
                    offset: Offset(offset as u64),
                    data: text.as_str().into(),
                })
                .collect(),
        })
    }

    /// Returns the state after the first `count` records.
    pub(crate) fn replay(&self, count: u64) -> ReplicatedState {
        let mut state = ReplicatedState::default();
        for (offset, text) in self.texts.iter().enumerate().take(count as usize) {
            state.apply_text(Offset(offset as u64), text);
        }
        state
    }
}

pub(crate) fn record_id(number: u128) -> RecordId {
    RecordId(Uuid::from_u128(number))
}

pub(crate) fn random_id(rng: &mut StdRng) -> RecordId {
    record_id(rng.random())
}

pub(crate) fn id<T: std::str::FromStr<Err = Error>>(text: &str) -> T {
    text.parse().unwrap()
}

pub(crate) fn add_service(service: &str) -> Change {
    Change::AddService {
        service: id(service),
        measuring: TargetTime(30_000),
        connections: 240,
    }
}

pub(crate) fn add_target(service: &str, number: usize) -> Change {
    Change::AddTarget {
        service: id(service),
        target: id(&format!("{service}-{number}")),
        addr: format!("10.0.{}.{}:80", number / 250, number % 250 + 1)
            .parse()
            .unwrap(),
        domain: id(&format!("domain-{}", number % 3)),
        slots: Slots::try_from(2).unwrap(),
    }
}

pub(crate) fn set_slots(service: &str, number: usize, slots: u32) -> Change {
    Change::SetSlots {
        service: id(service),
        target: id(&format!("{service}-{number}")),
        slots: Slots::try_from(slots).unwrap(),
    }
}

pub(crate) fn mark_leaving(service: &str, number: usize) -> Change {
    Change::MarkLeaving {
        service: id(service),
        target: id(&format!("{service}-{number}")),
    }
}

/// Returns changes that add a service with `targets` targets of two slots over three domains.
pub(crate) fn service_with_targets(service: &str, targets: usize) -> Vec<Change> {
    let mut changes = vec![add_service(service)];
    changes.extend((1..=targets).map(|number| add_target(service, number)));
    changes
}

pub(crate) fn intent(number: u128, operator: &str, changes: Vec<Change>) -> Record {
    Record {
        id: record_id(number),
        body: Body::Intent(Intent {
            operator: id(operator),
            note: format!("intent {number}").into(),
            changes,
        }),
    }
}

/// Returns a confirm of the intent, planned on the given configuration.
pub(crate) fn confirm(number: u128, operator: &str, config: &Config, record: &Record) -> Record {
    let Body::Intent(intent) = &record.body else {
        panic!("only intents are confirmed");
    };
    let plan = Plan::new(config, intent).unwrap();
    Record {
        id: record_id(number),
        body: Body::Confirm(Confirm {
            operator: id(operator),
            intent: record.id,
            digest: plan.digest(),
            bases: plan.bases().clone(),
        }),
    }
}

/// Appends an intent and its confirm to the log and applies them to the state.
pub(crate) fn confirm_changes(
    log: &mut TestLog,
    state: &mut ReplicatedState,
    number: u128,
    changes: Vec<Change>,
) {
    let proposed = intent(number, "gwen", changes);
    let confirmed = confirm(number + 1, "gwen", state.config(), &proposed);
    for record in [proposed, confirmed] {
        let offset = log.append(&record);
        assert_eq!(state.apply(offset, &record), ApplyOutcome::Applied);
    }
}

pub(crate) fn join(number: u128, vm: &str) -> Record {
    Record {
        id: record_id(number),
        body: Body::Join(Join {
            vm: id(vm),
            domain: id("domain-0"),
            rpc: "10.1.0.1:7000".parse().unwrap(),
            forward: "10.1.0.1:7001".parse().unwrap(),
        }),
    }
}

/// Appends a random record and applies it: a join, leave, intent, confirm on a current or an old
/// base, duplicate, or text that is not a valid record.
pub(crate) fn append_random(
    log: &mut TestLog,
    state: &mut ReplicatedState,
    rng: &mut StdRng,
    old: &Config,
) {
    let vm = format!(
        "entry-{}.{:08x}",
        rng.random_range(0..4),
        rng.random_range(0..3)
    );
    let text = match rng.random_range(0..10) {
        0 => join(rng.random(), &vm).to_json(),
        1 => {
            let body = Body::Leave { vm: id(&vm) };
            let id = random_id(rng);
            Record { id, body }.to_json()
        }
        2 if !log.texts.is_empty() => log.texts[rng.random_range(0..log.texts.len())].clone(),
        3 => "{\"id\":\"no record\"".to_owned(),
        4..=6 => random_confirm(state, rng, old).unwrap_or_else(|| "[]".to_owned()),
        _ => {
            let changes = random_changes(rng);
            intent(rng.random(), "salma", changes).to_json()
        }
    };
    let offset = log.append_text(text.clone());
    state.apply_text(offset, &text);
}

fn random_changes(rng: &mut StdRng) -> Vec<Change> {
    let service = ["status", "gallery", "rack"][rng.random_range(0..3)];
    let number = rng.random_range(0..4);
    let other = rng.random_range(0..4);
    match rng.random_range(0..6) {
        0 => service_with_targets(service, number),
        1 => vec![Change::RemoveService {
            service: id(service),
        }],
        2 => vec![add_target(service, number), mark_leaving(service, other)],
        3 => vec![mark_leaving(service, number)],
        4 => vec![set_slots(service, number, rng.random_range(1..9))],
        _ => vec![add_target(service, number)],
    }
}

fn random_confirm(state: &ReplicatedState, rng: &mut StdRng, old: &Config) -> Option<String> {
    let base = match rng.random_bool(0.7) {
        true => state.config(),
        false => old,
    };
    let skip = rng.random_range(0..4);
    let mut plans = state.pending().rev().filter_map(|pending| {
        let plan = Plan::new(base, &pending.intent).ok()?;
        Some((pending.id, plan))
    });
    let (intent, plan) = plans.nth(skip)?;
    let body = Body::Confirm(Confirm {
        operator: id(["gwen", "salma"][rng.random_range(0..2)]),
        intent,
        digest: plan.digest(),
        bases: plan.bases().clone(),
    });
    let id = random_id(rng);
    Some(Record { id, body }.to_json())
}
