//! What the targets of a service take while they are cold.

use std::time::Duration;

use crate::request_rate::RequestRate;

/// What each target of a service takes while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupRule {
    /// How long a target is cold after its start.
    pub time: Duration,
    /// The requests per second that it takes meanwhile from all VMs together.
    pub rate: RequestRate,
}
