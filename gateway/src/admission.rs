//! Admission of requests: finds the route, sets the deadline, and checks that the process runs long
//! enough to serve the request.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::head::RequestHead;
use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::route::Route;
use carobshore_platform::header_fields;
use tokio::sync::watch;

use crate::access::Grant;
use crate::attempt::ForwardedRequest;
use crate::call::Call;
use crate::failed_call::FailedCall;
use crate::failed_call::RequestName;
use crate::failed_call::refuse;
use crate::gateway::Gateway;
use crate::reply::Refusal;
use crate::reply::Reply;

/// Timeout of a caller that does not send one.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// A completely received request.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The request head.
    pub head: RequestHead,
    /// The decoded body.
    pub body: Vec<u8>,
    /// When its first byte arrived.
    pub at: Instant,
}

/// Returns the route of a request, or the reason to refuse it.
pub fn route(gateway: &Gateway, head: &RequestHead) -> Result<Rc<Route>, Refusal> {
    let routes = gateway.routes.borrow();
    if !routes.is_loaded() || !gateway.targets_known.get() {
        return Err(Refusal::NotReady);
    }
    let host = head.fields.text("host").unwrap_or_default();
    routes.find(host, &head.target).ok_or(Refusal::NoRoute)
}

/// Serves a request. Returns nothing if the caller has disconnected.
pub async fn serve(
    gateway: Rc<Gateway>,
    received: ReceivedRequest,
    caller_gone: watch::Receiver<bool>,
) -> Option<Reply> {
    let fields = header_fields::decode_request(&received.head.fields);
    let id = fields.id.clone();
    let name = RequestName {
        route: "",
        id: id.as_deref(),
        organisation: None,
        arrived: received.at,
    };
    let route = match route(&gateway, &received.head) {
        Ok(route) => route,
        Err(refusal) => {
            let failed = match refusal {
                Refusal::NotReady => FailedCall::not_ready(gateway.uptime()),
                refusal => FailedCall::retry_soon(refusal),
            };
            return Some(refuse(&gateway, name, &failed, &[]));
        }
    };
    let name = RequestName {
        route: &route.name,
        ..name
    };
    let grant = Grant::authorise(&gateway.routes.borrow(), &route, &received.head.fields);
    let Ok(grant) = grant else {
        let failed = FailedCall::retry_soon(Refusal::UnknownKey);
        return Some(refuse(&gateway, name, &failed, &[]));
    };
    let organisation = grant.as_ref().and_then(Grant::id);
    let name = RequestName {
        organisation: organisation.map(OrganisationId::as_str),
        ..name
    };
    let caller_timeout = fields.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let deadline = received.at + caller_timeout.min(route.rule.timeout);
    let deadline = gateway.exit.borrow().limit(deadline);
    let work = gateway.services.work(&route);
    if !has_time(&gateway, work) {
        let failed = FailedCall {
            refusal: Refusal::Stopping,
            retry: Some(Duration::ZERO),
            why: None,
        };
        return Some(refuse(&gateway, name, &failed, &[]));
    }
    let service = gateway.routes.borrow_mut().assign(&route);
    gateway.count_request(Instant::now(), &service, work);
    let mut end_to_end = received.head.fields;
    end_to_end.keep_end_to_end();
    if let Some(grant) = &grant {
        header_fields::set_organisation(&mut end_to_end, grant.id());
    }
    let forwarded = ForwardedRequest {
        method: received.head.method,
        target: received.head.target,
        fields: end_to_end,
        body: Rc::new(received.body),
        id,
        route: Rc::clone(&route),
        grant,
        work,
        deadline,
    };
    Call::new(gateway, service, forwarded, received.at)
        .run(caller_gone)
        .await
}

/// Returns whether the process runs long enough to serve a request that is expected to take `work`,
/// with a safety factor of 2.
fn has_time(gateway: &Gateway, work: Duration) -> bool {
    let now = Instant::now();
    let exit = gateway.exit.borrow();
    exit.takes_work(now)
        && exit
            .time_left(now)
            .is_none_or(|remaining| remaining > work * 2)
}
