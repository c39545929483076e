//! Reads the load, drain and refusal fields of targets' responses.

use carobshore_lib::pool_event::AttemptResult;
use carobshore_lib::pool_event::PoolEvent;
use carobshore_lib::pool_event::TargetLoad;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::request_count::RequestCount;
use carobshore_lib::send_permit::RefusedBy;
use ntex::http::HeaderMap;

use crate::data_plane::DataPlane;
use crate::field;
use crate::headers;
use crate::service_state::PoolKind;
use crate::service_state::ServiceState;
use crate::view::DataReport;

/// Passes the load and a drain on to the pools and the control thread. Returns why the target
/// refused the request, if it did.
pub(crate) fn apply(
    plane: &DataPlane,
    service: &ServiceState,
    target: &TargetId,
    kind: PoolKind,
    fields: &HeaderMap,
) -> Option<RefusedBy> {
    if let Some(load) = load(fields) {
        let target = target.clone();
        let report = PoolEvent::Report { target, load };
        service.pool(kind).handle(report);
    }
    let refused = refused(fields);
    let drains = headers::single(fields, field::TARGET_DRAIN) == Ok(Some("yes"));
    if drains || refused == Some(RefusedBy::Drain) {
        for kind in [PoolKind::Owned, PoolKind::Shared] {
            let target = target.clone();
            service.pool(kind).handle(PoolEvent::Drain { target });
        }
        plane.control.send(DataReport::Drain {
            service: service.id.clone(),
            target: target.clone(),
        });
    }
    refused
}

/// Reads `target-load: in-flight=N, queued=N`.
pub fn load(fields: &HeaderMap) -> Option<TargetLoad> {
    let text = headers::single(fields, field::TARGET_LOAD).ok().flatten()?;
    let value = |name: &str| {
        let mut parts = text.split(',').map(str::trim);
        let part = parts.find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
        part?.parse::<RequestCount>().ok()
    };
    Some(TargetLoad {
        in_flight: value("in-flight")?.get(),
        queued: value("queued")?.get(),
    })
}

/// Reads `target-refused`. Only the known values prove that the request was not started.
pub fn refused(fields: &HeaderMap) -> Option<RefusedBy> {
    match headers::single(fields, field::TARGET_REFUSED) {
        Ok(Some("shed")) => Some(RefusedBy::Shed),
        Ok(Some("drain")) => Some(RefusedBy::Drain),
        Ok(Some("deadline")) => Some(RefusedBy::Deadline),
        _ => None,
    }
}

/// Returns the result that a refusal has for the pool.
pub fn result_of(refused: RefusedBy) -> AttemptResult {
    match refused {
        RefusedBy::Drain => AttemptResult::Draining,
        RefusedBy::Deadline => AttemptResult::Deadline,
        RefusedBy::Shed | RefusedBy::Vm { .. } => AttemptResult::Shed,
    }
}
