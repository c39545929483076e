//! What the platform's operators, callers and VMs write, in its formats.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

/// The header field with the id of a request.
pub const REQUEST_ID: &str = "Attempt-Id";
/// The header field by which a target signs a response.
pub const RESPONSE_SIGNATURE: &str = "Response-Signature";

/// What differs between the settings of gateways.
#[derive(Clone, Copy, Debug)]
pub struct VmSettings<'a> {
    /// The VM's name.
    pub name: &'a str,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is answered.
    pub readiness: SocketAddr,
    /// Where metrics and the state are shown.
    pub admin: SocketAddr,
    /// Where some other VMs are found.
    pub seeds: &'a [SocketAddr],
    /// Where the store is reached.
    pub store: SocketAddr,
}

/// Returns a settings file.
pub fn settings(vm: &VmSettings<'_>) -> String {
    let seeds: Vec<String> = vm.seeds.iter().map(ToString::to_string).collect();
    json!({
        "NodeName": vm.name, "Role": "gateway", "MachineClass": "edge", "Serves": ["edge"],
        "Ip": "127.0.0.1", "Zone": "a", "Region": "r", "Zones": {"a": "r"},
        "Listen": {"Frontend": vm.callers.to_string(), "Readiness": vm.readiness.to_string()},
        "InternalPorts": [vm.admin.port(), vm.admin.port()], "Seeds": seeds, "Bootstrap": false,
        "Limits": {"CpuShare": 0.2, "MemoryMb": 260, "MaxFds": 4100},
        "Bounds": {"Grace": "6s", "RetryBudgetRatio": 0.2, "RetryWindow": "10s",
            "RetryBudgetExtra": 60, "ProbesPerS": 60},
        "Platform": {"Address": vm.store.to_string(), "form": "log"},
    })
    .to_string()
}

/// Returns the routes `/safe/`, `/unsafe/` and `/upload/` on `site.example`, which lead to a service.
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

/// Returns a configuration document with routes.
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

/// Returns a request in wire format.
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
