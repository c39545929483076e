//! The right to send one request of an organisation.

use std::time::Instant;

/// The right to send one request of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuotaToken {
    /// The request must be sent before this time.
    pub expires: Instant,
}

impl QuotaToken {
    /// Returns whether a request may be sent with it.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires
    }
}
