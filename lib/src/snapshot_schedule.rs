//! When a VM appends a snapshot.

use std::time::Duration;
use std::time::Instant;

use crate::offset::Offset;
use crate::replicated_state::ReplicatedState;
use crate::snapshot_marks::SnapshotMark;

/// The time after which a VM that appended a snapshot tries again if the log shows none.
const RETRY: Duration = Duration::from_secs(60);

/// The highest rank that still adds to the delay, so that the VMs with the lowest ranks may all be
/// gone without delaying the snapshot for long.
const MAX_RANK: usize = 32;

/// The newest snapshot has to lie outside the oldest quarter of the retained records.
const OLDEST_PART: u64 = 4;

/// Decides when the records behind the newest snapshot are many, old, or close to expiry.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSchedule {
    every: u64,
    age: Duration,
    rank_delay: Duration,
    newest: Option<SnapshotMark>,
    checked: bool,
    since: Instant,
    due: Option<Instant>,
}

impl SnapshotSchedule {
    /// Starts the schedule. How old the newest snapshot is cannot be known at the start, so half
    /// of the allowed age is assumed.
    pub(crate) fn new(now: Instant, every: u64, age: Duration, rank_delay: Duration) -> Self {
        Self {
            every,
            age,
            rank_delay,
            newest: None,
            checked: false,
            since: now.checked_sub(age / 2).unwrap_or(now),
            due: None,
        }
    }

    /// Returns whether this VM has to append a snapshot now. `first` is the oldest retained offset
    /// and `rank` the VM's position in the roster; lower ranks act earlier, and the others find
    /// that snapshot when their turn comes.
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
                self.since = now;
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
        let behind = applied.saturating_sub(needed);
        let retained = applied.saturating_sub(first.0);
        let margin = needed.saturating_sub(first.0);
        let expiring = first.0 > 0 && margin.saturating_mul(OLDEST_PART) < retained;
        let old = now.saturating_duration_since(self.since) >= self.age;
        applied > 0 && (behind >= self.every || old || expiring)
    }
}
