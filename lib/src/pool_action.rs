//! What the slot pool wants done.

use crate::pool_event::AttemptId;
use crate::result_code::ResultCode;
use crate::target_id::TargetId;
use crate::ticket::TicketId;
use crate::vm_id::VmId;

/// An output of the slot pool. Each submitted ticket gets exactly one of `Start`, `Reject` and
/// `Spill`, unless it is cancelled while it is queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Send the request to the target.
    Start {
        /// The request.
        ticket: TicketId,
        /// The attempt, to be named in the events that follow.
        attempt: AttemptId,
        /// Where to send it.
        target: TargetId,
    },
    /// Send a second copy of a started idempotent request. The first response wins.
    Hedge {
        /// The request.
        ticket: TicketId,
        /// The attempt of the second copy.
        attempt: AttemptId,
        /// Where to send it.
        target: TargetId,
    },
    /// Answer "not run" with the code.
    Reject {
        /// The request.
        ticket: TicketId,
        /// Why.
        code: ResultCode,
    },
    /// Forward the request to another home, marked as spilled.
    Spill {
        /// The request.
        ticket: TicketId,
        /// The other home.
        vm: VmId,
    },
    /// Send `GET /probe` to the target.
    Probe {
        /// The attempt, to be named in `PoolEvent::Finished`.
        attempt: AttemptId,
        /// Where to send it.
        target: TargetId,
    },
    /// Close the connection of the attempt, then report `Finished` with `Cancelled`.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
}
