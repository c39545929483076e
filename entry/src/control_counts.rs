//! What the control thread has done so far.

use serde::Serialize;

/// Counts of what the control thread did, for the dump and the metrics.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlCounts {
    /// Successful reads of the log.
    pub reads: u64,
    /// Failed reads of the log.
    pub read_failures: u64,
    /// Records that were appended.
    pub appends: u64,
    /// Records that were given up.
    pub append_failures: u64,
    /// Heartbeats that were answered.
    pub heartbeats: u64,
    /// Heartbeats that were not answered.
    pub heartbeat_failures: u64,
    /// Successful reads of the platform's list.
    pub list_reads: u64,
    /// Failed reads of the platform's list.
    pub list_failures: u64,
    /// Views that were published to the data thread.
    pub views: u64,
}
