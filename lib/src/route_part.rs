//! One service of a route with its share of the requests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::service_id::ServiceId;

/// One service of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePart {
    /// The service.
    pub service: ServiceId,
    /// Its share of the requests, relative to the sum of the weights of all parts; may be 0.
    pub weight: u32,
}

impl fmt::Display for RoutePart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.service, self.weight)
    }
}
