//! The key histories of all services, kept up to date with the log.

use std::collections::BTreeMap;
use std::time::Instant;
use std::time::SystemTime;

use crate::fold::Fold;
use crate::key_history::Handover;
use crate::key_history::KeyHistory;
use crate::key_homes::KeyHomes;
use crate::log_page::LogRecord;
use crate::offset::Offset;
use crate::record::Body;
use crate::record::Record;
use crate::roster::Roster;
use crate::service_id::ServiceId;
use crate::vm_id::VmId;

/// The rosters after each record of a page that changes the roster.
///
/// The fold only keeps the last one. A set of homes that was in force between two records of one
/// page made another VM the owner of keys, so the sets in between count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterSteps {
    from: Offset,
    to: Offset,
    steps: Vec<(Roster, Handover)>,
}

impl RosterSteps {
    /// Finds the steps of the records that are about to be applied to the fold.
    pub fn of(before: &Fold, records: &[LogRecord]) -> Self {
        let mut steps = Vec::new();
        let from = before.applied();
        let mut new = records.iter().filter(|record| record.offset >= from);
        let bodies: Vec<_> = new
            .clone()
            .map(|record| Record::parse(&record.data))
            .collect();
        let moves = |record: &Record| handover(&record.body).is_some();
        if !bodies.iter().flatten().any(moves) {
            let to = new.next_back().map_or(from, |record| record.offset.next());
            return Self { from, to, steps };
        }
        let mut fold = before.clone();
        for (record, parsed) in new.zip(&bodies) {
            fold.apply_text(record.offset, &record.data);
            if let Some(handover) = parsed
                .as_ref()
                .ok()
                .and_then(|record| handover(&record.body))
            {
                steps.push((fold.roster().clone(), handover));
            }
        }
        let to = fold.applied();
        Self { from, to, steps }
    }
}

fn handover(body: &Body) -> Option<Handover> {
    match body {
        Body::Leave { vm } => Some(Handover::Left(vm.clone())),
        Body::Join(_) | Body::Displace { .. } => Some(Handover::Lease),
        Body::Intent(_) | Body::Confirm(_) | Body::Snapshot(_) => None,
    }
}

/// The key history of each service, as of one offset.
#[derive(Clone, Debug)]
pub struct KeyHistories {
    vm: VmId,
    applied: Option<Offset>,
    services: BTreeMap<ServiceId, KeyHistory>,
}

impl KeyHistories {
    /// Starts the histories of a VM that has just got its id.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            applied: None,
            services: BTreeMap::new(),
        }
    }

    /// Follows the fold after it was advanced.
    ///
    /// `now` and `wall` are read after the records were received. `homes` has to depend on nothing
    /// but its arguments. When the steps do not lead from the last known offset to the fold's, as
    /// after a snapshot, all histories start again.
    pub fn advance(
        &mut self,
        now: Instant,
        wall: SystemTime,
        steps: &RosterSteps,
        after: &Fold,
        homes: impl Fn(&ServiceId, &Roster) -> KeyHomes,
    ) {
        let contiguous = self.applied == Some(steps.from) && steps.to == after.applied();
        self.applied = Some(after.applied());
        let configured = &after.config().services;
        self.services
            .retain(|service, _| configured.contains_key(service));
        for service in configured.keys() {
            let vm = self.vm.clone();
            let entry = self.services.entry(service.clone());
            let history = entry.or_insert_with(|| KeyHistory::new(vm));
            if !contiguous {
                history.restart();
            }
            for (roster, handover) in steps.steps.iter().filter(|_| contiguous) {
                history.set_homes(now, wall, homes(service, roster), handover.clone());
            }
            if !contiguous || !history.is_started() {
                let homes = homes(service, after.roster());
                history.set_homes(now, wall, homes, Handover::Lease);
            }
        }
    }

    /// Returns the history of a service.
    pub fn get(&self, service: &ServiceId) -> Option<&KeyHistory> {
        self.services.get(service)
    }
}
