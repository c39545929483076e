//! A route of the confirmed configuration.

use serde::Deserialize;
use serde::Serialize;

use crate::route_rule::RouteRule;
use crate::version::Version;

/// A route with its version, on which plans that change it are based.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfiguredRoute {
    /// Increases with each confirmed change of the route and never decreases, even when the route
    /// is removed and added again.
    pub version: Version,
    /// Which requests the route matches and how they are treated.
    pub rule: RouteRule,
}
