//! How long connections to targets, other VMs and callers may stay silent.

use std::time::Duration;

use carobshore_http::socket::Vigilance;

/// Without keep-alive and user timeout, the kernel keeps a connection whose path is dead open for
/// many minutes.
pub const TCP_TIMEOUTS: Vigilance = Vigilance {
    idle: Duration::from_secs(5),
    interval: Duration::from_secs(2),
    probes: 3,
    unacknowledged: Duration::from_secs(10),
};
