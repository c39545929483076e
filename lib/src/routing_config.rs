//! One version of the routing configuration.

use std::collections::BTreeMap;

use crate::access::access_table::AccessTable;
use crate::call_limits::CallLimits;
use crate::config::Config;
use crate::route::Route;
use crate::route_access::RouteAccess;
use crate::service_id::ServiceId;
use crate::version::Version;
use crate::warmup::warmup_rule::WarmupRule;

/// How the targets of a service are checked and connected to.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedService {
    /// The path of the health check on each target.
    pub health: Box<str>,
    /// The number of connections that one target accepts from all VMs together.
    pub connections: u32,
    /// What a cold target takes, if the configuration says so.
    pub warmup: Option<WarmupRule>,
}

/// All routes, services and limits of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// Increases with each change.
    pub version: Version,
    /// The routes. Among those of one host, the longest matching prefix takes precedence.
    pub routes: Vec<Route>,
    /// The services by their ids.
    pub services: BTreeMap<ServiceId, RoutedService>,
    /// The limits on callers' requests.
    pub limits: CallLimits,
    /// The organisations; nothing if the configuration names none, so that requests need no key.
    pub access: Option<AccessTable>,
}

impl RoutingConfig {
    /// Returns a configuration with the routes of the confirmed one. `version` has to increase with
    /// each of its changes.
    pub fn confirmed(config: &Config, version: Version) -> Self {
        let routes = config.routes.iter().map(|(id, route)| Route {
            name: id.clone().into(),
            access: RouteAccess::default(),
            rule: route.rule.clone(),
        });
        Self {
            version,
            routes: routes.collect(),
            ..Self::default()
        }
    }
}
