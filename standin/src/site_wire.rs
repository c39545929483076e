//! Builds settings, configuration and requests in the platform's formats.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

/// The header field with a request's id.
pub const REQUEST_ID: &str = "Attempt-Id";
/// The header field by which a target signs a response.
pub const RESPONSE_SIGNATURE: &str = "Response-Signature";

/// The header field in which a target names itself.
pub const INSTANCE: &str = "Instance-Id";
/// The header field in which a target names its limit.
pub const LIMIT: &str = "Server-Limit";
/// The header field by which a target says that it is leaving, with the end of its line.
pub const LEAVING_FIELD: &str = "Server-Leaving: 1\r\n";
/// The header field in which a target that refuses a request asks for a pause.
pub const RETRY_AFTER: &str = "Retry-After";

/// The header field in which a target says for how many milliseconds it is cold.
pub const WARMUP_LEFT: &str = "Warmup-Remaining";

/// What a gateway's VM allows its process, as the settings state it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLimits {
    /// `MemoryMb`, in units of 2^20 bytes.
    pub memory_mb: u32,
    /// `MaxFds`, the number of open descriptors.
    pub descriptors: u32,
}

impl Default for VmLimits {
    fn default() -> Self {
        Self {
            memory_mb: 160,
            descriptors: 4_100,
        }
    }
}

/// The settings that differ between gateway VMs.
#[derive(Clone, Copy, Debug)]
pub struct VmSettings<'a> {
    /// The VM's name.
    pub name: &'a str,
    /// The failure domain: `a`, `b` or `c`.
    pub domain: &'a str,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the readiness endpoint.
    pub readiness: SocketAddr,
    /// The address of the admin endpoint, which serves metrics and the state.
    pub admin: SocketAddr,
    /// The address for other VMs, if the settings of others may name it.
    pub control: Option<SocketAddr>,
    /// The addresses of some other VMs, used to join the roster.
    pub seeds: &'a [SocketAddr],
    /// The address of the store.
    pub store: SocketAddr,
    /// What the VM allows the process.
    pub limits: VmLimits,
}

/// Returns the JSON text of a VM's settings file.
pub fn settings(vm: &VmSettings<'_>) -> String {
    let seeds: Vec<String> = vm.seeds.iter().map(ToString::to_string).collect();
    json!({
        "NodeName": vm.name, "Role": "gateway", "MachineClass": "edge", "Serves": ["edge"],
        "Ip": "127.0.0.1", "Zone": vm.domain, "Region": "r", "Zones": {"a": "r", "b": "r", "c": "s"},
        "Listen": {"Frontend": vm.callers.to_string(), "Readiness": vm.readiness.to_string(),
            "ControlPlane": vm.control.map(|addr| addr.to_string())},
        "InternalPorts": [vm.admin.port(), vm.admin.port()], "Seeds": seeds, "Bootstrap": vm.first_start,
        "Limits": {"CpuShare": 0.2, "MemoryMb": vm.limits.memory_mb, "MaxFds": vm.limits.descriptors},
        "Bounds": {"Grace": "6s", "RetryBudgetRatio": 0.2, "RetryWindow": "10s",
            "RetryBudgetExtra": 60, "ProbesPerS": 60, "ColdOver": 1.5, "ColdSlack": 8},
        "Platform": {"Address": vm.store.to_string(), "form": "log"},
    })
    .to_string()
}

/// Returns routes for `/safe/`, `/unsafe/` and `/upload/` on `site.example` to a service.
pub fn routes(timeout_ms: u64, service: &str) -> Vec<Value> {
    ["safe", "unsafe", "upload"]
        .iter()
        .map(|kind| {
            json!({"Type": "Routes", "Metadata": {"Name": format!("r-{kind}")}, "Spec": {
                "Host": "site.example", "PathPrefix": format!("/{kind}/"), "Kind": kind,
                "Timeout": format!("{timeout_ms}ms"), "TargetLatency": "600ms", "Priority": 1,
                "Service": service, "MaxAttempts": 3}})
        })
        .collect()
}

/// Returns a route for idempotent requests to `/<name>/` on `site.example`.
pub fn named_route(name: &str, service: &str) -> Value {
    let mut route = routes(1_500, service).swap_remove(0);
    route["Metadata"]["Name"] = format!("r-{name}").into();
    route["Spec"]["PathPrefix"] = format!("/{name}/").into();
    route
}

/// Returns [`routes`], followed by `count` routes to other paths. One in the middle has another timeout.
pub fn many_routes(count: usize, timeout_ms: u64, service: &str) -> Vec<Value> {
    let mut many = routes(1_500, service);
    for index in 0..count {
        let mut route = many[0].clone();
        route["Metadata"]["Name"] = format!("r-more-{index}").into();
        route["Spec"]["PathPrefix"] = format!("/more-{index}/").into();
        many.push(route);
    }
    let middle = many.len() / 2;
    many[middle]["Spec"]["Timeout"] = format!("{timeout_ms}ms").into();
    many
}

/// Returns a configuration document with the routes and fixed limits.
pub fn configuration(version: u64, routes: &[Value]) -> String {
    let mut resources = routes.to_vec();
    resources.push(
        json!({"Type": "Services", "Metadata": {"Name": "status"}, "Spec": {
        "HealthPath": "/health", "MaxConns": 240, "Protocol": "h1", "Tls": false}}),
    );
    resources.push(json!({"Type": "Limits", "Metadata": {}, "Spec": {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": 1_000_000,
        "HeaderTimeout": "1000ms", "IdleTimeout": "15000ms"}}));
    json!({"Version": format!("r{version}"), "Resources": resources}).to_string()
}

/// Returns a service besides `status`, for [`configuration`].
pub fn service(name: &str) -> Value {
    json!({"Type": "Services", "Metadata": {"Name": name}, "Spec": {
        "HealthPath": "/health", "MaxConns": 240, "Protocol": "h1", "Tls": false}})
}

/// Returns a service whose targets take `rate` requests a second for `time_ms` after a start.
pub fn warming_service(name: &str, time_ms: u64, rate: f64) -> Value {
    json!({"Type": "Services", "Metadata": {"Name": name}, "Spec": {
        "HealthPath": "/health", "MaxConns": 240, "Protocol": "h1", "Tls": false,
        "Warmup": format!("{time_ms}ms"), "WarmupPerS": rate}})
}

/// Restricts a route, or an organisation, to regions.
pub fn restrict(resource: &mut Value, regions: &[&str]) {
    resource["Spec"]["AllowedRegions"] = regions.into();
}

/// Returns the key of the record that evacuates a failure domain.
pub fn evacuation_key(domain: &str) -> String {
    format!("evacuate/{domain}")
}

/// Returns an HTTP/1.1 request; `kind` is a route's kind, and an empty `body` sends none.
pub fn request(kind: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let method = if kind == "safe" { "GET" } else { "POST" };
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} /{kind}/%2e/x?y=%zz HTTP/1.1\r\nHost: site.example\r\n{REQUEST_ID}: {id}\r\nRequest-Deadline: {deadline_ms}\r\n{length}\r\n{body}"
    )
}

/// Returns an organisation with its keys, for [`configuration`].
pub fn organisation(name: &str, keys: &[&str]) -> Value {
    json!({"Type": "Tenants", "Metadata": {"Name": name}, "Spec": {"ApiKeys": keys}})
}

/// Returns an organisation that may send `rate` requests a second, and `burst` at once in addition.
pub fn with_quota(mut organisation: Value, rate: f64, burst: f64) -> Value {
    organisation["Spec"]["RatePerS"] = rate.into();
    organisation["Spec"]["Burst"] = burst.into();
    organisation
}

/// Returns a route that divides its requests among services by their weights.
pub fn with_split(mut route: Value, parts: &[(&str, u32)]) -> Value {
    let part = |(service, weight): &(&str, u32)| json!({"Service": service, "Weight": weight});
    let parts: Vec<Value> = parts.iter().map(part).collect();
    route["Spec"]["TrafficSplit"] = parts.into();
    route
}

/// Returns a route for idempotent requests of `a.example`: two attempts, due in half a second.
pub fn route(name: &str, prefix: &str, service: &str) -> Value {
    json!({"Type": "Routes", "Metadata": {"Name": name}, "Spec": {"Host": "a.example",
        "PathPrefix": prefix, "Kind": "safe", "Timeout": "2s", "TargetLatency": "500ms",
        "MaxAttempts": 2, "Service": service}})
}

/// Returns a route with another number of attempts.
pub fn with_attempts(mut route: Value, attempts: u32) -> Value {
    route["Spec"]["MaxAttempts"] = attempts.into();
    route
}

/// Returns a route whose responses are due within another time.
pub fn with_latency(mut route: Value, latency: &str) -> Value {
    route["Spec"]["TargetLatency"] = latency.into();
    route
}
