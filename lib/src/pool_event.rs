//! The events that a slot pool handles.

use std::time::Instant;

use serde::Serialize;

use crate::peer_load::PeerLoad;
use crate::target_id::TargetId;
use crate::ticket::Ticket;
use crate::ticket::TicketId;

/// Identifies an attempt or probe within one pool, which assigns the id.
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
    /// The target refused the request before starting it, because it sheds load.
    Shed,
    /// The target refused the request before starting it, because it drains.
    Draining,
    /// The target refused the request before starting it, because the deadline is too close.
    Deadline,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke, or the response was truncated.
    Broken,
    /// No complete response arrived in time.
    TimedOut,
    /// The attempt was cancelled, by the pool or because the caller disconnected.
    Cancelled,
}

impl AttemptResult {
    /// Returns whether the result counts as a failure of the target.
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
    /// Requests that the target is working on.
    pub in_flight: u32,
    /// Requests in the target's own queue.
    pub queued: u32,
}

/// An input of the slot pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolEvent {
    /// A request needs a slot.
    Submit(Ticket),
    /// The caller of a request disconnected. A queued request is removed without an action; the
    /// attempts of a started one are cancelled.
    Cancel(TicketId),
    /// An attempt or probe ended. Each one needs exactly one such event, also after
    /// `PoolAction::Cancel`, because its slot stays in use until then.
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
        /// The target that sent the report.
        target: TargetId,
        /// The reported load.
        load: TargetLoad,
    },
    /// A target drains. It gets no new requests until a newer generation of it is configured.
    Drain {
        /// The target.
        target: TargetId,
    },
    /// Another home reported its load.
    Peer(PeerLoad),
    /// The read lease is valid until the given time. No probe is sent without one, because a VM
    /// that cannot read the log does not know its share of the measurement budget.
    Lease {
        /// The end of the lease.
        until: Instant,
    },
    /// A timer fired; see `SlotPool::wakeup`.
    Tick,
}
