//! The unconfirmed intents.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::intent::Intent;
use crate::offset::Offset;
use crate::record_id::RecordId;

/// The maximum number of unconfirmed intents; beyond it the oldest is dropped.
pub const MAX_PENDING: usize = 1_024;

/// The maximum number of changes in all unconfirmed intents together. It bounds their memory to
/// about 5 MB, which `MAX_PENDING` intents of the largest size would exceed by far.
pub const MAX_PENDING_CHANGES: usize = 16_384;

/// An unconfirmed intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingIntent {
    /// The intent's record id.
    pub id: RecordId,
    /// The intent's offset.
    pub offset: Offset,
    /// The proposed changes.
    pub intent: Intent,
}

/// The unconfirmed intents, oldest first, bounded in number and total size.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Pending(VecDeque<PendingIntent>);

impl Pending {
    /// Adds an intent and drops the oldest ones beyond the bounds.
    pub(crate) fn push(&mut self, pending: PendingIntent) {
        self.0.push_back(pending);
        let mut changes: usize = self.0.iter().map(|p| p.intent.changes.len()).sum();
        while self.0.len() > MAX_PENDING || changes > MAX_PENDING_CHANGES {
            let Some(dropped) = self.0.pop_front() else {
                return;
            };
            changes -= dropped.intent.changes.len();
        }
    }

    /// Returns the intent with the given record id.
    pub(crate) fn get(&self, id: RecordId) -> Option<&PendingIntent> {
        self.0.iter().find(|pending| pending.id == id)
    }

    /// Removes the intent with the given record id.
    pub(crate) fn remove(&mut self, id: RecordId) {
        self.0.retain(|pending| pending.id != id);
    }

    /// Returns the intents, oldest first.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &PendingIntent> {
        self.0.iter()
    }
}
