//! One change of a service.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::domain_id::DomainId;
use crate::service_id::ServiceId;
use crate::slots::Slots;
use crate::target_id::TargetId;
use crate::target_time::TargetTime;

/// One step of an intent. Steps apply in their order within the intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// Adds a service without targets.
    AddService {
        /// The new service.
        service: ServiceId,
        /// Its measuring budget.
        measuring: TargetTime,
        /// Its connection budget per target.
        connections: u32,
    },
    /// Removes a service with all its targets.
    RemoveService {
        /// The service to remove.
        service: ServiceId,
    },
    /// Sets the measuring budget of a service.
    SetMeasuring {
        /// The service to change.
        service: ServiceId,
        /// The new budget.
        measuring: TargetTime,
    },
    /// Sets the connection budget per target of a service.
    SetConnections {
        /// The service to change.
        service: ServiceId,
        /// The new budget.
        connections: u32,
    },
    /// Adds a target, or takes a leaving target back under a new generation.
    AddTarget {
        /// The service to change.
        service: ServiceId,
        /// The new target.
        target: TargetId,
        /// Where it accepts connections.
        addr: SocketAddr,
        /// Its failure domain.
        domain: DomainId,
        /// How many requests it serves at the same time.
        slots: Slots,
    },
    /// Removes a target.
    RemoveTarget {
        /// The service to change.
        service: ServiceId,
        /// The target to remove.
        target: TargetId,
    },
    /// Marks a target as leaving: it gets no new work.
    MarkLeaving {
        /// The service to change.
        service: ServiceId,
        /// The target that leaves.
        target: TargetId,
    },
    /// Sets the slots of a target.
    SetSlots {
        /// The service to change.
        service: ServiceId,
        /// The target to change.
        target: TargetId,
        /// The new number of slots.
        slots: Slots,
    },
}

impl Change {
    /// Returns the service that the change touches.
    pub fn service(&self) -> &ServiceId {
        match self {
            Self::AddService { service, .. }
            | Self::RemoveService { service }
            | Self::SetMeasuring { service, .. }
            | Self::SetConnections { service, .. }
            | Self::AddTarget { service, .. }
            | Self::RemoveTarget { service, .. }
            | Self::MarkLeaving { service, .. }
            | Self::SetSlots { service, .. } => service,
        }
    }
}
