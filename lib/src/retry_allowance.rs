//! One VM's share of a retry budget that is common to all VMs.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The common budget of all VMs, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// The time over which requests and retries are counted.
    pub window: Duration,
    /// Retries that one VM may make within a window, even if it has few requests. The sum over all
    /// VMs has to stay below what the budget allows beyond the ratio.
    pub floor: u32,
}

/// Counts the requests and retries of one service at one VM.
///
/// Each VM makes no more retries than its floor plus the ratio of its own requests, so that the sum
/// over all VMs stays within the budget without any message between them.
#[derive(Debug)]
pub struct RetryAllowance {
    limits: RetryLimits,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryAllowance {
    /// Creates an allowance with an empty window.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the allowance. Returns false if it is used up.
    pub fn retry(&mut self, now: Instant) -> bool {
        let allowed = self.available(now) > 0;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Returns how many retries are possible now.
    pub fn available(&mut self, now: Instant) -> usize {
        self.expire(now);
        let by_ratio = (self.requests.len() as f64 * self.limits.ratio) as usize;
        let max = by_ratio + self.limits.floor as usize;
        max.saturating_sub(self.retries.len())
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| *at + self.limits.window <= now)
            {
                times.pop_front();
            }
        }
    }
}
