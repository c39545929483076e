//! The requests of a service that wait because all its targets are limited.

use std::time::Duration;
use std::time::Instant;

use crate::request_rate::RequestRate;

/// When a caller may return that this VM can never serve. Another VM may have a part of the limit.
const ELSEWHERE: Duration = Duration::from_secs(1);
/// The longest time after which a caller is asked to return.
const MAX_RETURN: Duration = Duration::from_secs(30);

/// What limited targets of a service take from this VM.
#[derive(Clone, Copy, Debug)]
pub struct LimitedSupply {
    /// Requests per second, all targets together.
    pub rate: f64,
    /// Time until the next request may be sent.
    pub next: Duration,
}

impl LimitedSupply {
    /// Returns a fair part of what a target takes from `vms` VMs, of which others hold the rate and have
    /// a request to give up after `next`.
    pub fn borrowed(rate: RequestRate, vms: usize, next: Duration) -> Self {
        Self {
            rate: rate.per_second() / vms.max(1) as f64,
            next,
        }
    }

    /// Returns what one target takes by two limits that both apply.
    pub fn within(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            next: self.next.max(other.next),
        }
    }

    /// Returns what two targets take together.
    pub fn and(self, other: Self) -> Self {
        Self {
            rate: self.rate + other.rate,
            next: self.next.min(other.next),
        }
    }
}

/// Requests that wait for a limit, and callers that have been asked to return.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitQueue {
    /// The number of requests that wait.
    waiting: u32,
    /// When the last of the callers that have been refused returns.
    last_return: Option<Instant>,
}

impl LimitQueue {
    /// Adds a request, unless it would have to wait beyond `end`. Returns whether it waits.
    pub fn enter(&mut self, now: Instant, supply: Option<LimitedSupply>, end: Instant) -> bool {
        let at = supply.and_then(|supply| now.checked_add(self.wait(supply)));
        let fits = at.is_some_and(|at| at <= end);
        self.waiting += u32::from(fits);
        fits
    }

    /// Removes a request that has waited.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the time after which a caller that is refused may return. Each one gets a time of its
    /// own, as far apart as the limit demands.
    pub fn refuse(&mut self, now: Instant, supply: Option<LimitedSupply>) -> Duration {
        let Some(supply) = supply else {
            return ELSEWHERE;
        };
        let latest = now + MAX_RETURN;
        let own = now.checked_add(self.wait(supply)).unwrap_or(latest);
        let step = Duration::try_from_secs_f64(1.0 / supply.rate).unwrap_or(MAX_RETURN);
        let behind_last = self.last_return.and_then(|last| last.checked_add(step));
        let at = behind_last.map_or(own, |at| at.max(own)).min(latest);
        self.last_return = Some(at);
        at.saturating_duration_since(now)
    }

    /// Returns how long one more request would wait.
    fn wait(&self, supply: LimitedSupply) -> Duration {
        let ahead = f64::from(self.waiting) / supply.rate;
        let ahead = Duration::try_from_secs_f64(ahead).unwrap_or(MAX_RETURN);
        supply.next.saturating_add(ahead)
    }
}
