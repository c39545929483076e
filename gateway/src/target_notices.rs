//! What targets say of themselves in their answers: that they are leaving, or want a pause. And why
//! no target of a service may get a request.

use std::time::Instant;

use carobshore_lib::access::region_rule::RegionRule;
use carobshore_lib::announced_target::AnnouncedTarget;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::TargetState;
use carobshore_lib::target_signals::Unavailable;
use carobshore_platform::header_fields::AskedPause;
use carobshore_platform::header_fields::ResponseFields;
use carobshore_platform::header_fields::StatedKeepAlive;

use crate::evacuation;
use crate::gateway::Gateway;
use crate::target_connections::TargetConnections;

/// Records what the head of a target's answer says. `belongs` is whether it answers the request that
/// was sent last: a pause that an earlier answer asked for may be over.
pub(crate) fn hear(
    gateway: &Gateway,
    connections: &TargetConnections,
    fields: &ResponseFields,
    belongs: bool,
) {
    if fields.misdirected || !is_from(connections, fields) {
        return;
    }
    let now = Instant::now();
    let (id, generation) = (&connections.id, connections.generation);
    let mut signals = gateway.signals.borrow_mut();
    if fields.leaving && signals.leaving(now, id, generation) {
        gateway.metrics.target_signal("leaving");
        log::info!(target = id.as_str(), reason = "it says so"; "target is leaving");
    }
    match fields.pause {
        AskedPause::For(pause) if belongs => {
            gateway.metrics.target_signal("pause");
            let position = connections.rank as f64 / u64::MAX as f64;
            if signals.paused(now, id, generation, pause, position) {
                log::info!(target = id.as_str(), pause:% = pause; "target wants a pause");
            }
        }
        AskedPause::Malformed if belongs => {
            gateway.metrics.target_signal("malformed-pause");
            if !connections.malformed_pause.replace(true) {
                log::warn!(target = id.as_str(); "a malformed pause is ignored");
            }
        }
        AskedPause::None | AskedPause::For(_) | AskedPause::Malformed => {}
    }
    if fields.keep_alive == StatedKeepAlive::Malformed {
        gateway.metrics.target_signal("malformed-keep-alive");
        if !connections.malformed_keep_alive.replace(true) {
            log::warn!(target = id.as_str(); "a malformed keep-alive time is ignored");
        }
    }
}

/// Returns whether a response may come from the target: it names no other one.
pub(crate) fn is_from(connections: &TargetConnections, fields: &ResponseFields) -> bool {
    let named = fields.target.as_deref();
    named.is_none_or(|named| *named == *connections.id.as_str())
}

/// Returns whether a target may get a request, as far as its answers and the operators say.
pub(crate) fn is_available(gateway: &Gateway, connections: &TargetConnections) -> bool {
    if evacuation::is_evacuated(gateway, &connections.domain) {
        return false;
    }
    let signals = gateway.signals.borrow();
    let (id, generation) = (&connections.id, connections.generation);
    signals
        .unavailable(Instant::now(), id, generation)
        .is_none()
}

/// Returns which target of a service may get a request first, if all that serve it are leaving, want
/// a pause, are evacuated, or are outside the regions of the request.
pub(crate) fn all_unavailable(
    gateway: &Gateway,
    service: &ServiceId,
    regions: RegionRule<'_>,
) -> Option<Unavailable> {
    let (directory, signals) = (gateway.directory.borrow(), gateway.signals.borrow());
    let now = Instant::now();
    let serving = directory
        .iter()
        .filter(|target| target.service == *service && target.state == TargetState::Serving);
    let boot = gateway.boot.borrow();
    let reason = |target: &AnnouncedTarget| {
        if !regions.allows(boot.regions.get(&target.domain)) {
            return Some(Unavailable::OutsideRegions);
        }
        if evacuation::is_evacuated(gateway, &target.domain) {
            return Some(Unavailable::Evacuated);
        }
        signals.unavailable(now, &target.id, target.generation())
    };
    let reasons = serving.map(reason);
    let reasons: Option<Vec<Unavailable>> = reasons.collect();
    reasons?.into_iter().min()
}
