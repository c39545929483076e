//! What a route says: which requests go to which services, and how they are treated.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::call_kind::CallKind;
use crate::route_part::RoutePart;

/// Which requests a route takes, and what becomes of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The host of the requests.
    pub host: Box<str>,
    /// The start of the path; begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time until the final response.
    pub timeout: Duration,
    /// The time within which a response has its full worth.
    pub latency: Duration,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The most targets to which one request is sent.
    pub attempts: u32,
    /// The services; never empty.
    pub parts: Vec<RoutePart>,
}

impl RouteRule {
    /// Returns whether the route takes requests for the path on its host.
    pub fn covers(&self, path: &str) -> bool {
        path.starts_with(&*self.prefix)
    }

    /// Returns the services with their weights as text.
    pub fn services(&self) -> String {
        let parts: Vec<_> = self.parts.iter().map(RoutePart::to_string).collect();
        parts.join(",")
    }
}
