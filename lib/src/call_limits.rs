//! What a caller may send, and how long it may take.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::byte_size::ByteSize;

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimits {
    /// The largest header section.
    pub header: ByteSize,
    /// The largest body.
    pub body: ByteSize,
    /// The longest time from the first byte of a request to the end of its header section.
    pub header_time: Duration,
    /// The longest time between two requests of a connection.
    pub idle_time: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            header: ByteSize(16 << 10),
            body: ByteSize(64 << 20),
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
