//! The memory that one response uses while it is read.
//!
//! Guards the process against targets that send responses without end, and other requests against
//! the lack of memory that these would cause.

use std::time::Instant;

use crate::gateway::Gateway;
use crate::held_bytes::HeldBytes;
use crate::target_connections::TargetConnections;

/// Largest response to a health check, in bytes.
pub(crate) const SMALL: usize = 128 << 10;

/// The memory that is held for one response.
pub(crate) struct ResponseMemory<'a> {
    gateway: &'a Gateway,
    connections: &'a TargetConnections,
    held: HeldBytes,
}

impl<'a> ResponseMemory<'a> {
    /// Creates the account of a response that has not begun.
    pub(crate) fn new(gateway: &'a Gateway, connections: &'a TargetConnections) -> Self {
        Self {
            gateway,
            connections,
            held: gateway.clients.begin_response(Instant::now()),
        }
    }

    /// Holds memory for a response of this many bytes. Returns whether there is that much.
    pub(crate) fn may_use(&mut self, bytes: usize) -> bool {
        let limit = self.gateway.clients.memory().response.0;
        let bytes = bytes as u64;
        let fits = bytes <= limit && self.held.resize(bytes);
        if !fits {
            log::warn!(target = self.connections.id.as_str(), bytes, limit; "a response needs too much memory");
        }
        fits
    }
}
