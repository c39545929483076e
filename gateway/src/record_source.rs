//! Where records of the store came from.

use std::fmt;
use std::net::SocketAddr;

/// Where records of the store came from, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The store itself.
    Store,
    /// The feed of another VM.
    Vm(SocketAddr),
}

impl fmt::Display for RecordSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Vm(addr) => addr.fmt(f),
        }
    }
}
