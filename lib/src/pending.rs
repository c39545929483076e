//! The intents that wait for a confirm.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::intent::Intent;
use crate::offset::Offset;
use crate::record_id::RecordId;

/// The most intents that wait for a confirm; the oldest is dropped for a new one.
pub const MAX_PENDING: usize = 1_024;

/// The most changes of all waiting intents together. It bounds the memory at about 5 MB, which
/// `MAX_PENDING` intents of the largest size would exceed by far.
pub const MAX_PENDING_CHANGES: usize = 16_384;

/// An intent that waits for its confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingIntent {
    /// The intent's record id.
    pub id: RecordId,
    /// The intent's offset.
    pub offset: Offset,
    /// The intent.
    pub intent: Intent,
}

/// The waiting intents, oldest first, within bounds.
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
