//! Health checks of targets, which tell their load.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::client::EncodedRequest;
use carobshore_http::head::ResponseHead;
use carobshore_lib::prelude::ServiceId;
use carobshore_platform::header_fields;
use carobshore_platform::header_fields::StatedKeepAlive;
use carobshore_platform::header_fields::StatedLoad;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::crossing;
use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::response_memory;
use crate::target_connections::Purpose;
use crate::target_connections::TargetConnections;
use crate::target_notices;
use crate::warmup;

/// Time limit for one health check, after which its connection is closed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// The end of a health check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CheckEnd {
    /// The index of the target.
    pub(crate) index: usize,
    /// Whether the target has answered.
    pub(crate) answered: bool,
}

impl CheckEnd {
    /// Creates the end of a check that the target has answered.
    pub(crate) fn answered(index: usize) -> Self {
        Self {
            index,
            answered: true,
        }
    }
}

/// Checks a target only to learn its load, if the budget allows it.
pub(crate) fn check(gateway: &Rc<Gateway>, service: &ServiceId, target: &Rc<TargetConnections>) {
    if gateway.services.reports_load(service) && gateway.take_check(Instant::now()) {
        let (sender, _) = mpsc::unbounded_channel();
        start_check(gateway, service, target, 0, sender);
    }
}

/// Checks the health of targets that must answer before they get requests.
pub(crate) fn check_unverified(
    gateway: &Rc<Gateway>,
    service: &ServiceId,
    usable: &[UsableTarget],
) {
    let now = Instant::now();
    for UsableTarget { connections, .. } in usable {
        let mut cold = connections.cold.borrow_mut();
        if cold.start_check(now, || gateway.take_check(now)) {
            let (sender, _) = mpsc::unbounded_channel();
            start_check(gateway, service, connections, 0, sender);
        }
    }
}

/// Starts a health check. It continues after the search has ended, because closing its connection
/// would cost more than its response.
pub(crate) fn start_check(
    gateway: &Rc<Gateway>,
    service: &ServiceId,
    connections: &Rc<TargetConnections>,
    index: usize,
    sender: mpsc::UnboundedSender<CheckEnd>,
) {
    let path = {
        let routes = gateway.routes.borrow();
        let found = routes.config().services.get(service);
        found.map_or_else(|| Box::from("/health"), |service| service.health.clone())
    };
    let gateway = Rc::clone(gateway);
    let service = service.clone();
    let connections = Rc::clone(connections);
    ntex::rt::spawn(async move {
        let checked = timeout(CHECK_TIMEOUT, check_health(&gateway, &connections, &path)).await;
        let now = Instant::now();
        let answered = matches!(checked, Ok(Some(_)));
        match checked {
            Ok(Some(StatedLoad::Report(report))) => {
                gateway.metrics.health_check("answered");
                gateway.services.set_reports_load(&service, true);
                crossing::hear_check(&gateway, &connections, report);
                connections.outlook.borrow_mut().report(now, report);
                gateway.services.observe_load(now, &service, report);
            }
            Ok(Some(StatedLoad::None)) => {
                gateway.metrics.health_check("without-load");
                gateway.services.set_reports_load(&service, false);
            }
            Ok(Some(StatedLoad::Malformed)) => gateway.metrics.health_check("malformed-load"),
            Ok(None) | Err(_) => {
                gateway.metrics.health_check("failed");
                connections.outlook.borrow_mut().check_failed(now);
                connections.cold.borrow_mut().check_failed();
                log::info!(target = connections.id.as_str(), service = service.as_str(); "health check failed");
            }
        }
        let _ = sender.send(CheckEnd { index, answered });
    });
}

/// Sends a health check. Returns what the response says of the load, or nothing if it failed.
async fn check_health(
    gateway: &Gateway,
    connections: &TargetConnections,
    path: &str,
) -> Option<StatedLoad> {
    let connected = connections.checkout(Purpose::HealthCheck).await;
    let connected =
        connected.inspect_err(|error| warmup::not_connected(gateway, connections, error));
    let mut connection = connected.ok()?;
    warmup::note_ended(gateway, connections);
    if let Some(reason) = connection.opened {
        gateway.metrics.connection_opened(reason);
    }
    if !target_notices::is_available(gateway, connections) {
        connections.checkin(Instant::now(), connection, StatedKeepAlive::None);
        return None;
    }
    let fields = header_fields::health_check_fields(&connections.id, &connections.addr.to_string());
    let request = EncodedRequest::new("GET", path, &fields, &[]);
    let sent = Instant::now();
    // A late response to an earlier request carries the id of that request.
    let belongs = |head: &ResponseHead| {
        let response_fields = header_fields::decode_response(head);
        let belongs = response_fields.request_id.is_none();
        target_notices::hear(gateway, connections, &response_fields, belongs);
        belongs
    };
    let may_use = |bytes| bytes <= response_memory::SMALL;
    let response = connection
        .client
        .exchange_within(&request, belongs, may_use);
    let response = response.await.ok()?;
    let response_fields = header_fields::decode_response(&response.head);
    if response_fields.misdirected || !target_notices::is_from(connections, &response_fields) {
        mark_displaced(connections);
        return None;
    }
    crossing::hear_round_trip(gateway, connections, sent.elapsed());
    connections.checkin(Instant::now(), connection, response_fields.keep_alive);
    warmup::answered(gateway, connections, sent, &response_fields);
    Some(response_fields.load)
}

/// Records that a different target instance has answered at the address of a target.
pub(crate) fn mark_displaced(connections: &TargetConnections) {
    if !connections.displaced.replace(true) {
        log::warn!(target = connections.id.as_str(), addr:% = connections.addr; "another target answers at the address");
    }
    connections.close();
}
