//! Whether the requests of a route may be repeated.

use serde::Deserialize;
use serde::Serialize;

/// Whether the requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// Idempotent: a request may run more than once, so it may be retried and hedged.
    Safe,
    /// Run-once: each request of a caller runs at most once.
    Unsafe,
    /// Run-once with a large body.
    Upload,
}

impl CallKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        self == Self::Safe
    }

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Upload => "upload",
        }
    }
}
