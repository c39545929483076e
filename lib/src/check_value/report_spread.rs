//! How much the load of targets differs from what was expected of it.

use std::time::Duration;
use std::time::Instant;

use crate::decaying_average::decay;

/// Weight of a new difference in the moving average.
const WEIGHT: f64 = 0.05;
/// The relative difference that is assumed before the first report: a target with one request more
/// than expected, or a machine that is slow for a moment.
const ASSUMED: f64 = 0.5;
/// Time in which the knowledge of a report loses half of its worth. Other processes slow a machine for
/// some 150 ms.
const HALF_LIFE: Duration = Duration::from_millis(150);

/// The spread of the times that targets turn out to take, relative to the work of the request.
#[derive(Clone, Copy, Debug)]
pub struct ReportSpread {
    variance: f64,
}

impl Default for ReportSpread {
    fn default() -> Self {
        Self {
            variance: ASSUMED * ASSUMED,
        }
    }
}

impl ReportSpread {
    /// Records that a report changed the expected time of a request with the given work.
    pub fn observe(&mut self, work: Duration, before: Duration, after: Duration) {
        let difference = after.as_secs_f64() - before.as_secs_f64();
        let relative = difference / work.as_secs_f64().max(0.001);
        self.variance += WEIGHT * (relative * relative - self.variance);
    }

    /// Returns the standard deviation, in milliseconds, of the time on a target whose last report
    /// arrived at `reported`.
    pub fn get(&self, now: Instant, work: Duration, reported: Option<Instant>) -> f64 {
        let measured = self.variance.sqrt();
        let relative = match reported {
            Some(at) => measured * (1.0 - decay(now.saturating_duration_since(at), HALF_LIFE)),
            // A target that has never answered may not serve at all, however alike the others are.
            None => measured.max(ASSUMED),
        };
        relative * work.as_secs_f64() * 1_000.0
    }
}
