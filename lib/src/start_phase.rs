//! The time after the start of a VM in which other VMs may be starting, too.

use std::time::Duration;
use std::time::Instant;

/// How long after the start of a VM failed polls are retried.
const START_TIME: Duration = Duration::from_millis(1_500);
/// The number of VMs that are polled in turn.
const START_SOURCES: usize = 3;
/// Time limit for opening a connection in the first round of polls. A VM that has no power yet does not
/// answer. It grows with each round, for VMs that are far away.
const START_CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

/// The time after the start of a VM in which other VMs may be starting, too: failed polls are retried, with
/// the first few sources in turn. It ends with the first answer.
#[derive(Clone, Copy, Debug)]
pub struct StartPhase {
    /// When it ends; nothing after the first answer.
    end: Option<Instant>,
    /// The number of polls that have failed.
    failures: usize,
}

impl StartPhase {
    /// Begins the phase.
    pub fn new(now: Instant) -> Self {
        Self {
            end: Some(now + START_TIME),
            failures: 0,
        }
    }

    /// Returns whether no other VM has answered yet and there is time left.
    pub fn is_active(&self, now: Instant) -> bool {
        self.end.is_some_and(|end| now < end)
    }

    /// Records that another VM has answered.
    pub fn answered(&mut self) {
        self.end = None;
    }

    /// Records that a poll has failed.
    pub fn failed(&mut self) {
        self.failures += 1;
    }

    /// Returns the time limit for opening a connection, `usual` after the phase.
    pub fn connect_timeout(&self, now: Instant, usual: Duration) -> Duration {
        if !self.is_active(now) {
            return usual;
        }
        let rounds = 1 + self.failures / START_SOURCES;
        let limit = START_CONNECT_TIMEOUT * u32::try_from(rounds).unwrap_or(u32::MAX);
        limit.min(usual)
    }

    /// Moves the source whose turn it is to the front.
    pub fn rotate<T>(&self, now: Instant, sources: &mut [T]) {
        if self.is_active(now) && !sources.is_empty() {
            sources.rotate_left(self.failures % sources.len().min(START_SOURCES));
        }
    }
}
