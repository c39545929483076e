//! The counters of a slot pool.

use serde::Serialize;

/// Counters of one pool since its creation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PoolCounters {
    /// Requests submitted, including retries and those spilled by other homes.
    pub submitted: u64,
    /// Requests started on a target; hedges are counted apart.
    pub started: u64,
    /// Requests answered as "not run".
    pub rejected: u64,
    /// Requests forwarded to another home.
    pub spilled: u64,
    /// Requests whose caller disconnected while they were queued.
    pub cancelled: u64,
    /// Second copies sent.
    pub hedges: u64,
    /// Probes sent, to ejected and to idle targets.
    pub probes: u64,
    /// Target time that probes used, in microseconds, as measured by this VM.
    pub probe_micros: u64,
    /// Probes delayed because the measurement budget was spent.
    pub probes_refused: u64,
    /// Requests sent to an ejected target as a trial.
    pub trials: u64,
    /// Outlier checks that ejected targets or put them back into service.
    pub ejections: u64,
    /// `Finished` events for attempts that are not in flight.
    pub unknown: u64,
}
