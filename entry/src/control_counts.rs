//! Counters of the control thread.

use serde::Serialize;

/// What the control thread has done since the start, for the dump and the metrics.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlCounts {
    /// Successful reads of the log.
    pub reads: u64,
    /// Failed reads of the log.
    pub read_failures: u64,
    /// Records that were appended.
    pub appends: u64,
    /// Records whose append failed for good.
    pub append_failures: u64,
    /// Heartbeats that were answered.
    pub heartbeats: u64,
    /// Heartbeats that were not answered.
    pub heartbeat_failures: u64,
    /// Successful reads of the platform's list of VMs.
    pub list_reads: u64,
    /// Failed reads of the platform's list of VMs.
    pub list_failures: u64,
    /// Views that were published to the data thread.
    pub views: u64,
}
