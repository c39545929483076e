//! What a simulation shows.

use std::time::Duration;

use crate::tally::Latencies;

/// The window in which the cost of measuring is summed up.
const WINDOW: Duration = Duration::from_secs(1);

/// The result of one simulation, or of several with different seeds.
#[derive(Clone, Debug, Default)]
pub struct SimResult {
    /// Latencies of complete responses.
    pub latencies: Latencies,
    /// Requests answered "not run".
    pub rejected: u64,
    /// Requests answered "may have run".
    pub lost: u64,
    /// Requests without any answer at the end.
    pub open: u64,
    /// Requests passed on to another home.
    pub spilled: u64,
    /// Second copies.
    pub hedges: u64,
    /// Probes.
    pub probes: u64,
    /// The largest cost of probes in any window of one second, by the configured cost of a probe.
    pub measured: Duration,
    /// The same by the slot time that the probes took; a slow target takes longer.
    pub measured_slots: Duration,
    /// The longest time after the begin of a drain at which the target was sent new work.
    pub drain_delay: Duration,
}

impl SimResult {
    /// Adds the result of another seed.
    pub fn merge(&mut self, other: &Self) {
        self.latencies.merge(&other.latencies);
        self.rejected += other.rejected;
        self.lost += other.lost;
        self.open += other.open;
        self.spilled += other.spilled;
        self.hedges += other.hedges;
        self.probes += other.probes;
        self.measured = self.measured.max(other.measured);
        self.measured_slots = self.measured_slots.max(other.measured_slots);
        self.drain_delay = self.drain_delay.max(other.drain_delay);
    }

    /// Returns the 99th percentile of the latencies.
    pub fn p99(&self) -> Duration {
        self.latencies.quantile(0.99)
    }
}

/// Returns the largest sum of costs in any window of one second. The costs are in order of time.
pub fn largest_window(costs: &[(Duration, Duration)]) -> Duration {
    let mut largest = Duration::ZERO;
    let mut sum = Duration::ZERO;
    let mut oldest = 0;
    for (at, cost) in costs {
        sum += *cost;
        while costs[oldest].0 + WINDOW <= *at {
            sum -= costs[oldest].1;
            oldest += 1;
        }
        largest = largest.max(sum);
    }
    largest
}
