//! The actions that a slot pool asks its driver to take.

use crate::pool_event::AttemptId;
use crate::result_code::ResultCode;
use crate::target_id::TargetId;
use crate::ticket::TicketId;
use crate::vm_id::VmId;

/// An output of the slot pool. Each submitted ticket gets exactly one of `Start`, `Reject` and
/// `Spill`, unless it is cancelled while queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Send the request to the target.
    Start {
        /// The request.
        ticket: TicketId,
        /// The id of the attempt, for the events about it.
        attempt: AttemptId,
        /// Where to send it.
        target: TargetId,
    },
    /// Send a second copy of a started idempotent request. The first response is used.
    Hedge {
        /// The request.
        ticket: TicketId,
        /// The id of the second copy's attempt.
        attempt: AttemptId,
        /// Where to send it.
        target: TargetId,
    },
    /// Answer "not run" with the code.
    Reject {
        /// The request.
        ticket: TicketId,
        /// The reason, for the response.
        code: ResultCode,
    },
    /// Forward the request to another home, marked as spilled.
    Spill {
        /// The request.
        ticket: TicketId,
        /// The home to which it is forwarded.
        vm: VmId,
    },
    /// Send `GET /probe` to the target.
    Probe {
        /// The id of the probe, for `PoolEvent::Finished`.
        attempt: AttemptId,
        /// Where to send it.
        target: TargetId,
    },
    /// Close the connection of the attempt, then report `Finished` with `Cancelled`.
    Cancel {
        /// The attempt or probe.
        attempt: AttemptId,
    },
}
