//! When something that does not answer is asked again.

use std::time::Duration;
use std::time::Instant;

use crate::backoff::Backoff;

/// The first and the longest time between the beginnings of two calls. A VM counts as in touch
/// again 3 s after its store has returned, and targets whose entries are missing stay in use for
/// [`REANNOUNCE_TIME`](crate::target_directory::REANNOUNCE_TIME) after the first answer: both together have
/// to end before.
const FIRST: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_millis(500);
/// The time between calls of a VM, for each of the VMs before it that live and wait for the store as
/// well. It hears of the return from them; its calls only find out that the store serves this VM while
/// it does not serve the others.
const STEP: Duration = Duration::from_secs(1);
/// The most VMs that count, so that the time between calls stays bounded.
const MOST_WAITING: u32 = 10;
/// The most calls under way. With the longest time between them a call has 3 s for its answer.
const MOST: usize = 6;

/// The pace of the calls.
#[derive(Clone, Copy, Debug)]
pub struct ReturnPace {
    backoff: Backoff,
    last: Option<Instant>,
    next: Instant,
}

impl ReturnPace {
    /// Builds the pace for calls of which the first one is due at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            backoff: Backoff::new(FIRST, LONGEST),
            last: None,
            next: now,
        }
    }

    /// Returns when the next call is due, or nothing while too many are under way. `waiting` counts
    /// the VMs that would tell of the return.
    pub fn due(&self, running: usize, waiting: usize) -> Option<Instant> {
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX).min(MOST_WAITING);
        let due = match self.last {
            Some(last) if waiting > 0 => last + STEP * waiting,
            _ => self.next,
        };
        (running < MOST).then_some(due)
    }

    /// Notes that a call has begun.
    pub fn began(&mut self, now: Instant) {
        self.last = Some(now);
        self.next = now + self.backoff.failed();
    }
}
