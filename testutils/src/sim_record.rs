//! Records of what callers, targets and the log observed. The invariants are checked from these
//! records only.

use std::time::Duration;
use std::time::SystemTime;

use carobshore_lib::prelude::*;

use crate::sim_platform::Span;

/// Whether a request may run more than once and whether it has a key.
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
    /// Whether it may run more than once and has a key.
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
    /// The index of the call.
    pub call: usize,
    /// The index of the VM.
    pub vm: usize,
    /// When it was sent.
    pub at: Duration,
    /// When the caller stops waiting.
    pub deadline: Duration,
    /// Whether the VM accepted it.
    pub arrived: bool,
    /// Whether the VM has sent its response, or the caller has gone.
    pub replied: bool,
    /// The response, once the caller has received it or the connection broke.
    pub response: Option<Response>,
}

/// The response that a caller received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// When the caller received it.
    pub at: Duration,
    /// The outcome, or `None` when the connection broke.
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

/// A period in which a target is leaving, from the first valid sign to its return.
#[derive(Clone, Copy, Debug)]
pub struct LeavingPeriod {
    /// The target.
    pub target: usize,
    /// When the first valid sign could be seen.
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
    /// When the VM served it.
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
    /// Pauses of VMs, and times in which a VM was isolated.
    pub pauses: Vec<(usize, Span)>,
    /// Requests that a planned stop cut off.
    pub cut_by_stop: Vec<usize>,
    /// For each run-once request written: the time since the connection was opened or last returned
    /// a complete response.
    pub stale_writes: Vec<Duration>,
}
