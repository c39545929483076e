//! TCP time limits of connections to targets, other VMs and callers.

use std::time::Duration;

use carobshore_http::socket::KeepAliveOptions;

/// When a connection over a dead path is closed. Without keep-alive and user timeout, the kernel
/// keeps it open for many minutes.
pub const TCP_TIMEOUTS: KeepAliveOptions = KeepAliveOptions {
    idle: Duration::from_secs(5),
    interval: Duration::from_secs(2),
    probes: 3,
    unacknowledged: Duration::from_secs(10),
};
