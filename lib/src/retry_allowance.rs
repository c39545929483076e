//! One VM's share of a retry budget that is common to all VMs.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Steps of a window in which requests and retries are counted.
const STEPS: u64 = 40;
/// Part of the common extra retries that is divided among the known VMs. As much is for a restart of
/// each of them within a window, since a process does not know what an earlier one has used; the
/// rest is for VMs that are not known yet.
const KNOWN_VMS_PART: f64 = 0.4;

/// The common budget of all VMs, for each service.
///
/// Within any window, all VMs together may make `extra` retries plus `ratio` for each request.
/// Requests are counted in the window itself, in the window before it, or in the window that begins
/// half a window earlier, whichever has most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// The time over which requests and retries are counted.
    pub window: Duration,
    /// Retries that all VMs together may make within a window in addition to the ratio.
    pub extra: f64,
}

impl RetryLimits {
    /// Returns the part of the extra retries that one of `vms` VMs may make.
    pub fn extra_of_one(&self, vms: usize) -> f64 {
        self.extra * KNOWN_VMS_PART / vms.max(1) as f64
    }
}

/// The requests and retries of one step.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    requests: u32,
    retries: u32,
}

/// Counts the requests and retries of one service at one VM.
///
/// In every window, a VM makes no more retries than its part of the extra ones plus the ratio of a
/// mean of its own requests in the three windows in which the common budget counts them. The sum of
/// these means over all VMs is at most the largest of the three sums, so that the VMs together stay
/// within the budget without any message between them, if none restarts twice within a window.
#[derive(Debug)]
pub struct RetryAllowance {
    limits: RetryLimits,
    /// When the process started.
    started: Instant,
    /// The number of the last step since `started`.
    last: u64,
    /// The steps of the last two windows, the last one at the back.
    steps: VecDeque<Step>,
}

impl RetryAllowance {
    /// Creates an allowance with empty windows for a process that started at `started`.
    pub fn new(limits: RetryLimits, started: Instant) -> Self {
        Self {
            limits,
            started,
            last: 0,
            steps: VecDeque::from([Step::default()]),
        }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Instant) {
        self.current(now).requests += 1;
    }

    /// Takes one retry from the allowance, of which there are `vms` in all. Returns false if it is
    /// used up.
    pub fn retry(&mut self, now: Instant, vms: usize) -> bool {
        let allowed = self.available(now, vms) > 0;
        if allowed {
            self.current(now).retries += 1;
        }
        allowed
    }

    /// Returns how many retries are possible now, for one of `vms` VMs.
    pub fn available(&mut self, now: Instant, vms: usize) -> usize {
        self.current(now);
        let extra = self.limits.extra_of_one(vms);
        let requests = self.cumulative_requests();
        let first = self.last.saturating_sub(STEPS);
        let mut retries = 0;
        let mut available = f64::INFINITY;
        for (start, step) in (first..=self.last).rev().zip(self.steps.iter().rev()) {
            retries += step.retries;
            let allowed = extra + self.limits.ratio * self.counted_requests(&requests, start);
            available = available.min(allowed - f64::from(retries));
        }
        // A negative number becomes 0.
        available as usize
    }

    /// Returns the number of requests before each kept step, and in all steps.
    fn cumulative_requests(&self) -> Vec<u32> {
        let mut sum = 0;
        let mut cumulative = vec![0];
        cumulative.extend(self.steps.iter().map(|step| {
            sum += step.requests;
            sum
        }));
        cumulative
    }

    /// Returns the mean number of requests in the three windows that count for any window that
    /// begins within the step `start`. Steps that such a window contains only in part are left out.
    fn counted_requests(&self, cumulative: &[u32], start: u64) -> f64 {
        let within = |from: u64, end: u64| {
            let [from, end] = [from, end].map(|step| cumulative[self.index(step)]);
            end - from
        };
        let before = within((start + 1).saturating_sub(STEPS), start);
        let middle = within((start + 1).saturating_sub(STEPS / 2), start + STEPS / 2);
        let inside = within(start + 1, start + STEPS);
        f64::from(before + middle + inside) / 3.0
    }

    /// Returns the index of a step in `steps`, or the nearest valid one, or their number if it is in
    /// the future.
    fn index(&self, step: u64) -> usize {
        let kept = self.steps.len() as u64;
        let index = (step + kept).saturating_sub(self.last + 1).min(kept);
        index as usize
    }

    /// Returns the counts of the step at `now`, after adding the steps since the last one.
    fn current(&mut self, now: Instant) -> &mut Step {
        let width = self.limits.window / STEPS as u32;
        let elapsed = now.saturating_duration_since(self.started).as_nanos();
        let step = u64::try_from(elapsed / width.as_nanos().max(1)).unwrap_or(u64::MAX);
        let kept = 2 * STEPS as usize + 1;
        let new = step.saturating_sub(self.last);
        for _ in 0..new.min(kept as u64) {
            self.steps.push_back(Step::default());
        }
        self.last = self.last.max(step);
        while self.steps.len() > kept {
            self.steps.pop_front();
        }
        self.steps.back_mut().expect("there is always a last step")
    }
}
