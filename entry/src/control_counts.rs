//! What the control thread has done so far.

use serde::Serialize;

/// Counts of what the control thread did, for the dump and the metrics.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ControlCounts {
    /// Successful reads of the log.
    pub(crate) reads: u64,
    /// Failed reads of the log.
    pub(crate) read_failures: u64,
    /// Records that were appended.
    pub(crate) appends: u64,
    /// Records that were given up.
    pub(crate) append_failures: u64,
    /// Heartbeats that were answered.
    pub(crate) heartbeats: u64,
    /// Heartbeats that were not answered.
    pub(crate) heartbeat_failures: u64,
    /// Successful reads of the platform's list.
    pub(crate) list_reads: u64,
    /// Failed reads of the platform's list.
    pub(crate) list_failures: u64,
    /// Views that were published to the data thread.
    pub(crate) views: u64,
}
