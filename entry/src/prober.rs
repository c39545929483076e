//! Probes of targets, sent when a pool asks for them.

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

use crate::connection::Outgoing;
use crate::field;
use crate::headers;
use crate::plane::Plane;
use crate::pool_seat::PoolSeat;
use crate::pool_seat::ProbeOrder;
use crate::service_plane::Probes;
use crate::service_plane::SeatKind;
use crate::service_plane::ServicePlane;
use crate::target_signs;

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts the task of each pool that sends its probes.
pub(crate) fn start(plane: &Rc<Plane>, service: &Rc<ServicePlane>, probes: Probes) {
    for ((seat, orders), kind) in probes.into_iter().zip([SeatKind::Owned, SeatKind::Shared]) {
        let plane = Rc::downgrade(plane);
        let service = Rc::downgrade(service);
        ntex::rt::spawn(run(plane, service, Rc::downgrade(&seat), orders, kind));
    }
}

async fn run(
    plane: Weak<Plane>,
    service: Weak<ServicePlane>,
    seat: Weak<PoolSeat>,
    mut orders: UnboundedReceiver<ProbeOrder>,
    kind: SeatKind,
) {
    while let Some(order) = orders.recv().await {
        let (Some(plane), Some(service), Some(seat)) =
            (plane.upgrade(), service.upgrade(), seat.upgrade())
        else {
            return;
        };
        ntex::rt::spawn(async move {
            let sent = probe(&plane, &service, &order.target, kind);
            // Dropping the probe closes its connection, which cancels it at the target.
            let result = tokio::select! {
                result = timeout(PROBE_TIMEOUT, sent) => result.unwrap_or(AttemptResult::TimedOut),
                _ = order.cut => AttemptResult::Cancelled,
            };
            plane.metrics.probed(&service.id, result);
            seat.finished(order.attempt, result);
        });
    }
}

async fn probe(
    plane: &Plane,
    service: &ServicePlane,
    target: &TargetId,
    kind: SeatKind,
) -> AttemptResult {
    let Some(links) = plane.target_links(service, target, kind) else {
        return AttemptResult::Cancelled;
    };
    let Ok(link) = links.checkout(Freshness::Any).await else {
        return AttemptResult::ConnectFailed;
    };
    let Some(connection) = link.connection().cloned() else {
        return AttemptResult::ConnectFailed;
    };
    let mut fields = HeaderMap::new();
    let millis = PROBE_TIMEOUT.as_millis() as u64;
    headers::set_number(&mut fields, field::DEADLINE, millis);
    let request = Outgoing {
        method: Method::GET,
        path: "/probe".into(),
        headers: fields,
        body: Body::None,
    };
    let Ok(mut answer) = connection.send(request).await else {
        return AttemptResult::Broken;
    };
    let refused = target_signs::note(plane, service, target, kind, &answer.headers);
    while let Ok(Some(_)) = answer.body.next().await {}
    let whole = answer.body.is_ended();
    link.answered(answer.body.into_reusable().is_some());
    match refused {
        Some(refused) => target_signs::result_of(refused),
        None if !whole => AttemptResult::Broken,
        None if answer.status.is_server_error() => AttemptResult::ServerError,
        None => AttemptResult::Done,
    }
}
