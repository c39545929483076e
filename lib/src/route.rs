//! A route with its name.

use serde::Deserialize;
use serde::Serialize;

use crate::route_rule::RouteRule;

/// A route of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name, unique within a configuration.
    pub name: Box<str>,
    /// Which requests the route matches and how they are treated.
    pub rule: RouteRule,
}
