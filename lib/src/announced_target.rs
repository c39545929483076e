//! A target's announcement of itself.

use std::net::SocketAddr;
use std::time::Instant;

use crate::domain_id::DomainId;
use crate::service_id::ServiceId;
use crate::slots::Slots;
use crate::target::TargetState;
use crate::target_id::TargetId;

/// A target's latest announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedTarget {
    /// The target's id, unique within its service.
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
    /// The end of its warm-up after a start, during which it is slow.
    pub cold_until: Option<Instant>,
    /// When the target process started, in milliseconds since the Unix epoch, if announced.
    pub started_ms: Option<u64>,
    /// Sequence number of the announcement since the target process started.
    pub sequence: u64,
}

impl AnnouncedTarget {
    /// Returns the generation of the target: another one means another start. It is 0 if the start
    /// time is not announced.
    pub fn generation(&self) -> u64 {
        self.started_ms.unwrap_or_default()
    }
}
