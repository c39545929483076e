//! The state of a process as operators see it.

use std::sync::Arc;
use std::time::Instant;

use carobshore_lib::access::organisation::Organisation;
use carobshore_lib::announced_target::AnnouncedTarget;
use carobshore_lib::routing_config::RoutingConfig;
use carobshore_lib::target_signals::TargetSignals;
use carobshore_platform::store_client::Topic;

use crate::evacuation;
use crate::gateway::Gateway;
use crate::limits;
use crate::warmup;

/// Returns the state that `/dump` shows.
pub(crate) fn dump(gateway: &Gateway, now: Instant) -> serde_json::Value {
    let routes = gateway.routes.borrow();
    let directory = gateway.directory.borrow();
    let targets: Vec<_> = directory
        .iter()
        .map(|target| {
            let connections = gateway.connections(target);
            let outlook = connections.outlook.borrow();
            serde_json::json!({
                "id": target.id,
                "service": target.service,
                "addr": target.addr.to_string(),
                "state": target.state,
                "entry_at": directory.position(&target.id),
                "limit": limits::dump(now, &connections),
                "warmup": warmup::dump(now, &connections),
                "unavailable": unavailable_text(&gateway.signals.borrow(), now, target),
                "displaced": connections.displaced.get(),
                "own_in_flight": outlook.own_in_flight(),
                "held": outlook.held(now, target.slots.get()),
                "slot_limit": gateway.services.slot_limit(now, &target.service, target.slots.get()),
                "failure_share": outlook.failure_share(now),
                "report": outlook.last_report().map(|(at, report)| serde_json::json!({
                    "age_ms": now.saturating_duration_since(at).as_millis() as u64,
                    "load": report,
                })),
            })
        })
        .collect();
    serde_json::json!({
        "vm": gateway.boot.borrow().vm_name,
        "version": routes.config().version,
        "config_age_ms": gateway.config_age(now),
        "store": {
            "era": gateway.eras.newest(),
            "operators": gateway.feed(Topic::Operators).dump(now),
            "targets": gateway.feed(Topic::Targets).dump(now),
        },
        "list": gateway.dump_list(now),
        "refused_config": *gateway.refused_config.borrow(),
        "routes": routes.config().routes.len(),
        "organisations": organisations(routes.config()),
        "ready": gateway.is_ready(),
        "stopping": gateway.exit.borrow().is_stopping(),
        "in_flight": gateway.in_flight.count(),
        "quotas": gateway.quotas.dump(now),
        "queues": gateway.queues.dump(now),
        "body_bytes": gateway.clients.held(),
        "clients": gateway.clients.dump(),
        "malformed_entries": gateway.malformed.borrow().len(),
        "evacuated": evacuation::dump(gateway, now),
        "crossing": gateway.crossing.dump(now),
        "targets": targets,
    })
}

/// Returns what the state dump shows of the organisations. Their keys are left out.
fn organisations(config: &RoutingConfig) -> serde_json::Value {
    let Some(access) = &config.access else {
        return serde_json::Value::Null;
    };
    let of_one = |organisation: &Arc<Organisation>| {
        serde_json::json!({
            "id": organisation.id.as_str(),
            "priority": organisation.priority,
            "quota": organisation.quota.map(|quota| quota.to_string()),
        })
    };
    let all: Vec<_> = access.iter().map(of_one).collect();
    serde_json::json!({ "keys": access.keys(), "known": all })
}

/// Returns what the state dump shows of a target that wants no requests.
fn unavailable_text(
    signals: &TargetSignals,
    now: Instant,
    target: &AnnouncedTarget,
) -> Option<Box<str>> {
    let reason = signals.unavailable(now, &target.id, target.generation())?;
    Some(reason.to_string().into())
}
