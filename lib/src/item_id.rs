//! The id of a service or a route, the items of the configuration that have versions.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::route_id::RouteId;
use crate::service_id::ServiceId;

/// The prefix of a route's id as text. It is unambiguous, because service ids have no slash.
const ROUTE_PREFIX: &str = "route/";

/// An item of the configuration that has its own version.
///
/// The text form of a service is its plain id, for compatibility with records of releases that did
/// not support routes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub enum ItemId {
    /// A service together with its targets.
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
