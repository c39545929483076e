//! What the status shows of a VM's dump.
//!
//! Dumps come from daemons of any release, so each field is optional and may be missing.

use std::collections::BTreeMap;

use carobshore_lib::configured_route::ConfiguredRoute;
use carobshore_lib::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// One VM.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct VmView {
    /// The address that was asked.
    pub(crate) addr: String,
    /// The VM's id.
    pub(crate) vm: Option<String>,
    /// The VM's failure domain.
    pub(crate) domain: Option<String>,
    /// Whether the VM is ready.
    pub(crate) ready: Option<bool>,
    /// The VM's applied offset.
    pub(crate) applied: Option<u64>,
    /// How many records the VM is behind the one that is furthest ahead.
    pub(crate) lag: Option<u64>,
    /// Why there is no dump.
    pub(crate) error: Option<Error>,
}

/// One target.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct TargetView {
    /// The target's address.
    pub(crate) addr: Option<String>,
    /// The target's failure domain.
    pub(crate) domain: Option<String>,
    /// The target's slots.
    pub(crate) slots: Option<u64>,
    /// Whether the target serves or leaves.
    pub(crate) state: Option<String>,
    /// The VM that owns the target's slots.
    pub(crate) home: Option<String>,
    /// Whether the home sends work to the target.
    pub(crate) usable: Option<bool>,
    /// The requests in flight from the home.
    pub(crate) in_flight: Option<u64>,
}

/// One service.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ServiceView {
    /// The version.
    pub(crate) version: Option<u64>,
    /// The measuring budget.
    pub(crate) measuring: Option<TargetTime>,
    /// The connection budget per target.
    pub(crate) connections: Option<u64>,
    /// The number of targets.
    pub(crate) count: Option<u64>,
    /// The number of targets that may get new work.
    pub(crate) serving: Option<u64>,
    /// The slots of these.
    pub(crate) slots: Option<u64>,
    /// The requests in flight on all homes that were asked.
    pub(crate) in_flight: Option<u64>,
    /// The requests that wait on all homes that were asked.
    pub(crate) queued: Option<u64>,
    /// The targets.
    pub(crate) targets: BTreeMap<String, TargetView>,
}

impl VmView {
    /// Reads what is known about the VM.
    pub(crate) fn new(addr: String, dump: &Value) -> Self {
        Self {
            addr,
            vm: dump.get("vm").and_then(text),
            domain: dump.get("domain").and_then(text),
            ready: dump.get("ready").and_then(Value::as_bool),
            applied: dump.get("applied").and_then(Value::as_u64),
            lag: None,
            error: None,
        }
    }
}

/// Reads the routes of a dump. One that another release wrote in another form is left out.
pub(crate) fn routes(dump: &Value) -> BTreeMap<String, ConfiguredRoute> {
    let routes = dump.get("routes").and_then(Value::as_object);
    let routes = routes.into_iter().flatten();
    routes
        .filter_map(|(id, route)| Some((id.clone(), ConfiguredRoute::deserialize(route).ok()?)))
        .collect()
}

/// Reads the services of a dump.
pub(crate) fn services(dump: &Value) -> BTreeMap<String, ServiceView> {
    let services = dump.get("services").and_then(Value::as_object);
    services
        .into_iter()
        .flatten()
        .map(|(id, service)| (id.clone(), service_view(service)))
        .collect()
}

fn service_view(service: &Value) -> ServiceView {
    let number = |name| service.get(name).and_then(Value::as_u64);
    let targets = service.get("targets").and_then(Value::as_object);
    let targets: BTreeMap<_, _> = targets
        .into_iter()
        .flatten()
        .map(|(id, target)| (id.clone(), target_view(target)))
        .collect();
    let serving = || {
        let all = targets.values();
        all.filter(|target| target.state.as_deref() == Some("serving"))
    };
    ServiceView {
        version: number("version"),
        measuring: number("measuring").map(TargetTime),
        connections: number("connections"),
        count: Some(targets.len() as u64),
        serving: Some(serving().count() as u64),
        slots: Some(serving().filter_map(|target| target.slots).sum()),
        in_flight: None,
        queued: None,
        targets,
    }
}

fn target_view(target: &Value) -> TargetView {
    let field = |name| target.get(name);
    TargetView {
        addr: field("addr").and_then(text),
        domain: field("domain").and_then(text),
        slots: field("slots").and_then(Value::as_u64),
        state: field("state").and_then(text),
        ..TargetView::default()
    }
}

/// Adds what a VM knows as the home of targets.
pub(crate) fn add_pools(services: &mut BTreeMap<String, ServiceView>, vm: &VmView, dump: &Value) {
    let pools = dump.pointer("/data/services").and_then(Value::as_object);
    for (id, pool) in pools.into_iter().flatten() {
        let (Some(service), Some(owned)) = (services.get_mut(id), pool.get("owned")) else {
            continue;
        };
        let number = |name| owned.get(name).and_then(Value::as_u64);
        add(&mut service.in_flight, number("in_flight"));
        add(&mut service.queued, number("queued"));
        let targets = owned.get("targets").and_then(Value::as_array);
        for target in targets.into_iter().flatten() {
            let Some(id) = target.get("id").and_then(text) else {
                continue;
            };
            let view = service.targets.entry(id).or_default();
            view.home = vm.vm.clone();
            view.usable = target.get("usable").and_then(Value::as_bool);
            view.in_flight = target.get("in_flight").and_then(Value::as_u64);
        }
    }
}

fn add(sum: &mut Option<u64>, more: Option<u64>) {
    if let Some(more) = more {
        *sum = Some(sum.unwrap_or(0) + more);
    }
}

fn text(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}
