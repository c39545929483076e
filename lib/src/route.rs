//! A route with its name.

use serde::Deserialize;
use serde::Serialize;

use crate::route_rule::RouteRule;

/// A route as the configuration in force has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name, which is unique within a configuration.
    pub name: Box<str>,
    /// What the route says.
    pub rule: RouteRule,
}
