//! The confirmed route of a call.

use std::time::Duration;

use carobshore_lib::prelude::CallKind;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::route_table::RouteTable;
use ntex::http::RequestHead;

use crate::field;

/// What the route of a call says of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRoute {
    /// The service that gets the call.
    pub service: ServiceId,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time until the final response.
    pub timeout: Duration,
    /// How many copies a VM sends at most.
    pub attempts: u32,
}

impl CallRoute {
    /// Finds the route of a request that names no service, and the service whose turn it is.
    pub fn find(routes: &mut RouteTable, head: &RequestHead) -> Option<Self> {
        let fields = &head.headers;
        if fields.contains_key(field::SERVICE) {
            return None;
        }
        let host = fields.get("host")?.to_str().ok()?;
        let route = routes.find(host, head.uri.path())?;
        Some(Self {
            service: routes.assign(&route),
            kind: route.rule.kind,
            timeout: route.rule.timeout,
            attempts: route.rule.attempts,
        })
    }
}
