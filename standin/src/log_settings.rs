//! The settings of the log.

use std::net::SocketAddr;
use std::time::Duration;

use crate::server::ANY_PORT;

/// Limits and address of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The address to listen on.
    pub addr: SocketAddr,
    /// How many appends are taken per second; the rest is answered 429.
    pub appends: u32,
    /// How many records are kept.
    pub records: usize,
    /// How long a record is kept.
    pub age: Duration,
    /// The seed of faults that hit a share of the requests.
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
