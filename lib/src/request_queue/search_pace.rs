//! How fast the requests of a queue find targets.

use std::time::Duration;
use std::time::Instant;

use crate::request_rate::RequestRate;

/// Time constant of the moving average. A VM of a large site sees few requests a second, so that a
/// much shorter time would count too few of them.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Number of standard deviations between the measured pace and the largest one that is likely.
const DEVIATIONS: f64 = 2.0;

/// The number of requests that found a target per time in which any request waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct SearchPace {
    /// Requests that found a target; older ones count less.
    finds: f64,
    /// Seconds in which requests waited; older ones count less.
    busy: f64,
    /// When the averages were updated.
    updated: Option<Instant>,
    /// Whether any request has waited since then.
    waiting: bool,
}

impl SearchPace {
    /// Records a request of the queue that found a target.
    pub fn observe_find(&mut self, now: Instant) {
        self.update(now);
        self.finds += 1.0;
    }

    /// Records whether any request waits from now on.
    pub fn set_waiting(&mut self, now: Instant, waiting: bool) {
        self.update(now);
        self.waiting = waiting;
    }

    /// Returns the measured pace, or nothing before anything was measured.
    pub fn measured(&self, now: Instant) -> Option<RequestRate> {
        let mut current = *self;
        current.update(now);
        RequestRate::try_from(current.finds / current.busy).ok()
    }

    /// Returns the largest number of requests per second that is likely by what was measured. It is
    /// infinite before anything was measured: a request is not refused on a guess.
    pub fn likely_max(&self, now: Instant) -> f64 {
        let mut current = *self;
        current.update(now);
        // Upper bound of a Poisson count; for none at all it is 3, as it should be for 95%.
        let most = current.finds + DEVIATIONS * (current.finds + 1.0).sqrt() + 1.0;
        most / current.busy
    }

    fn update(&mut self, now: Instant) {
        let updated = self.updated.unwrap_or(now);
        let age = now.saturating_duration_since(updated).as_secs_f64();
        let constant = TIME_CONSTANT.as_secs_f64();
        let kept = (-age / constant).exp();
        self.finds *= kept;
        self.busy *= kept;
        if self.waiting {
            self.busy += constant * (1.0 - kept);
        }
        self.updated = Some(updated.max(now));
    }
}
