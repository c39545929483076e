//! Reads, sets and filters header fields.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::IpAddr;

use carobshore_http::fields::is_framing;
use carobshore_http::fields::is_hop_by_hop;
use ntex::http::HeaderMap;
use ntex::http::header::CONNECTION;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;

use crate::field;

/// The value of [`field::KEY_STATE`] if no request with the key has run.
const UNUSED: &str = "unused";

/// Copies the end-to-end fields, which are passed on. `Content-Length` is left out, because the
/// codec writes it.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let declared = declared_by_connection(headers);
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        // This VM handles `Expect` itself.
        let hop_by_hop = is_hop_by_hop(text) || is_framing(text) || text == "expect";
        if hop_by_hop || declared.contains(text) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Returns the fields that `Connection` declares as hop-by-hop.
fn declared_by_connection(headers: &HeaderMap) -> BTreeSet<String> {
    headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect()
}

/// Removes the given fields.
pub fn remove_all(headers: &mut HeaderMap, names: &[&'static str]) {
    for name in names {
        headers.remove(*name);
    }
}

/// Sets a field to text that is known to be a valid value.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: impl AsRef<str>) {
    if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Sets a field to a number.
pub fn set_number(headers: &mut HeaderMap, name: &'static str, value: u64) {
    set(headers, name, value.to_string());
}

/// Marks a response to another VM if this VM knows that no request with the key has run.
pub fn set_key_unused(headers: &mut HeaderMap, unused: bool) {
    if unused {
        set(headers, field::KEY_STATE, UNUSED);
    }
}

/// Returns whether the owner of the key says that no request with it has run.
pub fn is_key_unused(headers: &HeaderMap) -> bool {
    single(headers, field::KEY_STATE) == Ok(Some(UNUSED))
}

/// Adds this VM to `Via`.
pub fn add_via(headers: &mut HeaderMap, vm_name: &str) {
    if let Ok(value) = HeaderValue::from_str(&format!("1.1 {vm_name}")) {
        headers.append(HeaderName::from_static("via"), value);
    }
}

/// Adds the caller's side of the connection to `Forwarded` (RFC 7239).
pub fn add_forwarded(headers: &mut HeaderMap, peer: Option<IpAddr>, host: &str) {
    let mut text = String::from("for=");
    match peer {
        Some(IpAddr::V4(ip)) => write!(text, "{ip}"),
        Some(IpAddr::V6(ip)) => write!(text, "\"[{ip}]\""),
        None => write!(text, "unknown"),
    }
    .unwrap_or_default();
    let quotable = |c: char| !c.is_ascii_control() && c != '"' && c != '\\';
    if host.chars().all(quotable) {
        write!(text, ";host=\"{host}\"").unwrap_or_default();
    }
    text.push_str(";proto=http");
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.append(HeaderName::from_static("forwarded"), value);
    }
}

/// Returns the value of a field that occurs at most once. If it is repeated or not text, `Err`
/// holds what to show in the error message.
pub fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let mut values = headers.get_all(name);
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err("several values".into());
    }
    let text = first.to_str().map(str::trim);
    text.map(Some)
        .map_err(|_| String::from_utf8_lossy(first.as_bytes()).into_owned())
}

/// Returns the value of a field that occurs once, if it is a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u32> {
    single(headers, name).ok().flatten()?.parse().ok()
}
