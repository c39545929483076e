//! One VM's share of a budget of repeated requests that all VMs have together.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The budget that all VMs have together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// The time over which both are counted.
    pub window: Duration,
    /// Repeats that one VM may make in a window, however few requests it has. The sum over all
    /// VMs has to stay below what the budget allows beyond the ratio.
    pub floor: u32,
}

/// Counts the requests and repeats of one service at one VM.
///
/// Each VM repeats no more than the ratio of its own requests and its floor, so that the sum over
/// the VMs stays within the budget without any message between them.
#[derive(Debug)]
pub struct RetryAllowance {
    limits: RetryLimits,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryAllowance {
    /// Starts with an empty window.
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

    /// Takes one repeat from the allowance. Returns false when it is spent.
    pub fn retry(&mut self, now: Instant) -> bool {
        let allowed = self.available(now) > 0;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Returns how many repeats are possible at once.
    pub fn available(&mut self, now: Instant) -> usize {
        self.expire(now);
        let by_ratio = (self.requests.len() as f64 * self.limits.ratio) as usize;
        let most = by_ratio + self.limits.floor as usize;
        most.saturating_sub(self.retries.len())
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
