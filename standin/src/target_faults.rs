//! Faults that a simulated target injects.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::trigger::Trigger;

/// The load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that hold a slot.
    pub in_flight: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "in-flight={}, queued={}", self.in_flight, self.queued)
    }
}

/// Faults of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Slowdown factor of requests and probes.
    pub straggle: f64,
    /// Maximum slowdown factor caused by other loads on the machine; 1 for none.
    pub noise: f64,
    /// How long each such slowdown lasts, in milliseconds.
    pub noise_ms: u64,
    /// Responses announce that the target is draining.
    pub drain: bool,
    /// Requests are refused because the target is draining.
    pub refuse_drain: bool,
    /// Setting this makes all current connections permanently unresponsive.
    pub silence: bool,
    /// The response is truncated in the middle.
    pub cut: Trigger,
    /// The request is answered 500 immediately and counts as run.
    pub fail: Trigger,
    /// The request is refused as if the queue were full.
    pub shed: Trigger,
    /// The probe is answered 500.
    pub probe_fail: Trigger,
    /// The load to report instead of the true one.
    pub lie: Option<Load>,
    /// The reported load is this many milliseconds old.
    pub load_lag_ms: u64,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            straggle: 1.0,
            noise: 1.0,
            noise_ms: 5,
            drain: false,
            refuse_drain: false,
            silence: false,
            cut: Trigger::NEVER,
            fail: Trigger::NEVER,
            shed: Trigger::NEVER,
            probe_fail: Trigger::NEVER,
            lie: None,
            load_lag_ms: 0,
        }
    }
}
