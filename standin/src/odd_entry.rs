//! Entries that another writer leaves among those of targets.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::site_target::SiteTarget;

/// Returns a well-formed entry under the key of a target, with an address, a start in Unix
/// milliseconds and a sequence number of the writer's choice.
pub fn numbered(target: &SiteTarget, addr: SocketAddr, started_ms: u64, sequence: u64) -> Vec<u8> {
    let mut entry = target.entry("ready", addr);
    entry["born"] = json!(started_ms);
    entry["Status"]["SeqNo"] = json!(sequence);
    entry.to_string().into_bytes()
}

/// Returns entries that name no target, each with a name for it: nested deeply, with numbers that are
/// too large, with addresses that no process has.
pub fn malformed(target: &SiteTarget) -> Vec<(&'static str, Vec<u8>)> {
    let entry = target.entry("ready", target.addr());
    let with = |pointer: &str, value: Value| {
        let mut entry = entry.clone();
        if let Some(field) = entry.pointer_mut(pointer) {
            *field = value;
        }
        entry.to_string().into_bytes()
    };
    let replaced = |from: &str, to: &str| entry.to_string().replace(from, to).into_bytes();
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let nested_info = format!("\"Info\":{},\"Other\":", nested(100_000));
    vec![
        ("odd-nested", nested(200_000).into_bytes()),
        ("odd-nested-field", replaced("\"Info\":", &nested_info)),
        (
            "odd-number",
            replaced("\"SeqNo\":", "\"SeqNo\":1e400,\"Other\":"),
        ),
        ("odd-slots", with("/Info/Slots", json!(u64::MAX))),
        ("odd-sequence", with("/Status/SeqNo", json!(u64::MAX))),
        ("odd-start", with("/born", json!(u64::MAX))),
        ("odd-port-range", with("/Address", json!("127.0.0.1:65536"))),
        ("odd-port-zero", with("/Address", json!("127.0.0.1:0"))),
        ("odd-warm-up", with("/Status/WarmupLeft", json!("1e300s"))),
        (
            "odd-text",
            with("/Info/Service", json!("x".repeat(900_000))),
        ),
    ]
}
