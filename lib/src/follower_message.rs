//! The settings, events and actions of a follower.

use std::time::Duration;
use std::time::Instant;

use crate::error::Error;
use crate::key_history::Handover;
use crate::log_page::LogPage;
use crate::offset::Offset;
use crate::record::Record;
use crate::roster::Roster;
use crate::vm_id::VmId;

/// The timing and the limits of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerSettings {
    /// The id of this VM; `None` for a client, which never appends snapshots.
    pub vm: Option<VmId>,
    /// The interval between reads of the log.
    pub poll_interval: Duration,
    /// The time after which a request without a response counts as failed.
    pub timeout: Duration,
    /// The time without a successful read after which the log counts as unavailable and peers are
    /// asked.
    pub log_timeout: Duration,
    /// The time after the start for which a VM that cannot read the log collects the applied
    /// offsets of its peers, before it becomes ready with the state of one of them.
    pub peer_wait: Duration,
    /// The delay before the log is searched again after a search found no usable snapshot.
    pub rescan_delay: Duration,
    /// The maximum number of records that one read requests.
    pub page_size: u32,
    /// The maximum number of applied records that are kept for peers.
    pub recent_records: usize,
    /// The maximum size of the applied records that are kept for peers, in bytes.
    pub recent_bytes: usize,
    /// The number of records after which a new snapshot is due.
    pub snapshot_every: u64,
    /// The age of the last snapshot at which a new one is due. It must be well below the log's
    /// retention time.
    pub snapshot_age: Duration,
    /// The delay per rank in the roster before a VM appends a snapshot that is due.
    pub rank_delay: Duration,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self {
            vm: None,
            poll_interval: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
            log_timeout: Duration::from_millis(1_500),
            peer_wait: Duration::from_secs(2),
            rescan_delay: Duration::from_secs(5),
            page_size: 256,
            recent_records: 1_024,
            recent_bytes: 4 * 1_024 * 1_024,
            snapshot_every: 10_000,
            snapshot_age: Duration::from_secs(3_600),
            rank_delay: Duration::from_secs(2),
        }
    }
}

/// An input to the follower: the result of a read, a message from a peer, or a timer tick.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerEvent {
    /// A timer tick.
    Tick,
    /// A read of the log succeeded.
    Page {
        /// The first offset that was requested.
        from: Offset,
        /// When the read was issued.
        issued: Instant,
        /// The records and the bounds of the log.
        page: LogPage,
    },
    /// The log no longer retains the requested records.
    Expired {
        /// The oldest offset that it retains.
        first: Offset,
    },
    /// A read of the log failed.
    ReadFailed,
    /// A peer reported the offset up to which it has applied the log.
    PeerOffset {
        /// The peer.
        vm: VmId,
        /// Its applied offset.
        applied: Offset,
    },
    /// A peer answered `records_since`.
    PeerRecords {
        /// The peer.
        vm: VmId,
        /// Its recent records; `first` is the offset of the oldest one that it keeps.
        page: LogPage,
    },
    /// A peer answered `snapshot`.
    PeerSnapshot {
        /// The peer.
        vm: VmId,
        /// The chunks of the snapshot.
        records: Vec<Record>,
    },
    /// A peer cannot be reached or did not answer.
    PeerFailed {
        /// The peer.
        vm: VmId,
    },
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerAction {
    /// Read the log.
    Read {
        /// The first offset to read.
        from: Offset,
        /// The maximum number of records.
        max: u32,
    },
    /// Call `records_since` on a peer.
    FetchRecords {
        /// The peer.
        vm: VmId,
        /// The first offset to return.
        from: Offset,
    },
    /// Call `snapshot` on a peer.
    FetchSnapshot {
        /// The peer.
        vm: VmId,
    },
    /// The replicated state has advanced.
    Advanced {
        /// Whether the configuration changed.
        config: bool,
        /// Whether the roster changed.
        roster: bool,
    },
    /// One record changed the roster. Emitted for every such record in log order, even within one
    /// read, because key ownership depends on each intermediate roster.
    RosterChanged {
        /// The roster after the record.
        roster: Roster,
        /// Whether the record is a `leave`, whose VM had stopped accepting keys before.
        handover: Handover,
    },
    /// The state was replaced by a snapshot, so intermediate rosters may have been missed.
    SnapshotInstalled,
    /// Every record that was on the log when this read was issued has been applied. Only this
    /// renews the read lease.
    CaughtUp {
        /// When the read was issued.
        issued: Instant,
    },
    /// The VM may start serving; emitted once.
    Ready,
    /// Append a snapshot of the state.
    AppendSnapshot {
        /// The chunks of the snapshot.
        records: Vec<Record>,
    },
    /// Report an error to the operator.
    Report(Error),
}
