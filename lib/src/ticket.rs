//! A request for a slot, as the slot pool handles it.

use std::time::Instant;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a request within one VM; the submitter assigns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct TicketId(pub u64);

/// Identifies a caller for fair queueing: the hash of the `carobshore-caller` header or of the peer
/// address. Callers with the same hash share one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct CallerId(pub u64);

impl CallerId {
    /// Returns the hash of the text that identifies the caller.
    pub fn of(text: &str) -> Self {
        Self(xxh3_64(text.as_bytes()))
    }
}

/// A request that needs a slot of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The request.
    pub id: TicketId,
    /// The caller, for fair queueing.
    pub caller: CallerId,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
    /// Whether the request is idempotent, so that a second copy is harmless.
    pub repeatable: bool,
    /// Whether another home has spilled the request to this one; it is not spilled again.
    pub spilled: bool,
    /// Whether the request is a retry, which is charged to the retry budget.
    pub retry: bool,
}
