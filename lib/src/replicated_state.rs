//! The state that results from applying the records of the log in order.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::configured_route::ConfiguredRoute;
use crate::history::ConfirmRef;
use crate::history::History;
use crate::history::HistoryEntry;
use crate::history::Verdict;
use crate::intent::Intent;
use crate::item_id::ItemId;
use crate::offset::Offset;
use crate::pending::Pending;
use crate::pending::PendingIntent;
use crate::plan;
use crate::plan::Plan;
use crate::recent_ids::RecentIds;
use crate::record::Body;
use crate::record::Confirm;
use crate::record::Join;
use crate::record::Record;
use crate::record_id::RecordId;
use crate::result_code::ResultCode;
use crate::roster::Member;
use crate::roster::Roster;
use crate::route_id::RouteId;
use crate::service::Service;
use crate::service_id::ServiceId;
use crate::snapshot_marks::SnapshotMark;
use crate::snapshot_marks::SnapshotMarks;
use crate::version::Version;
use crate::vm_id::VmId;

/// The maximum number of items of a confirm that its history entry lists.
const MAX_LISTED: usize = 32;

/// The result of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record took effect.
    Applied,
    /// The record or its offset was applied before; the state is unchanged.
    Duplicate,
    /// The record has no effect; the next record is expected.
    Rejected {
        /// The reason.
        code: ResultCode,
        /// The offset of the conflicting confirm that came first, if that is the reason.
        by: Option<Offset>,
    },
    /// Records before this one are missing; the state is unchanged.
    Gap {
        /// The offset of the record that must be applied next.
        expected: Offset,
    },
}

impl ApplyOutcome {
    fn rejected(code: ResultCode) -> Self {
        Self::Rejected { code, by: None }
    }
}

/// The state after applying all records below one offset.
///
/// Every VM and every client must compute the same state from the same records, so each decision
/// depends only on the records and their offsets. The size of every part is bounded, by that of the
/// configuration and the roster or by a constant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    config: Config,
    roster: Roster,
    applied: Offset,
    pending: Pending,
    history: History,
    recent: RecentIds,
    snapshots: SnapshotMarks,
    /// The highest version of any removed service or route. Added ones start above it, so that no
    /// version and no target generation is ever reused.
    floor: Version,
    confirms: u64,
    skipped: u64,
}

impl ReplicatedState {
    /// Returns the confirmed configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the roster of entry VMs.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the offset below which all records have been applied.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Returns the unconfirmed intents, oldest first.
    pub fn pending(&self) -> impl DoubleEndedIterator<Item = &PendingIntent> {
        self.pending.iter()
    }

    /// Returns the intent with the given record id if it is unconfirmed.
    pub fn intent(&self, id: RecordId) -> Option<&PendingIntent> {
        self.pending.get(id)
    }

    /// Returns the accepted confirm of the intent with the given record id.
    pub fn confirm_of(&self, intent: RecordId) -> Option<&ConfirmRef> {
        self.history.accepted_of(intent)
    }

    /// Returns the last accepted confirm that changed the item.
    pub fn last_confirm(&self, item: &ItemId) -> Option<&ConfirmRef> {
        self.history.last_of(item)
    }

    /// Returns the most recent confirms with their verdicts, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// Returns the history entry of the confirm with the given record id.
    pub fn entry_of(&self, confirm: RecordId) -> Option<&HistoryEntry> {
        self.history
            .iter()
            .rev()
            .find(|entry| entry.confirm.id == confirm)
    }

    /// Returns the complete snapshot on the log that covers the most records.
    pub fn newest_snapshot(&self) -> Option<SnapshotMark> {
        self.snapshots.newest()
    }

    /// Returns the number of accepted confirms; it grows whenever the configuration changes.
    pub fn confirms(&self) -> u64 {
        self.confirms
    }

    /// Returns the number of records that were skipped as malformed or of an unknown kind.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Applies the encoded record at the offset. Text that is not a valid record is counted and
    /// skipped; every VM skips it alike, because all read the same text.
    pub fn apply_text(&mut self, offset: Offset, text: &str) -> ApplyOutcome {
        match Record::parse(text) {
            Ok(record) => self.apply(offset, &record),
            Err(error) => match self.advance(offset) {
                None => self.skip(error.code),
                Some(applied) => applied,
            },
        }
    }

    /// Applies the decoded record at the offset.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> ApplyOutcome {
        if let Some(applied) = self.advance(offset) {
            return applied;
        }
        // Several VMs may append chunks with the same ids. Chunks affect only the snapshot marks,
        // and a large snapshot must not evict other ids from the bounded set of recent ids.
        if let Body::Snapshot(chunk) = &record.body {
            return match self.snapshots.add(offset, chunk) {
                true => ApplyOutcome::Applied,
                false => self.skip(ResultCode::BadRecord),
            };
        }
        if !self.recent.insert(record.id) {
            return ApplyOutcome::Duplicate;
        }
        match &record.body {
            Body::Intent(intent) => self.apply_intent(offset, record.id, intent),
            Body::Confirm(confirm) => self.apply_confirm(offset, record.id, confirm),
            Body::Join(join) => self.apply_join(offset, join),
            Body::Leave { vm } | Body::Displace { vm, .. } => self.remove_member(vm),
            Body::Snapshot(_) => ApplyOutcome::Applied,
        }
    }

    /// Advances to the next offset, or returns why the record at this offset cannot be applied.
    fn advance(&mut self, offset: Offset) -> Option<ApplyOutcome> {
        if offset < self.applied {
            return Some(ApplyOutcome::Duplicate);
        }
        if offset > self.applied {
            return Some(ApplyOutcome::Gap {
                expected: self.applied,
            });
        }
        self.applied = offset.next();
        None
    }

    fn skip(&mut self, code: ResultCode) -> ApplyOutcome {
        self.skipped = self.skipped.saturating_add(1);
        ApplyOutcome::rejected(code)
    }

    fn apply_intent(&mut self, offset: Offset, id: RecordId, intent: &Intent) -> ApplyOutcome {
        if let Err(error) = plan::check_size(intent) {
            return ApplyOutcome::rejected(error.code);
        }
        self.pending.push(PendingIntent {
            id,
            offset,
            intent: intent.clone(),
        });
        ApplyOutcome::Applied
    }

    fn apply_join(&mut self, offset: Offset, join: &Join) -> ApplyOutcome {
        if self.roster.contains(&join.vm) {
            return ApplyOutcome::rejected(ResultCode::DuplicateRecord);
        }
        let member = Member {
            domain: join.domain.clone(),
            rpc: join.rpc,
            forward: join.forward,
            joined: offset,
        };
        self.roster.members.insert(join.vm.clone(), member);
        ApplyOutcome::Applied
    }

    fn remove_member(&mut self, vm: &VmId) -> ApplyOutcome {
        match self.roster.members.remove(vm) {
            Some(_) => ApplyOutcome::Applied,
            None => ApplyOutcome::rejected(ResultCode::NotInRoster),
        }
    }

    fn apply_confirm(&mut self, offset: Offset, id: RecordId, confirm: &Confirm) -> ApplyOutcome {
        let confirm_ref = ConfirmRef {
            offset,
            id,
            operator: confirm.operator.clone(),
        };
        let note = self
            .pending
            .get(confirm.intent)
            .map_or_else(|| Box::from(""), |pending| pending.intent.note.clone());
        let (applied, verdict) = match self.check_confirm(confirm) {
            Ok(plan) => (
                ApplyOutcome::Applied,
                self.apply_plan(&confirm_ref, confirm, plan),
            ),
            Err((code, by)) => (
                ApplyOutcome::Rejected {
                    code,
                    by: by.as_ref().map(|first| first.offset),
                },
                Verdict::Rejected {
                    code: code.number(),
                    by,
                },
            ),
        };
        self.history.push(HistoryEntry {
            confirm: confirm_ref,
            intent: confirm.intent,
            note,
            items: confirm.bases.keys().take(MAX_LISTED).cloned().collect(),
            verdict,
        });
        applied
    }

    /// Returns the plan that the confirm puts into force, or the reason for its rejection.
    fn check_confirm(&self, confirm: &Confirm) -> Result<Plan, (ResultCode, Option<ConfirmRef>)> {
        if let Some(first) = self.history.accepted_of(confirm.intent) {
            return Err((ResultCode::StalePlan, Some(first.clone())));
        }
        let Some(pending) = self.pending.get(confirm.intent) else {
            return Err((ResultCode::UnknownIntent, None));
        };
        if !confirm.bases.keys().eq(&pending.intent.items()) {
            return Err((ResultCode::DigestMismatch, None));
        }
        let stale = confirm
            .bases
            .iter()
            .filter(|(id, base)| self.config.version(id) != **base);
        let stale: Vec<_> = stale.map(|(id, _)| id).collect();
        if !stale.is_empty() {
            let first = stale.iter().filter_map(|id| self.history.last_of(id));
            let first = first.max_by_key(|confirm| confirm.offset).cloned();
            return Err((ResultCode::StalePlan, first));
        }
        let plan = Plan::new(&self.config, &pending.intent).map_err(|error| (error.code, None))?;
        if plan.digest() != confirm.digest {
            return Err((ResultCode::DigestMismatch, None));
        }
        Ok(plan)
    }

    fn apply_plan(&mut self, confirm_ref: &ConfirmRef, confirm: &Confirm, plan: Plan) -> Verdict {
        let mut versions = BTreeMap::new();
        let (services, routes) = plan.into_after();
        for (id, after) in services {
            match after {
                Some(service) => {
                    versions.insert(ItemId::from(&id), self.put_service(id, service));
                }
                None => self.remove_service(&id),
            }
        }
        for (id, after) in routes {
            match after {
                Some(route) => {
                    versions.insert(ItemId::from(&id), self.put_route(id, route));
                }
                None => self.remove_route(&id),
            }
        }
        self.confirms += 1;
        self.pending.remove(confirm.intent);
        self.history
            .record_accepted(confirm_ref, confirm.bases.keys(), &self.config);
        Verdict::InForce { versions }
    }

    fn put_service(&mut self, id: ServiceId, mut service: Service) -> Version {
        if !self.config.services.contains_key(&id) && service.version <= self.floor {
            service.version = self.floor.next();
            for target in service.targets.values_mut() {
                target.generation = service.version.0;
            }
        }
        let version = service.version;
        self.config.services.insert(id, Arc::new(service));
        version
    }

    fn remove_service(&mut self, id: &ServiceId) {
        if let Some(removed) = self.config.services.remove(id) {
            self.floor = self.floor.max(removed.version);
        }
    }

    fn put_route(&mut self, id: RouteId, mut route: ConfiguredRoute) -> Version {
        if !self.config.routes.contains_key(&id) && route.version <= self.floor {
            route.version = self.floor.next();
        }
        let version = route.version;
        self.config.routes.insert(id, route);
        version
    }

    fn remove_route(&mut self, id: &RouteId) {
        if let Some(removed) = self.config.routes.remove(id) {
            self.floor = self.floor.max(removed.version);
        }
    }
}
