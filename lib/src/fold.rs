//! The state that follows from the records of the log in their order.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::intent::Intent;
use crate::offset::Offset;
use crate::operator_id::OperatorId;
use crate::record_id::RecordId;
use crate::result_code::ResultCode;
use crate::roster::Roster;
use crate::service_id::ServiceId;
use crate::version::Version;

/// What happened to a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The record took effect.
    Applied,
    /// The record or its offset was applied before; nothing changed.
    Duplicate,
    /// The record has no effect; later records are applied as usual.
    Rejected {
        /// Why.
        code: ResultCode,
        /// The confirm that came first, if that is the reason.
        by: Option<Offset>,
    },
    /// Records before this one are missing; nothing changed.
    Gap {
        /// The offset of the record that has to be applied next.
        expected: Offset,
    },
}

/// Names a confirm and who made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmRef {
    /// The confirm's offset, which decides who came first.
    pub offset: Offset,
    /// The confirm's record id.
    pub id: RecordId,
    /// Who confirmed.
    pub operator: OperatorId,
}

/// The judgement of a confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum Verdict {
    /// The plan is in force.
    InForce {
        /// The versions that the touched services got; removed services are absent.
        versions: BTreeMap<ServiceId, Version>,
    },
    /// The confirm has no effect.
    Rejected {
        /// The number of the result code that says why.
        code: u16,
        /// The confirm that came first, if that is the reason.
        by: Option<ConfirmRef>,
    },
}

/// A judged confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The confirm.
    pub confirm: ConfirmRef,
    /// The intent that it names.
    pub intent: RecordId,
    /// The intent's note; empty when the intent is unknown.
    pub note: Box<str>,
    /// The services that the confirm names.
    pub services: Vec<ServiceId>,
    /// Whether it is in force.
    pub verdict: Verdict,
}

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

/// The state after all records below one offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fold {
    config: Config,
    roster: Roster,
    applied: Offset,
    pending: VecDeque<PendingIntent>,
    history: VecDeque<HistoryEntry>,
    skipped: u64,
}

impl Fold {
    /// Returns the confirmed configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the entry VMs.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the offset of the record that is applied next: all records below it are applied.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Returns the intents that wait for a confirm, oldest first.
    pub fn pending(&self) -> impl DoubleEndedIterator<Item = &PendingIntent> {
        self.pending.iter()
    }

    /// Returns the intent with the given record id if it still waits for a confirm.
    pub fn intent(&self, id: RecordId) -> Option<&PendingIntent> {
        self.pending.iter().find(|pending| pending.id == id)
    }

    /// Returns the last confirms with their judgements, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// Returns the judgement of the confirm with the given record id.
    pub fn judged(&self, confirm: RecordId) -> Option<&HistoryEntry> {
        self.history
            .iter()
            .find(|entry| entry.confirm.id == confirm)
    }

    /// Returns how many records were skipped because they are malformed or of an unknown kind.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }
}
