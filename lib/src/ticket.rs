//! A request as the slot pool sees it.

use std::time::Instant;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Names a request within one VM; the submitter chooses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct TicketId(pub u64);

/// Names a caller for fair queueing: the hash of the `carobshore-caller` header or of the peer
/// address. Two callers with the same hash share one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct CallerId(pub u64);

impl CallerId {
    /// Hashes the text that identifies the caller.
    pub fn of(text: &str) -> Self {
        Self(xxh3_64(text.as_bytes()))
    }
}

/// A request that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The request.
    pub id: TicketId,
    /// Whose turn in the queue it takes.
    pub caller: CallerId,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
    /// Whether a second copy does no harm (an idempotent request).
    pub repeatable: bool,
    /// Whether another home has passed it on already; it is not passed on again.
    pub spilled: bool,
    /// Whether an attempt was made before; it is charged to the retry budget.
    pub retry: bool,
}
