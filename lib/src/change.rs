//! One change of a service or a route.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::domain_id::DomainId;
use crate::item_id::ItemId;
use crate::route_id::RouteId;
use crate::route_rule::RouteRule;
use crate::service_id::ServiceId;
use crate::slots::Slots;
use crate::target_id::TargetId;
use crate::target_time::TargetTime;

/// One change of an intent. The changes of an intent are applied in order.
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
    /// Adds a target, or returns a leaving target to service under a new generation.
    AddTarget {
        /// The service to change.
        service: ServiceId,
        /// The new target.
        target: TargetId,
        /// The address on which it accepts connections.
        addr: SocketAddr,
        /// Its failure domain.
        domain: DomainId,
        /// The number of requests that it serves concurrently.
        slots: Slots,
    },
    /// Removes a target.
    RemoveTarget {
        /// The service to change.
        service: ServiceId,
        /// The target to remove.
        target: TargetId,
    },
    /// Marks a target as leaving: it gets no new requests.
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
    /// Adds a route, or replaces the one with that id.
    SetRoute {
        /// The route.
        route: RouteId,
        /// Its new rule.
        rule: RouteRule,
    },
    /// Removes a route.
    RemoveRoute {
        /// The route to remove.
        route: RouteId,
    },
}

impl Change {
    /// Returns the service or the route that is changed.
    pub fn item(&self) -> ItemId {
        match self {
            Self::AddService { service, .. }
            | Self::RemoveService { service }
            | Self::SetMeasuring { service, .. }
            | Self::SetConnections { service, .. }
            | Self::AddTarget { service, .. }
            | Self::RemoveTarget { service, .. }
            | Self::MarkLeaving { service, .. }
            | Self::SetSlots { service, .. } => service.into(),
            Self::SetRoute { route, .. } | Self::RemoveRoute { route } => route.into(),
        }
    }
}
