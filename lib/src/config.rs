//! The confirmed configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::configured_route::ConfiguredRoute;
use crate::item_id::ItemId;
use crate::route_id::RouteId;
use crate::service::Service;
use crate::service_id::ServiceId;
use crate::version::Version;

/// All services and routes that are in force at one offset of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The services by their ids. Copies of the configuration share them, because a change affects
    /// only a few.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// The routes by their ids.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<RouteId, ConfiguredRoute>,
}

impl Config {
    /// Returns the service with the given id.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id).map(Arc::as_ref)
    }

    /// Returns the item's current version, on which a new plan is based; 0 if it does not exist.
    pub fn version(&self, item: &ItemId) -> Version {
        let version = match item {
            ItemId::Service(id) => self.services.get(id).map(|service| service.version),
            ItemId::Route(id) => self.routes.get(id).map(|route| route.version),
        };
        version.unwrap_or_default()
    }

    /// Returns whether the service or route exists.
    pub fn contains(&self, item: &ItemId) -> bool {
        match item {
            ItemId::Service(id) => self.services.contains_key(id),
            ItemId::Route(id) => self.routes.contains_key(id),
        }
    }

    /// Returns the number of targets of all services.
    pub fn target_count(&self) -> usize {
        self.services
            .values()
            .map(|service| service.targets.len())
            .sum()
    }
}
