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

/// How a follower reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerSettings {
    /// The VM itself; `None` for a client, which never appends snapshots.
    pub vm: Option<VmId>,
    /// The time between two reads of the log.
    pub poll_interval: Duration,
    /// The time after which an answer counts as missing.
    pub timeout: Duration,
    /// The time without a successful read after which peers are asked.
    pub log_timeout: Duration,
    /// The time after the start during which a VM that cannot read the log waits to hear from
    /// peers before it serves what one of them has.
    pub peer_wait: Duration,
    /// The delay before a scan of the log is repeated that found no usable snapshot.
    pub rescan_delay: Duration,
    /// The most records that one read asks for.
    pub page_size: u32,
    /// The number of applied records that are kept for peers.
    pub recent_records: usize,
    /// The bytes of applied records that are kept for peers.
    pub recent_bytes: usize,
    /// The number of records after which a new snapshot is due.
    pub snapshot_every: u64,
    /// The age at which a new snapshot is due. It has to be well below the retention time.
    pub snapshot_age: Duration,
    /// The delay per rank before a VM appends a snapshot that is due.
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

/// What happened to a read, or what a peer said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerEvent {
    /// Time has passed.
    Tick,
    /// A read of the log succeeded.
    Page {
        /// The offset from which was read.
        from: Offset,
        /// When the read was issued.
        issued: Instant,
        /// What was read.
        page: LogPage,
    },
    /// The log no longer has the records that were asked for.
    Expired {
        /// The oldest offset that it has.
        first: Offset,
    },
    /// A read of the log failed.
    ReadFailed,
    /// A peer said how far it has applied the log.
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
        /// Its recent records; `first` is the oldest that it keeps.
        page: LogPage,
    },
    /// A peer answered `snapshot`.
    PeerSnapshot {
        /// The peer.
        vm: VmId,
        /// The chunks.
        records: Vec<Record>,
    },
    /// A peer cannot be reached or did not answer.
    PeerFailed {
        /// The peer.
        vm: VmId,
    },
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerAction {
    /// Read the log.
    Read {
        /// The first offset.
        from: Offset,
        /// The most records.
        max: u32,
    },
    /// Ask a peer for records.
    FetchRecords {
        /// The peer.
        vm: VmId,
        /// The first offset.
        from: Offset,
    },
    /// Ask a peer for its fold.
    FetchSnapshot {
        /// The peer.
        vm: VmId,
    },
    /// The fold has changed.
    Advanced {
        /// Whether the configuration differs.
        config: bool,
        /// Whether the roster differs.
        roster: bool,
    },
    /// One record changed the roster. Emitted for every such record in the order of the log, also
    /// for the records of one read: ownership of keys depends on every state of the roster.
    RosterChanged {
        /// The roster after the record.
        roster: Roster,
        /// Whether the record is a `leave`, whose VM had stopped to accept keys.
        handover: Handover,
    },
    /// The fold was replaced by a snapshot, so that states of the roster may have been missed.
    SnapshotInstalled,
    /// The fold holds every record that was on the log when this read was issued. Only this renews
    /// the read lease.
    CaughtUp {
        /// When the read was issued.
        issued: Instant,
    },
    /// The VM may serve; emitted once.
    Ready,
    /// Append a snapshot of the fold.
    AppendSnapshot {
        /// The chunks.
        records: Vec<Record>,
    },
    /// Something is wrong that an operator should know.
    Report(Error),
}
