//! Calls that end without a response from a target.

use std::time::Duration;
use std::time::Instant;

use crate::gateway::Gateway;
use crate::reply::Refusal;
use crate::reply::Reply;

/// Suggested delay before a retry if nothing is known about when a target can serve the request.
const RETRY_SOON: Duration = Duration::from_millis(250);
/// How long after its start a VM has the configuration and the targets, as a rule, also if all VMs
/// have started at once. A caller may return only once.
const START_TIME: Duration = Duration::from_millis(500);

/// Why a call ended without a response from a target.
pub(crate) struct FailedCall {
    pub(crate) refusal: Refusal,
    /// Delay after which the caller may retry.
    pub(crate) retry: Option<Duration>,
    /// What the refusal is based on, for the log.
    pub(crate) why: Option<Box<str>>,
}

impl FailedCall {
    /// Creates the failure of a call before this VM can serve any. `uptime` is the time since its
    /// start.
    pub(crate) fn not_ready(uptime: Duration) -> Self {
        Self {
            retry: Some(START_TIME.saturating_sub(uptime).max(RETRY_SOON)),
            ..Self::retry_soon(Refusal::NotReady)
        }
    }

    /// Creates a failure. The caller may retry soon if the status says that the request has not
    /// run.
    pub(crate) fn retry_soon(refusal: Refusal) -> Self {
        let retry = (refusal.status() == 503).then_some(RETRY_SOON);
        Self {
            refusal,
            retry,
            why: None,
        }
    }
}

/// A request, as the log names it.
#[derive(Clone, Copy)]
pub(crate) struct RequestName<'a> {
    /// The name of its route; empty if no route matches.
    pub(crate) route: &'a str,
    /// Its id, if the caller sent one.
    pub(crate) id: Option<&'a str>,
    /// The organisation that sent it, if it is known.
    pub(crate) organisation: Option<&'a str>,
    /// When it arrived.
    pub(crate) arrived: Instant,
}

/// Logs and counts a failed call, and builds the response of the gateway.
pub(crate) fn refuse(
    gateway: &Gateway,
    request: RequestName<'_>,
    failed: &FailedCall,
    ends: &[Box<str>],
) -> Reply {
    let outcome = failed.refusal.as_str();
    let RequestName {
        route,
        id,
        organisation,
        arrived,
    } = request;
    let time = arrived.elapsed();
    gateway.metrics.request(route, outcome, time);
    if let Some(left_out) = gateway.take_log_line(Instant::now(), true) {
        let version = gateway.routes.borrow().config().version.0;
        let age_ms = gateway.config_age(Instant::now());
        let at = gateway.config_position().map(|at| at.to_string());
        log::info!(
            id = id.unwrap_or_default(), route, organisation, version, age_ms, at, status = failed.refusal.status(),
            outcome, ms = time.as_millis() as u64, attempts = ends.join(" "),
            why = failed.why.as_deref().unwrap_or_default(), left_out;
            "request"
        );
    }
    Reply::from_refusal(failed.refusal, id, failed.retry)
}
