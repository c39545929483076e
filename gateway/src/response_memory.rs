//! The memory that one response uses while it is read.
//!
//! Guards the process against targets that send responses without end, and other requests against
//! the lack of memory that these would cause.

use crate::body_memory::ReservedBody;
use crate::gateway::Gateway;
use crate::target_connections::TargetConnections;

/// Memory that each response may use without being counted, in bytes, so that most responses arrive
/// although there is no memory left for large ones.
pub(crate) const SMALL: usize = 128 << 10;
/// One response may use the memory for all bodies divided by this.
const RESPONSE_DIVISOR: u64 = 4;

/// The reserved memory of one response.
pub(crate) struct ResponseMemory<'a> {
    gateway: &'a Gateway,
    connections: &'a TargetConnections,
    reserved: Option<ReservedBody>,
}

impl<'a> ResponseMemory<'a> {
    /// Creates the account of a response that has not begun.
    pub(crate) fn new(gateway: &'a Gateway, connections: &'a TargetConnections) -> Self {
        Self {
            gateway,
            connections,
            reserved: None,
        }
    }

    /// Reserves memory for a response of this many bytes. Returns whether there is that much.
    pub(crate) fn may_use(&mut self, bytes: usize) -> bool {
        if bytes <= SMALL {
            return true;
        }
        let limit = self.gateway.body_limit();
        let bytes = bytes as u64;
        let reserved = bytes <= limit / RESPONSE_DIVISOR
            && match &mut self.reserved {
                Some(reserved) => reserved.resize(bytes, limit),
                None => {
                    self.reserved = self.gateway.reserve_body(bytes);
                    self.reserved.is_some()
                }
            };
        if !reserved {
            log::warn!(target = self.connections.id.as_str(), bytes, limit; "a response needs too much memory");
        }
        reserved
    }
}
