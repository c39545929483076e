//! Settings of the simulated log.

use std::net::SocketAddr;
use std::time::Duration;

use crate::server::ANY_PORT;

/// Limits and address of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The address to listen on.
    pub addr: SocketAddr,
    /// Maximum appends accepted per second; further ones are answered 429.
    pub appends: u32,
    /// Maximum number of retained records.
    pub records: usize,
    /// Retention time of a record.
    pub age: Duration,
    /// Random seed for faults that hit a share of the requests.
    pub seed: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            addr: ANY_PORT,
            appends: 500,
            records: 1_000_000,
            age: Duration::from_secs(3600),
            seed: 1,
        }
    }
}
