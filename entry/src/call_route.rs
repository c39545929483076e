//! Finds the confirmed route of a call.

use std::time::Duration;

use carobshore_lib::prelude::CallKind;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::route_table::RouteTable;
use ntex::http::RequestHead;

use crate::field;

/// The settings of a route that apply to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRoute {
    /// The service that the call is sent to.
    pub service: ServiceId,
    /// The kind of the call, which says whether it may run more than once.
    pub kind: CallKind,
    /// The longest time until the complete response.
    pub timeout: Duration,
    /// The largest number of attempts that a VM makes.
    pub attempts: u32,
}

impl CallRoute {
    /// Finds the route of a request that names no service, and picks a service by the route's
    /// weights.
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
