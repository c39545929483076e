//! Looks up the route of a request.

use std::collections::HashMap;
use std::rc::Rc;

use crate::route::Route;
use crate::route_part::RoutePart;
use crate::routing_config::RoutingConfig;
use crate::service_id::ServiceId;
use crate::version::Version;
use crate::weighted_split::WeightedSplit;

/// VMs start their weighted splits at up to this many different positions.
const MAX_SKIPPED: u32 = 64;

/// The routes in force, looked up by host and path. A table never goes back to an older version.
#[derive(Debug)]
pub struct RouteTable {
    config: Rc<RoutingConfig>,
    /// The routes of each host, longest prefix first.
    hosts: HashMap<Box<str>, Vec<Rc<Route>>>,
    splits: HashMap<Box<str>, WeightedSplit>,
    skip: u32,
}

/// The result of applying a configuration to a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigUpdate {
    /// The configuration is in force now.
    InForce,
    /// The version is not newer than the one in force, so the configuration is ignored.
    NotNewer,
}

impl RouteTable {
    /// Creates a table without routes. VMs with different seeds start their weighted splits at
    /// different positions.
    pub fn new(seed: u64) -> Self {
        Self {
            config: Rc::default(),
            hosts: HashMap::new(),
            splits: HashMap::new(),
            skip: u32::try_from(seed % u64::from(MAX_SKIPPED)).unwrap_or(0),
        }
    }

    /// Puts a configuration in force if it is newer than the present one. Splits of routes whose
    /// weights are unchanged keep their position.
    pub fn apply(&mut self, config: RoutingConfig) -> ConfigUpdate {
        if config.version <= self.config.version {
            return ConfigUpdate::NotNewer;
        }
        let mut hosts: HashMap<Box<str>, Vec<Rc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = route.rule.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(Rc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.rule.prefix.len()));
        }
        let parts: HashMap<&str, &[RoutePart]> = config
            .routes
            .iter()
            .map(|route| (&*route.name, &*route.rule.parts))
            .collect();
        self.splits
            .retain(|name, split| parts.get(&**name).is_some_and(|parts| split.fits(parts)));
        self.hosts = hosts;
        self.config = Rc::new(config);
        ConfigUpdate::InForce
    }

    /// Returns whether any configuration is in force.
    pub fn is_loaded(&self) -> bool {
        self.config.version > Version::default()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Rc<RoutingConfig> {
        &self.config
    }

    /// Returns the route of a request, the one with the longest matching prefix on its host.
    /// `target` is the path with its query.
    pub fn find(&self, host: &str, target: &str) -> Option<Rc<Route>> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let host = host.to_ascii_lowercase();
        let name = host.rsplit_once(':').map_or(&*host, |(name, _)| name);
        let routes = self.hosts.get(&*host).or_else(|| self.hosts.get(name))?;
        routes
            .iter()
            .find(|route| route.rule.covers(path))
            .map(Rc::clone)
    }

    /// Returns the service that gets the next request of the route.
    pub fn assign(&mut self, route: &Route) -> ServiceId {
        let parts = &route.rule.parts;
        let [part] = &**parts else {
            let skip = self.skip;
            let split = self.splits.entry(route.name.clone());
            let split = split.or_insert_with(|| WeightedSplit::new(parts, skip));
            let index = split.assign().min(parts.len() - 1);
            return parts[index].service.clone();
        };
        part.service.clone()
    }
}
