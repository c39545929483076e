//! A configuration as items with named values, which can be compared.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::access::access_table::AccessTable;
use crate::access::allowed_regions::AllowedRegions;
use crate::access::organisation::Organisation;
use crate::config_check::config_change::ConfigChange;
use crate::route::Route;
use crate::routing_config::RoutedService;
use crate::routing_config::RoutingConfig;

/// The values of one item by their names.
pub type Values = BTreeMap<Box<str>, Box<str>>;

/// A configuration as items with named values. Of keys it has short hashes only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSummary {
    /// The version.
    pub version: u64,
    /// The items by type and name.
    pub items: BTreeMap<Box<str>, Values>,
}

impl From<&RoutingConfig> for ConfigSummary {
    fn from(config: &RoutingConfig) -> Self {
        let mut items = BTreeMap::new();
        for route in &config.routes {
            items.insert(format!("route {}", route.name).into(), route_values(route));
        }
        for (id, service) in &config.services {
            items.insert(format!("service {id}").into(), service_values(service));
        }
        if let Some(access) = &config.access {
            for organisation in access.iter() {
                let name = format!("organisation {}", organisation.id);
                items.insert(name.into(), organisation_values(access, organisation));
            }
        }
        let limits = &config.limits;
        let limits = values([
            ("header", limits.header.0.to_string()),
            ("body", limits.body.0.to_string()),
            ("header-time", format!("{:?}", limits.header_time)),
            ("idle-time", format!("{:?}", limits.idle_time)),
        ]);
        items.insert("limits".into(), limits);
        Self {
            version: config.version.0,
            items,
        }
    }
}

impl ConfigSummary {
    /// Returns what changes from this configuration to a later one, ordered by item.
    pub fn changes_to(&self, later: &Self) -> Vec<ConfigChange> {
        let removed = self
            .items
            .keys()
            .filter(|item| !later.items.contains_key(*item));
        let mut changes: Vec<ConfigChange> = removed
            .map(|item| ConfigChange::Removed { item: item.clone() })
            .collect();
        for (item, new) in &later.items {
            match self.items.get(item) {
                None => changes.push(ConfigChange::Added { item: item.clone() }),
                Some(old) => changes.extend(changed_values(item, old, new)),
            }
        }
        changes.sort();
        changes
    }
}

fn changed_values(item: &str, old: &Values, new: &Values) -> Vec<ConfigChange> {
    let names: std::collections::BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let changed = names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name));
    changed
        .map(|name| ConfigChange::Changed {
            item: item.into(),
            value: name.clone(),
            from: old.get(name).cloned().unwrap_or_default(),
            to: new.get(name).cloned().unwrap_or_default(),
        })
        .collect()
}

fn values<const N: usize>(pairs: [(&str, String); N]) -> Values {
    pairs
        .into_iter()
        .map(|(name, value)| (name.into(), value.into()))
        .collect()
}

fn route_values(route: &Route) -> Values {
    let rule = &route.rule;
    values([
        ("host", rule.host.to_string()),
        ("prefix", rule.prefix.to_string()),
        ("kind", rule.kind.as_str().to_owned()),
        ("timeout", format!("{:?}", rule.timeout)),
        ("latency", format!("{:?}", rule.latency)),
        ("priority", rule.priority.to_string()),
        ("attempts", rule.attempts.to_string()),
        ("services", rule.services()),
        ("public", route.access.public.to_string()),
        ("regions", regions_text(&route.access.regions)),
    ])
}

fn service_values(service: &RoutedService) -> Values {
    let warmup = service
        .warmup
        .map(|rule| format!("{:?} at {}", rule.time, rule.rate));
    values([
        ("health", service.health.to_string()),
        ("connections", service.connections.to_string()),
        ("warmup", warmup.unwrap_or_default()),
    ])
}

fn organisation_values(access: &AccessTable, organisation: &Organisation) -> Values {
    let keys = access.keys_of(&organisation.id);
    let keys: Vec<String> = keys.iter().map(ToString::to_string).collect();
    let text = |value: Option<String>| value.unwrap_or_default();
    values([
        (
            "priority",
            text(organisation.priority.map(|value| value.to_string())),
        ),
        (
            "quota",
            text(organisation.quota.map(|value| value.to_string())),
        ),
        ("regions", regions_text(&organisation.regions)),
        ("key-hashes", keys.join(",")),
    ])
}

fn regions_text(regions: &AllowedRegions) -> String {
    let names: Vec<&str> = regions.iter().map(|region| region.as_str()).collect();
    names.join(",")
}
