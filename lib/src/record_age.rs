//! How long a VM relies on what other VMs tell it about the store.
//!
//! A VM may learn the store's records through any number of other VMs, and each of them may wait for
//! a response that never comes. So answers carry the age of what they say: the time since the store
//! confirmed it. Whatever the others do, a VM whose records have grown too old calls the store
//! itself.

use std::time::Duration;
use std::time::Instant;

/// The age from which on the VM that comes directly behind the first one calls the store itself. The
/// first one has noticed by then that its own read has failed.
const FIRST_LIMIT: Duration = Duration::from_millis(1_200);
/// The age from which on the other VMs call the store themselves. By then, they know whether the
/// second one has become the source, so that not all of them call the store.
const OTHERS_LIMIT: Duration = Duration::from_millis(1_400);

/// How long a VM that has just started waits for the VMs before it: the first one of a failure
/// domain, the next one, and each further one in addition. If a failure domain starts as a whole and
/// its first VMs do not, the others call the store one after the other.
const FIRST_START_WAIT: Duration = Duration::from_millis(300);
const START_WAIT: Duration = Duration::from_millis(1_000);
const START_STEP: Duration = Duration::from_millis(50);
/// The number of VMs that wait for different times.
const MAX_START_STEPS: u32 = 60;

/// The age of the records of one topic.
#[derive(Clone, Copy, Debug)]
pub struct RecordAge {
    started: Instant,
    /// When the store last confirmed the records; nothing if this VM has none.
    confirmed: Option<Instant>,
}

impl RecordAge {
    /// Creates the age of a VM that has just started, which may first ask others.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            confirmed: None,
        }
    }

    /// Records that the records were current at `at`, according to the store.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns the time since the records were current, or since the start.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed.unwrap_or(self.started))
    }

    /// Returns when a VM that has `preceding` VMs of its failure domain before it calls the store
    /// itself.
    pub fn store_due(&self, preceding: usize) -> Instant {
        match (self.confirmed, preceding) {
            (Some(confirmed), 0 | 1) => confirmed + FIRST_LIMIT,
            (Some(confirmed), _) => confirmed + OTHERS_LIMIT,
            (None, 0) => self.started + FIRST_START_WAIT,
            (None, preceding) => {
                let steps = u32::try_from(preceding - 1).unwrap_or(MAX_START_STEPS);
                self.started + START_WAIT + START_STEP * steps.min(MAX_START_STEPS)
            }
        }
    }
}

/// Returns when the store confirmed what another VM has answered, at the earliest. The poll was sent
/// at `sent` and answered at `received`, after the other VM had held it for `held`; at the end of that
/// time the confirmation was `age` old. The rest of the time it was on its way, and all of that may
/// have been the way back. VMs of earlier releases do not say how long they held a poll.
pub fn confirmed_at(
    sent: Instant,
    received: Instant,
    held: Option<Duration>,
    age: Duration,
) -> Option<Instant> {
    let elapsed = received.saturating_duration_since(sent);
    let travel = held.map_or(Duration::ZERO, |held| elapsed.saturating_sub(held));
    received.checked_sub(age + travel)
}
