//! What the slot pool is told.

use std::time::Instant;

use serde::Serialize;

use crate::peer_load::PeerLoad;
use crate::target_id::TargetId;
use crate::ticket::Ticket;
use crate::ticket::TicketId;

/// Names one attempt (or probe) within one pool; the pool chooses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// A complete response with a status below 500.
    Done,
    /// A complete response with a status of 500 or above.
    ServerError,
    /// The target refused before it started: it sheds load.
    Shed,
    /// The target refused before it started: it drains.
    Draining,
    /// The target refused before it started: the deadline is too close.
    Deadline,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke, or the response was truncated.
    Broken,
    /// No complete response arrived in time.
    TimedOut,
    /// The attempt was cancelled, by the pool or because the caller went away.
    Cancelled,
}

impl AttemptResult {
    /// Tells whether the result counts against the target.
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Self::ServerError | Self::ConnectFailed | Self::Broken | Self::TimedOut
        )
    }
}

/// The `target-load` header of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TargetLoad {
    /// Requests that the target works on.
    pub in_flight: u32,
    /// Requests that wait inside the target.
    pub queued: u32,
}

/// An input of the slot pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolEvent {
    /// A request wants a slot.
    Submit(Ticket),
    /// The caller of a request went away. A queued request is forgotten without an action; the
    /// attempts of a started one are cancelled.
    Cancel(TicketId),
    /// An attempt or probe ended. Every attempt needs exactly one, also after
    /// `PoolAction::Cancel`, because its slot stays taken until then.
    Finished {
        /// The attempt or probe.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// The first byte of an attempt's response arrived.
    FirstByte {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A response or probe carried a load report.
    Report {
        /// The target that reports.
        target: TargetId,
        /// What it reports.
        load: TargetLoad,
    },
    /// A target leaves. It gets nothing new until a newer generation of it is configured.
    Drain {
        /// The target.
        target: TargetId,
    },
    /// Another home reported its load.
    Peer(PeerLoad),
    /// The read lease holds until the given time. No probe is sent without it, because a VM that
    /// cannot read the log does not know its share of the measurement budget.
    Lease {
        /// The end of the lease.
        until: Instant,
    },
    /// Time passed; see `SlotPool::wakeup`.
    Tick,
}
