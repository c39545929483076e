//! Notices steps of the wall clock.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::key_history::KEY_LIFETIME;
use crate::key_history::SKEW_MARGIN;

/// A difference between the progress of the two clocks above which the wall clock has stepped.
pub const STEP_LIMIT: Duration = Duration::from_secs(1);

/// By how much the reference may follow the wall clock: one part in this many. Time daemons slew
/// by at most 500 parts per million, so a slew is followed and small repeated steps add up.
const FOLLOW: u32 = 1_000;

/// Compares the progress of the wall clock with that of the monotonic clock.
#[derive(Clone, Debug)]
pub struct ClockStepDetector {
    now: Instant,
    expected: SystemTime,
    distrusted: Option<(Instant, Instant)>,
    steps: u64,
}

impl ClockStepDetector {
    /// Starts with a pair of readings.
    pub fn new(now: Instant, wall: SystemTime) -> Self {
        Self {
            now,
            expected: wall,
            distrusted: None,
            steps: 0,
        }
    }

    /// Takes a pair of readings and returns whether the wall clock may be used for keys.
    ///
    /// After a step of `s` the answer is no for `s` plus the skew margin, at most for the lifetime
    /// of a key plus the margin. By then every key that was acceptable by either reading of the
    /// clock lies in the past by both.
    pub fn observe(&mut self, now: Instant, wall: SystemTime) -> bool {
        let elapsed = now.saturating_duration_since(self.now);
        let expected = self.expected + elapsed;
        let difference = distance(expected, wall);
        self.now = self.now.max(now);
        if difference > STEP_LIMIT {
            self.steps += 1;
            self.expected = wall;
            let hold = difference.min(KEY_LIFETIME) + SKEW_MARGIN;
            let until = self.distrusted.map_or(now, |(_, until)| until);
            self.distrusted = Some((now, until.max(now + hold)));
        } else {
            let follow = difference.min(elapsed / FOLLOW);
            self.expected = match wall > expected {
                true => expected + follow,
                false => expected - follow,
            };
        }
        self.distrusted.is_none_or(|(_, until)| now >= until)
    }

    /// Returns when the last step was noticed. Log reads issued before it do not count for the
    /// read lease, because a suspended VM's monotonic clock may have stood still.
    pub fn last_step(&self) -> Option<Instant> {
        self.distrusted.map(|(step, _)| step)
    }

    /// Returns how many steps were noticed.
    pub fn steps(&self) -> u64 {
        self.steps
    }
}

fn distance(a: SystemTime, b: SystemTime) -> Duration {
    a.duration_since(b).unwrap_or_else(|error| error.duration())
}
