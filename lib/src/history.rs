//! The most recent confirms and their verdicts.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::item_id::ItemId;
use crate::offset::Offset;
use crate::operator_id::OperatorId;
use crate::record_id::RecordId;
use crate::version::Version;

/// The number of confirms that are kept.
pub const MAX_HISTORY: usize = 256;

/// The number of removed services and routes whose last confirm is kept.
const MAX_REMOVED: usize = 256;

/// Identifies a confirm and the operator who made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmRef {
    /// The confirm's offset; of conflicting confirms the lowest takes effect.
    pub offset: Offset,
    /// The confirm's record id.
    pub id: RecordId,
    /// The operator who confirmed.
    pub operator: OperatorId,
}

/// Whether a confirm took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum Verdict {
    /// The plan came into force.
    InForce {
        /// The new versions of the changed services and routes; removed ones are absent.
        versions: BTreeMap<ItemId, Version>,
    },
    /// The confirm has no effect.
    Rejected {
        /// The number of the result code that states the reason.
        code: u16,
        /// The conflicting confirm that came first, if that is the reason.
        by: Option<ConfirmRef>,
    },
}

/// A confirm and its verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The confirm.
    pub confirm: ConfirmRef,
    /// The record id of the confirmed intent.
    pub intent: RecordId,
    /// The intent's note; empty when the intent is unknown.
    pub note: Box<str>,
    /// The services and routes that the confirm lists, up to a bound.
    #[serde(rename = "services")]
    pub items: Vec<ItemId>,
    /// Whether the confirm took effect.
    pub verdict: Verdict,
}

impl HistoryEntry {
    /// Returns whether the confirm took effect.
    pub fn is_in_force(&self) -> bool {
        matches!(self.verdict, Verdict::InForce { .. })
    }
}

/// The most recent confirms, oldest first, and the last accepted one of each service and route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct History {
    entries: VecDeque<HistoryEntry>,
    last: BTreeMap<ItemId, ConfirmRef>,
}

impl History {
    /// Adds a confirm and drops the oldest one beyond the bound.
    pub(crate) fn push(&mut self, entry: HistoryEntry) {
        self.entries.push_back(entry);
        if self.entries.len() > MAX_HISTORY {
            self.entries.pop_front();
        }
    }

    /// Records an accepted confirm as the last one of its items.
    pub(crate) fn record_accepted<'a>(
        &mut self,
        confirm: &ConfirmRef,
        items: impl Iterator<Item = &'a ItemId>,
        config: &Config,
    ) {
        for item in items {
            self.last.insert(item.clone(), confirm.clone());
        }
        let configured = config.services.len() + config.routes.len();
        while self.last.len() > configured + MAX_REMOVED {
            let oldest = self
                .last
                .iter()
                .filter(|(id, _)| !config.contains(id))
                .min_by_key(|(id, confirm)| (confirm.offset, (*id).clone()))
                .map(|(id, _)| id.clone());
            let Some(oldest) = oldest else { return };
            self.last.remove(&oldest);
        }
    }

    /// Returns the last accepted confirm of the item.
    pub(crate) fn last_of(&self, item: &ItemId) -> Option<&ConfirmRef> {
        self.last.get(item)
    }

    /// Returns the accepted confirm of the intent.
    pub(crate) fn accepted_of(&self, intent: RecordId) -> Option<&ConfirmRef> {
        let mut accepted = self.entries.iter().filter(|entry| entry.is_in_force());
        accepted
            .find(|entry| entry.intent == intent)
            .map(|entry| &entry.confirm)
    }

    /// Returns the confirms, oldest first.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.entries.iter()
    }
}
