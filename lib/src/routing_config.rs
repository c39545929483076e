//! One version of the routing configuration.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::call_limits::CallLimits;
use crate::config::Config;
use crate::route::Route;
use crate::service_id::ServiceId;
use crate::version::Version;

/// How the targets of a service are checked and connected to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedService {
    /// The path of the health check on each target.
    pub health: Box<str>,
    /// The number of connections that one target accepts from all VMs together.
    pub connections: u32,
}

/// All routes, services and limits of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Increases with each change.
    pub version: Version,
    /// The routes. Among those of one host, the longest matching prefix takes precedence.
    pub routes: Vec<Route>,
    /// The services by their ids.
    pub services: BTreeMap<ServiceId, RoutedService>,
    /// The limits on callers' requests.
    pub limits: CallLimits,
}

impl RoutingConfig {
    /// Returns a configuration with the routes of the confirmed one. `version` has to increase with
    /// each of its changes.
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
