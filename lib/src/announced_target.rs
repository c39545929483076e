//! A target as it announces itself.

use std::net::SocketAddr;
use std::time::Instant;

use crate::domain_id::DomainId;
use crate::service_id::ServiceId;
use crate::slots::Slots;
use crate::target::TargetState;
use crate::target_id::TargetId;

/// A target as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedTarget {
    /// The id.
    pub id: TargetId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it accepts connections.
    pub addr: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: DomainId,
    /// How many requests it serves at the same time.
    pub slots: Slots,
    /// Whether it may get new work.
    pub state: TargetState,
    /// Until when it is slow because it has just started.
    pub cold_until: Option<Instant>,
    /// When this lifetime of the target began, in milliseconds since the epoch, if it says so.
    pub started_ms: Option<u64>,
    /// Counts the announcements of one lifetime.
    pub sequence: u64,
}

impl AnnouncedTarget {
    /// Returns whether this was announced before the other one, by the target's own count.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.started_ms, self.sequence) < (other.started_ms, other.sequence)
    }
}
