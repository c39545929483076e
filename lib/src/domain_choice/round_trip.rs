//! The round-trip time to a failure domain.

use std::time::Duration;
use std::time::Instant;

/// How long a measured time counts at least. It counts for at most twice as long.
const PERIOD: Duration = Duration::from_secs(10);
/// The time that is assumed before the first measurement.
const ASSUMED: Duration = Duration::from_millis(2);

/// The shortest time of a health check in the last seconds. Longer ones include waiting at a busy
/// machine, which is not part of the path.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTrip {
    began: Option<Instant>,
    current: Option<Duration>,
    previous: Option<Duration>,
}

impl RoundTrip {
    /// Records the time of a health check on an open connection.
    pub fn observe(&mut self, now: Instant, took: Duration) {
        let age = self.began.map(|began| now.saturating_duration_since(began));
        if age.is_none_or(|age| age > PERIOD) {
            self.previous = self
                .current
                .filter(|_| age.is_some_and(|age| age < PERIOD * 2));
            self.current = None;
            self.began = Some(now);
        }
        self.current = Some(self.current.map_or(took, |known| known.min(took)));
    }

    /// Returns the round-trip time.
    pub fn get(&self) -> Duration {
        let known = [self.current, self.previous].into_iter().flatten();
        known.min().unwrap_or(ASSUMED)
    }
}
