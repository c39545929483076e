//! Request keys with a given creation time.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use carobshore_lib::prelude::RequestKey;

/// Builds the key number `n` that a caller created at `created`.
pub fn key_at(created: SystemTime, n: u64) -> RequestKey {
    let millis = created.duration_since(UNIX_EPOCH).unwrap().as_millis();
    let text = format!(
        "{:08x}-{:04x}-7000-8000-{:012x}",
        millis >> 16,
        millis & 0xffff,
        n & 0xffff_ffff_ffff
    );
    text.parse().unwrap()
}
