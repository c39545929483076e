//! The configuration of routes in one version.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::call_limits::CallLimits;
use crate::config::Config;
use crate::route::Route;
use crate::service_id::ServiceId;
use crate::version::Version;

/// How the targets of a service are reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedService {
    /// The path of the health check.
    pub health: Box<str>,
    /// The connections that one target accepts from all VMs together.
    pub connections: u32,
}

/// All routes, services and limits of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Grows with each change.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by their ids.
    pub services: BTreeMap<ServiceId, RoutedService>,
    /// The limits of callers.
    pub limits: CallLimits,
}

impl RoutingConfig {
    /// Returns the routes of the confirmed configuration. `version` has to grow with each of its
    /// changes.
    pub fn confirmed(config: &Config, version: Version) -> Self {
        let routes = config.routes.iter().map(|(id, route)| Route {
            name: id.clone().into(),
            rule: route.rule.clone(),
        });
        Self {
            version,
            routes: routes.collect(),
            ..Self::default()
        }
    }
}
