//! Limits on the size and timing of callers' requests.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::byte_size::ByteSize;

/// Limits on the size and timing of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimits {
    /// The largest header section, in bytes.
    pub header: ByteSize,
    /// The largest request body, in bytes.
    pub body: ByteSize,
    /// The longest time from the first byte of a request to the end of its header section.
    pub header_time: Duration,
    /// The longest idle time between two requests on a connection.
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
