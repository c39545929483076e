//! A route of the confirmed configuration.

use serde::Deserialize;
use serde::Serialize;

use crate::route_rule::RouteRule;
use crate::version::Version;

/// A route with the version that plans for it are based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfiguredRoute {
    /// Grows with each confirmed change of the route and never goes back, even when the route is
    /// removed and added again.
    pub version: Version,
    /// What the route says.
    pub rule: RouteRule,
}
