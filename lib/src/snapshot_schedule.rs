//! Decides when a VM appends a snapshot.

use std::time::Duration;
use std::time::Instant;

use crate::offset::Offset;
use crate::replicated_state::ReplicatedState;
use crate::snapshot_marks::SnapshotMark;

/// The time after which a VM appends its snapshot again if it has not appeared on the log.
const RETRY: Duration = Duration::from_secs(60);

/// The highest rank that adds to the delay. It bounds the delay if all VMs with lower ranks are
/// gone.
const MAX_RANK: usize = 32;

/// The newest snapshot counts as close to expiry in the oldest quarter of the retained records.
const EXPIRING_DIVISOR: u64 = 4;

/// Decides when a snapshot is due: when the records after the newest one are too many, when it is
/// too old, or when records that it needs are close to expiry.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSchedule {
    every: u64,
    age: Duration,
    rank_delay: Duration,
    newest: Option<SnapshotMark>,
    /// Whether `check` was called before. The age of a snapshot that the first call finds is unknown.
    checked: bool,
    /// The assumed time of the newest snapshot.
    newest_at: Instant,
    /// When this VM's turn comes, while a snapshot is due.
    due: Option<Instant>,
}

impl SnapshotSchedule {
    /// Starts the schedule. The age of the newest snapshot is unknown at the start, so half of the
    /// allowed age is assumed.
    pub(crate) fn new(now: Instant, every: u64, age: Duration, rank_delay: Duration) -> Self {
        Self {
            every,
            age,
            rank_delay,
            newest: None,
            checked: false,
            newest_at: now.checked_sub(age / 2).unwrap_or(now),
            due: None,
        }
    }

    /// Returns whether this VM must append a snapshot now. `first` is the oldest retained offset
    /// and `rank` the VM's position in the roster. Lower ranks act earlier; the others then find
    /// that snapshot on the log and append none.
    pub(crate) fn check(
        &mut self,
        now: Instant,
        state: &ReplicatedState,
        first: Offset,
        rank: usize,
    ) -> bool {
        let newest = state.newest_snapshot();
        if newest != self.newest {
            self.newest = newest;
            self.due = None;
            if self.checked {
                self.newest_at = now;
            }
        }
        self.checked = true;
        if !self.is_due(now, state, first) {
            self.due = None;
            return false;
        }
        let delay = self.rank_delay * rank.min(MAX_RANK) as u32;
        let due = *self.due.get_or_insert(now + delay);
        if now < due {
            return false;
        }
        self.due = Some(now + RETRY + delay);
        true
    }

    fn is_due(&self, now: Instant, state: &ReplicatedState, first: Offset) -> bool {
        let needed = self.newest.map_or(Offset(0), |mark| mark.upto).0;
        let applied = state.applied().0;
        let uncovered = applied.saturating_sub(needed);
        let retained = applied.saturating_sub(first.0);
        let margin = needed.saturating_sub(first.0);
        let expiring = first.0 > 0 && margin.saturating_mul(EXPIRING_DIVISOR) < retained;
        let old = now.saturating_duration_since(self.newest_at) >= self.age;
        applied > 0 && (uncovered >= self.every || old || expiring)
    }
}
