//! What a slot pool counts.

use serde::Serialize;

/// Counters of one pool since it was made.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PoolCounters {
    /// Requests submitted.
    pub submitted: u64,
    /// Requests started.
    pub started: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests passed on to another home.
    pub spilled: u64,
    /// Requests cancelled while they were queued.
    pub cancelled: u64,
    /// Second copies sent.
    pub hedges: u64,
    /// Probes sent.
    pub probes: u64,
    /// Target time that probes took, in microseconds, as seen from here.
    pub probe_micros: u64,
    /// Probes that had to wait because the measuring budget was spent.
    pub probes_refused: u64,
    /// Requests sent to an ejected target as a trial.
    pub trials: u64,
    /// Judgements that ejected targets or released them.
    pub ejections: u64,
    /// `Finished` events for attempts that are not in flight.
    pub unknown: u64,
}
