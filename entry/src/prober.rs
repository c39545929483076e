//! Sends the probes that pools ask for.

use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use carobshore_lib::connection_pool::Freshness;
use carobshore_lib::pool_event::AttemptResult;
use carobshore_lib::prelude::TargetId;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::body::Body;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use crate::connection::OutgoingRequest;
use crate::data_plane::DataPlane;
use crate::field;
use crate::headers;
use crate::pool_runner::PoolRunner;
use crate::pool_runner::ProbeRequest;
use crate::service_state::PoolKind;
use crate::service_state::Probes;
use crate::service_state::ServiceState;
use crate::target_report;

/// Longest time that a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a task for each pool that sends the pool's probes.
pub(crate) fn start(plane: &Rc<DataPlane>, service: &Rc<ServiceState>, probes: Probes) {
    for ((pool, requests), kind) in probes.into_iter().zip([PoolKind::Owned, PoolKind::Shared]) {
        let plane = Rc::downgrade(plane);
        let service = Rc::downgrade(service);
        ntex::rt::spawn(run(plane, service, Rc::downgrade(&pool), requests, kind));
    }
}

async fn run(
    plane: Weak<DataPlane>,
    service: Weak<ServiceState>,
    pool: Weak<PoolRunner>,
    mut requests: UnboundedReceiver<ProbeRequest>,
    kind: PoolKind,
) {
    while let Some(request) = requests.recv().await {
        let (Some(plane), Some(service), Some(pool)) =
            (plane.upgrade(), service.upgrade(), pool.upgrade())
        else {
            return;
        };
        ntex::rt::spawn(async move {
            let sent = probe(&plane, &service, &request.target, kind);
            // Dropping the probe closes its connection, so that the target cancels it.
            let result = tokio::select! {
                result = timeout(PROBE_TIMEOUT, sent) => result.unwrap_or(AttemptResult::TimedOut),
                _ = request.cancel => AttemptResult::Cancelled,
            };
            plane.metrics.record_probe(&service.id, result);
            pool.finished(request.attempt, result);
        });
    }
}

async fn probe(
    plane: &DataPlane,
    service: &ServiceState,
    target: &TargetId,
    kind: PoolKind,
) -> AttemptResult {
    let Some(connections) = plane.target_connections(service, target, kind) else {
        return AttemptResult::Cancelled;
    };
    let Ok(guard) = connections.checkout(Freshness::Any).await else {
        return AttemptResult::ConnectFailed;
    };
    let Some(connection) = guard.connection().cloned() else {
        return AttemptResult::ConnectFailed;
    };
    let mut fields = HeaderMap::new();
    let millis = PROBE_TIMEOUT.as_millis() as u64;
    headers::set_number(&mut fields, field::DEADLINE, millis);
    let request = OutgoingRequest {
        method: Method::GET,
        path: "/probe".into(),
        headers: fields,
        body: Body::None,
    };
    let Ok(mut response) = connection.send(request).await else {
        return AttemptResult::Broken;
    };
    let refused = target_report::apply(plane, service, target, kind, &response.headers);
    while let Ok(Some(_)) = response.body.next().await {}
    let complete = response.body.is_ended();
    guard.release(response.body.into_reusable().is_some());
    match refused {
        Some(refused) => target_report::result_of(refused),
        None if !complete => AttemptResult::Broken,
        None if response.status.is_server_error() => AttemptResult::ServerError,
        None => AttemptResult::Done,
    }
}
