//! Execution counts of a target, by request id and in total.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of request ids that are counted separately.
const MAX_IDS: usize = 2_000_000;

/// How often a request was started and executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// How often the request got a slot.
    pub started: u32,
    /// How often the request was read completely and its execution began.
    pub ran: u32,
}

/// Counts of one target since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Executions {
    /// Counts by `Idempotency-Key` and by `x-request-id`. A request with both is counted under
    /// both, because a load balancer may forward it without its key.
    pub counts: HashMap<Box<str>, RunCount>,
    /// Requests that got a slot.
    pub started: u64,
    /// Requests that were read completely and whose execution began.
    pub ran: u64,
    /// Requests whose caller closed the connection before the response.
    pub cancelled: u64,
    /// Requests refused because the queue was full.
    pub shed: u64,
    /// Requests refused because the target was draining.
    pub drained: u64,
    /// Requests refused because they could not start before their deadline.
    pub late: u64,
    /// Requests not counted by id because the limit on ids was reached.
    pub untracked: u64,
    /// Probes that were answered.
    pub probes: u64,
    /// The slot time spent on probes, in seconds, for each second since the start.
    pub probe_seconds: Vec<f64>,
}

impl Executions {
    /// Counts a request that got a slot.
    pub fn record_start<'a>(&mut self, ids: impl IntoIterator<Item = &'a str>) {
        self.started += 1;
        for id in ids {
            if let Some(count) = self.entry(id) {
                count.started += 1;
            }
        }
    }

    /// Counts a request whose execution began.
    pub fn record_run<'a>(&mut self, ids: impl IntoIterator<Item = &'a str>) {
        self.ran += 1;
        for id in ids {
            if let Some(count) = self.entry(id) {
                count.ran += 1;
            }
        }
    }

    /// Counts a probe that ended at `since` after the target's start and took `cost` of slot time.
    pub fn record_probe(&mut self, since: Duration, cost: Duration) {
        let second = usize::try_from(since.as_secs()).unwrap_or(usize::MAX);
        if self.probe_seconds.len() <= second {
            self.probe_seconds.resize(second + 1, 0.0);
        }
        self.probe_seconds[second] += cost.as_secs_f64();
        self.probes += 1;
    }

    /// Returns the highest number of executions of a single id.
    pub fn max_runs(&self) -> u32 {
        self.counts
            .values()
            .map(|count| count.ran)
            .max()
            .unwrap_or(0)
    }

    fn entry(&mut self, id: &str) -> Option<&mut RunCount> {
        let known = self.counts.contains_key(id);
        if !known && self.counts.len() >= MAX_IDS {
            self.untracked += 1;
            return None;
        }
        Some(self.counts.entry(id.into()).or_default())
    }
}
