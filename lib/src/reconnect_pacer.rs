//! The pace of calls to a store that does not answer.

use std::time::Duration;
use std::time::Instant;

use crate::backoff::Backoff;

/// The first and the longest time between the starts of two calls. A VM counts as connected again
/// 3 s after the store has returned. By then, a call has to have noticed the return, and
/// [`REANNOUNCE_TIME`](crate::target_directory::REANNOUNCE_TIME), for which targets without entries stay in
/// use, has to have passed since the first answer.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two calls of a VM, for each of the VMs before it that are alive and wait for
/// the store, too. The VM learns of the return from them. Its own calls only find out whether the
/// store serves this VM while it does not serve the others.
const INTERVAL_PER_WAITING_VM: Duration = Duration::from_secs(1);
/// Maximum number of waiting VMs that count, which bounds the time between calls.
const MAX_WAITING_VMS: u32 = 10;
/// Maximum number of calls in flight. With the longest time between them, a call has 3 s for its
/// answer.
const MAX_IN_FLIGHT: usize = 6;

/// Determines when the next call to the store starts.
#[derive(Clone, Copy, Debug)]
pub struct ReconnectPacer {
    backoff: Backoff,
    last: Option<Instant>,
    next: Instant,
}

impl ReconnectPacer {
    /// Creates the pacer. The first call is due at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            backoff: Backoff::new(MIN_INTERVAL, MAX_INTERVAL),
            last: None,
            next: now,
        }
    }

    /// Returns when the next call is due, or `None` while too many calls are in flight. `waiting`
    /// is the number of VMs that would report the return of the store.
    pub fn due(&self, in_flight: usize, waiting: usize) -> Option<Instant> {
        let waiting = u32::try_from(waiting)
            .unwrap_or(u32::MAX)
            .min(MAX_WAITING_VMS);
        let due = match self.last {
            Some(last) if waiting > 0 => last + INTERVAL_PER_WAITING_VM * waiting,
            _ => self.next,
        };
        (in_flight < MAX_IN_FLIGHT).then_some(due)
    }

    /// Records that a call has started.
    pub fn began(&mut self, now: Instant) {
        self.last = Some(now);
        self.next = now + self.backoff.failed();
    }
}
