//! The parts of a VM's dump that `carobshore status` shows.
//!
//! A dump may come from any release of the daemon, so every field is optional.

use std::collections::BTreeMap;

use carobshore_lib::configured_route::ConfiguredRoute;
use carobshore_lib::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// The status of one VM.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct VmView {
    /// The address that the dump was requested from.
    pub(crate) addr: String,
    /// The VM's id.
    pub(crate) vm: Option<String>,
    /// The VM's failure domain.
    pub(crate) domain: Option<String>,
    /// Whether the VM reports itself as ready.
    pub(crate) ready: Option<bool>,
    /// The VM's applied log offset.
    pub(crate) applied: Option<u64>,
    /// The number of records by which the VM trails the most advanced one.
    pub(crate) lag: Option<u64>,
    /// Why the dump could not be fetched.
    pub(crate) error: Option<Error>,
}

/// The status of one target.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct TargetView {
    /// The target's address.
    pub(crate) addr: Option<String>,
    /// The target's failure domain.
    pub(crate) domain: Option<String>,
    /// The number of requests that the target runs at once.
    pub(crate) slots: Option<u64>,
    /// The target's state, such as `serving` or `leaving`.
    pub(crate) state: Option<String>,
    /// The VM that owns the target's slots.
    pub(crate) home: Option<String>,
    /// Whether the home sends requests to the target.
    pub(crate) usable: Option<bool>,
    /// The number of requests in flight from the home.
    pub(crate) in_flight: Option<u64>,
}

/// The status of one service.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ServiceView {
    /// The version of the service's configuration.
    pub(crate) version: Option<u64>,
    /// The measuring budget.
    pub(crate) measuring: Option<TargetTime>,
    /// The connection budget per target.
    pub(crate) connections: Option<u64>,
    /// The number of targets.
    pub(crate) count: Option<u64>,
    /// The number of targets in state `serving`, which may get new requests.
    pub(crate) serving: Option<u64>,
    /// The slots of the serving targets.
    pub(crate) slots: Option<u64>,
    /// The requests in flight, summed over the VMs whose dumps were read.
    pub(crate) in_flight: Option<u64>,
    /// The queued requests, summed over the VMs whose dumps were read.
    pub(crate) queued: Option<u64>,
    /// The targets by id.
    pub(crate) targets: BTreeMap<String, TargetView>,
}

impl VmView {
    /// Extracts the VM's own fields from its dump; the lag is set later, against the other VMs.
    pub(crate) fn new(addr: String, dump: &Value) -> Self {
        Self {
            addr,
            vm: dump.get("vm").and_then(as_string),
            domain: dump.get("domain").and_then(as_string),
            ready: dump.get("ready").and_then(Value::as_bool),
            applied: dump.get("applied").and_then(Value::as_u64),
            lag: None,
            error: None,
        }
    }
}

/// Extracts the routes from a dump. Skips a route that another release wrote in a different format.
pub(crate) fn routes(dump: &Value) -> BTreeMap<String, ConfiguredRoute> {
    let routes = dump.get("routes").and_then(Value::as_object);
    let routes = routes.into_iter().flatten();
    routes
        .filter_map(|(id, route)| Some((id.clone(), ConfiguredRoute::deserialize(route).ok()?)))
        .collect()
}

/// Extracts the services from a dump.
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
        addr: field("addr").and_then(as_string),
        domain: field("domain").and_then(as_string),
        slots: field("slots").and_then(Value::as_u64),
        state: field("state").and_then(as_string),
        ..TargetView::default()
    }
}

/// Adds the request counts and target states that a VM has only as the home of those targets.
pub(crate) fn add_home_state(
    services: &mut BTreeMap<String, ServiceView>,
    vm: &VmView,
    dump: &Value,
) {
    let pools = dump.pointer("/data/services").and_then(Value::as_object);
    for (id, pool) in pools.into_iter().flatten() {
        let (Some(service), Some(owned)) = (services.get_mut(id), pool.get("owned")) else {
            continue;
        };
        let number = |name| owned.get(name).and_then(Value::as_u64);
        add_count(&mut service.in_flight, number("in_flight"));
        add_count(&mut service.queued, number("queued"));
        let targets = owned.get("targets").and_then(Value::as_array);
        for target in targets.into_iter().flatten() {
            let Some(id) = target.get("id").and_then(as_string) else {
                continue;
            };
            let view = service.targets.entry(id).or_default();
            view.home = vm.vm.clone();
            view.usable = target.get("usable").and_then(Value::as_bool);
            view.in_flight = target.get("in_flight").and_then(Value::as_u64);
        }
    }
}

fn add_count(sum: &mut Option<u64>, count: Option<u64>) {
    if let Some(count) = count {
        *sum = Some(sum.unwrap_or(0) + count);
    }
}

fn as_string(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}
