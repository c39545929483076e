//! What a plan is based on and a confirm names: a service or a route.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::route_id::RouteId;
use crate::service_id::ServiceId;

/// Stands before the name of a route. No service id has a slash.
const ROUTE_PREFIX: &str = "route/";

/// An item of the configuration that has a version of its own.
///
/// As text, a service is its id alone, as in the records of releases that knew no routes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub enum ItemId {
    /// A service with its targets.
    Service(ServiceId),
    /// A route.
    Route(RouteId),
}

impl From<&ServiceId> for ItemId {
    fn from(id: &ServiceId) -> Self {
        Self::Service(id.clone())
    }
}

impl From<&RouteId> for ItemId {
    fn from(id: &RouteId) -> Self {
        Self::Route(id.clone())
    }
}

impl fmt::Display for ItemId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(id) => write!(f, "{id}"),
            Self::Route(id) => write!(f, "{ROUTE_PREFIX}{id}"),
        }
    }
}

impl FromStr for ItemId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text.strip_prefix(ROUTE_PREFIX) {
            Some(name) => name.parse().map(Self::Route),
            None => text.parse().map(Self::Service),
        }
    }
}

impl TryFrom<Box<str>> for ItemId {
    type Error = Error;

    fn try_from(text: Box<str>) -> Result<Self> {
        text.parse()
    }
}

impl From<ItemId> for Box<str> {
    fn from(id: ItemId) -> Self {
        id.to_string().into()
    }
}
