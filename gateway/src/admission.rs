//! Decides whether a request is served: its route, its time, and whether the process lives long enough.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::head::RequestHead;
use carobshore_lib::route::Route;
use carobshore_platform::header_fields;
use tokio::sync::watch;

use crate::attempt::ForwardedRequest;
use crate::call::Call;
use crate::failed_call::FailedCall;
use crate::failed_call::refuse;
use crate::gateway::Gateway;
use crate::reply::Refusal;
use crate::reply::Reply;

/// How long a caller waits that does not say so.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(10);

/// A request that has arrived whole.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The head.
    pub head: RequestHead,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte arrived.
    pub at: Instant,
}

/// Returns the route of a request, or why there is none.
pub fn route(gateway: &Gateway, head: &RequestHead) -> Result<Rc<Route>, Refusal> {
    let routes = gateway.routes.borrow();
    if !routes.is_loaded() || !gateway.targets_known.get() {
        return Err(Refusal::NotReady);
    }
    let host = head.fields.text("host").unwrap_or_default();
    routes.find(host, &head.target).ok_or(Refusal::NoRoute)
}

/// Serves a request. Returns nothing if the caller has left.
pub async fn serve(
    gateway: Rc<Gateway>,
    arrived: ReceivedRequest,
    gone: watch::Receiver<bool>,
) -> Option<Reply> {
    let fields = header_fields::decode_request(&arrived.head.fields);
    let id = fields.id.clone();
    let route = match route(&gateway, &arrived.head) {
        Ok(route) => route,
        Err(refusal) => {
            let failed = FailedCall::retry_soon(refusal);
            return Some(refuse(
                &gateway,
                "",
                id.as_deref(),
                arrived.at,
                &failed,
                &[],
            ));
        }
    };
    let caller_timeout = fields.caller_timeout.unwrap_or(DEFAULT_PATIENCE);
    let deadline = arrived.at + caller_timeout.min(route.rule.timeout);
    let work = gateway.work(&route);
    if !has_time(&gateway, work) {
        let failed = FailedCall {
            refusal: Refusal::Stopping,
            retry: Some(Duration::ZERO),
            why: None,
        };
        let id = id.as_deref();
        return Some(refuse(&gateway, &route.name, id, arrived.at, &failed, &[]));
    }
    let service = gateway.routes.borrow_mut().assign(&route);
    gateway.count_request(Instant::now(), &service, work);
    let mut passed = arrived.head.fields;
    passed.keep_end_to_end();
    let forwarded = ForwardedRequest {
        method: arrived.head.method,
        target: arrived.head.target,
        fields: passed,
        body: Rc::new(arrived.body),
        id,
        route: Rc::clone(&route),
        work,
        deadline,
    };
    Call::new(gateway, service, forwarded, arrived.at)
        .run(gone)
        .await
}

/// Returns whether the process lives long enough for a request that takes `work`.
fn has_time(gateway: &Gateway, work: Duration) -> bool {
    let now = Instant::now();
    let exit = gateway.exit.borrow();
    exit.takes_work(now) && exit.time_left(now).is_none_or(|left| left > work * 2)
}
