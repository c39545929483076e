//! A route with its name.

use crate::route_access::RouteAccess;
use crate::route_rule::RouteRule;

/// A route of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name, unique within a configuration.
    pub name: Box<str>,
    /// Which requests the route matches and how they are treated.
    pub rule: RouteRule,
    /// Who may use the route, and where its requests may be handled.
    pub access: RouteAccess,
}
