//! The faults of the log.

use serde::Deserialize;
use serde::Serialize;

use crate::trigger::Trigger;

/// What goes wrong with requests to the log. Each fault hits requests by count or by rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// The connection is accepted, but the request is answered 503.
    pub refuse: Trigger,
    /// The connection is accepted, but the request is never answered.
    pub hang: Trigger,
    /// The answer is delayed by `delay_ms`.
    pub slow: Trigger,
    /// The delay of a slow answer, in milliseconds.
    pub delay_ms: u64,
    /// An append takes effect, but the connection is closed without an answer.
    pub lose: Trigger,
}
