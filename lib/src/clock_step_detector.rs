//! Detection of wall-clock steps.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::key_history::KEY_LIFETIME;
use crate::key_history::SKEW_MARGIN;

/// If the two clocks differ in their progress by more than this, the wall clock has stepped.
pub const STEP_LIMIT: Duration = Duration::from_secs(1);

/// The maximum fraction of the elapsed time by which the reference follows the wall clock: one part
/// in this many. Time daemons slew by at most 500 parts per million, so a slew is followed, while
/// small repeated steps accumulate.
const MAX_SLEW_DIVISOR: u32 = 1_000;

/// Compares the progress of the wall clock with that of the monotonic clock.
#[derive(Clone, Debug)]
pub struct ClockStepDetector {
    last_now: Instant,
    expected: SystemTime,
    distrusted: Option<(Instant, Instant)>,
    steps: u64,
}

impl ClockStepDetector {
    /// Creates a detector from a first pair of readings.
    pub fn new(now: Instant, wall: SystemTime) -> Self {
        Self {
            last_now: now,
            expected: wall,
            distrusted: None,
            steps: 0,
        }
    }

    /// Processes a pair of readings and returns whether the wall clock may be used to judge keys.
    ///
    /// After a step of `s`, the wall clock is not trusted for `s` plus the skew margin, and at most
    /// for the lifetime of a key plus the margin. By then, every key that was acceptable by either
    /// reading of the clock lies in the past by both readings.
    pub fn observe(&mut self, now: Instant, wall: SystemTime) -> bool {
        let elapsed = now.saturating_duration_since(self.last_now);
        let expected = self.expected + elapsed;
        let difference = distance(expected, wall);
        self.last_now = self.last_now.max(now);
        if difference > STEP_LIMIT {
            self.steps += 1;
            self.expected = wall;
            let hold = difference.min(KEY_LIFETIME) + SKEW_MARGIN;
            let until = self.distrusted.map_or(now, |(_, until)| until);
            self.distrusted = Some((now, until.max(now + hold)));
        } else {
            let correction = difference.min(elapsed / MAX_SLEW_DIVISOR);
            self.expected = match wall > expected {
                true => expected + correction,
                false => expected - correction,
            };
        }
        self.distrusted.is_none_or(|(_, until)| now >= until)
    }

    /// Returns when the last step was detected. Log reads issued before it do not count for the
    /// read lease, because the monotonic clock of a suspended VM may have stood still.
    pub fn last_step(&self) -> Option<Instant> {
        self.distrusted.map(|(step, _)| step)
    }

    /// Returns the number of detected steps.
    pub fn steps(&self) -> u64 {
        self.steps
    }
}

fn distance(a: SystemTime, b: SystemTime) -> Duration {
    a.duration_since(b).unwrap_or_else(|error| error.duration())
}
