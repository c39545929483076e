//! Faults that the simulated log injects.

use serde::Deserialize;
use serde::Serialize;

use crate::trigger::Trigger;

/// Faults injected into requests to the log, each by count or by rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// The connection is accepted, but the request is answered 503.
    pub refuse: Trigger,
    /// The connection is accepted, but no response is ever sent.
    pub hang: Trigger,
    /// The response is delayed by `delay_ms`.
    pub slow: Trigger,
    /// The delay of a slow response, in milliseconds.
    pub delay_ms: u64,
    /// An append takes effect, but the connection is closed without a response.
    pub lose: Trigger,
}
