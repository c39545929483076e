//! What happens in a simulation of the daemon's decisions.

use carobshore_lib::prelude::AttemptResult;

use crate::sim_target::AttemptRef;
use crate::sim_vm::PoolId;

/// One sending of a request. A request that is sent again has a higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sending {
    /// The request.
    pub job: usize,
    /// Which sending.
    pub number: u8,
}

/// An event in virtual time.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A request arrives at its entry VM.
    Arrive(usize),
    /// A forwarded or spilled request arrives at a VM.
    Forwarded {
        /// The request.
        sending: Sending,
        /// The VM.
        vm: usize,
        /// Whether another home passed it on.
        spilled: bool,
    },
    /// A VM finds out that another one cannot be reached.
    Unreachable {
        /// The request that was to be forwarded.
        sending: Sending,
        /// The VM that forwards.
        from: usize,
        /// The VM that is gone.
        to: usize,
        /// Whether a home wanted to pass the request on.
        spilled: bool,
    },
    /// The entry VM gives up a request whose path is broken.
    GiveUp(Sending),
    /// An attempt arrives at its target.
    AtTarget(AttemptRef),
    /// A target finished an attempt.
    Served(AttemptRef),
    /// The response of an attempt arrives at its pool.
    Response {
        /// The attempt.
        attempt: AttemptRef,
        /// Requests that hold a slot of the target.
        in_flight: u32,
        /// Requests that wait inside the target.
        queued: u32,
        /// Whether the target drains.
        drains: bool,
    },
    /// An attempt failed without a response.
    Failed {
        /// The attempt.
        attempt: AttemptRef,
        /// How it failed.
        result: AttemptResult,
    },
    /// A target learns that the connection of an attempt was closed.
    Cancelled {
        /// The attempt.
        attempt: AttemptRef,
        /// The target.
        target: usize,
    },
    /// A response arrives at a VM on its way back.
    Returned {
        /// The request.
        sending: Sending,
        /// The position of the VM on the request's path.
        hop: usize,
        /// The VM that sent the response on.
        from: usize,
        /// The sender's free slots and queue length, if it is a home.
        load: Option<(u32, u32)>,
    },
    /// A heartbeat arrives.
    Heartbeat {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// The sender's free slots and queue length.
        load: (u32, u32),
    },
    /// A pool asked to be woken.
    Tick(PoolId),
    /// A second passed.
    Second,
    /// A VM sees on the platform's list that a target leaves.
    Listed {
        /// The VM.
        vm: usize,
        /// The target.
        target: usize,
    },
    /// A target is configured again after it drained.
    Renewed(usize),
    /// A VM takes over the newest configuration and roster.
    NewView(usize),
    /// The failure domain disappears.
    DomainGone,
    /// The VMs that are gone are out of the roster.
    Displaced,
}
