//! The rule of a route: which requests go to which services, and how they are treated.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::call_kind::CallKind;
use crate::route_part::RoutePart;

/// Which requests a route matches, where they go and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The host of the requests, matched regardless of case.
    pub host: Box<str>,
    /// The path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether requests may be repeated.
    pub kind: CallKind,
    /// The longest time from a request to its final response.
    pub timeout: Duration,
    /// The target latency: a response has its full value within this time.
    pub latency: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The maximum number of targets to which one request is sent.
    pub attempts: u32,
    /// The services that share the requests; never empty.
    pub parts: Vec<RoutePart>,
}

impl RouteRule {
    /// Returns whether the route matches requests for the path on its host.
    pub fn covers(&self, path: &str) -> bool {
        path.starts_with(&*self.prefix)
    }

    /// Returns the services with their weights as text, separated by commas.
    pub fn services(&self) -> String {
        let parts: Vec<_> = self.parts.iter().map(RoutePart::to_string).collect();
        parts.join(",")
    }
}
