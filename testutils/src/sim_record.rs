//! What callers, targets and the log saw. The invariants are checked from these records only.

use std::time::Duration;
use std::time::SystemTime;

use carobshore_lib::prelude::*;

use crate::sim_platform::Span;

/// What kind of request a caller makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent.
    Repeatable,
    /// Run-once without a key.
    Once,
    /// Run-once with a key.
    Keyed,
}

/// One request of a caller, over all of its deliveries.
#[derive(Clone, Debug)]
pub struct Call {
    /// The kind.
    pub kind: RequestKind,
    /// The key, also kept for requests that do not send it.
    pub key: RequestKey,
    /// When the caller created the request, by the caller's clock.
    pub created: SystemTime,
    /// How many times the caller may still send it.
    pub sends: u32,
}

/// One delivery of a request to an entry VM.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// The number of the call.
    pub call: usize,
    /// The number of the VM.
    pub vm: usize,
    /// When it was sent.
    pub at: Duration,
    /// When the caller stops waiting.
    pub deadline: Duration,
    /// Whether the VM accepted it.
    pub arrived: bool,
    /// Whether the VM has sent its response, or the caller has gone.
    pub replied: bool,
    /// What came back.
    pub response: Option<Response>,
}

/// What a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// When.
    pub at: Duration,
    /// The outcome, or nothing when the connection broke.
    pub outcome: Option<Outcome>,
    /// The result code.
    pub code: ResultCode,
    /// The call that the body of the response names.
    pub body: Option<usize>,
    /// Whether the body was complete.
    pub complete: bool,
}

/// A request that a target ran.
#[derive(Clone, Copy, Debug)]
pub struct Execution {
    /// The call.
    pub call: usize,
    /// The delivery.
    pub delivery: usize,
    /// The target.
    pub target: usize,
    /// The VM that sent it.
    pub vm: usize,
    /// When it started.
    pub at: Duration,
}

/// A target's leaving, from its first true sign to its return.
#[derive(Clone, Copy, Debug)]
pub struct LeavingPeriod {
    /// The target.
    pub target: usize,
    /// When the first true sign could be seen.
    pub at: Duration,
    /// Whether the sign could only be seen on the log.
    pub log_only: bool,
    /// When a newer generation was confirmed.
    pub until: Option<Duration>,
}

/// A configuration that a VM served.
#[derive(Clone, Copy, Debug)]
pub struct ServedConfig {
    /// The VM.
    pub vm: usize,
    /// When.
    pub at: Duration,
    /// The version of the service.
    pub version: Version,
}

/// All records of a run.
#[derive(Debug, Default)]
pub struct Records {
    /// Requests.
    pub calls: Vec<Call>,
    /// Deliveries.
    pub deliveries: Vec<Delivery>,
    /// Executions, in the order of their starts.
    pub executions: Vec<Execution>,
    /// Leaving targets.
    pub leaving_periods: Vec<LeavingPeriod>,
    /// Configurations served.
    pub served: Vec<ServedConfig>,
    /// Confirmed versions, with the time at which the log had them.
    pub confirmed: Vec<(Duration, Version)>,
    /// Pauses of VMs.
    pub pauses: Vec<(usize, Span)>,
    /// Requests that a planned stop cut off.
    pub cut_by_stop: Vec<usize>,
    /// Run-once requests written to a connection that had not answered for this long.
    pub stale_writes: Vec<Duration>,
}
