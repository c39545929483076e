//! The connections of a target and which of them stopped answering.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

/// When each connection was accepted, by the peer's address.
#[derive(Debug, Default)]
pub struct ConnTable {
    accepted: HashMap<SocketAddr, Instant>,
    silenced: Option<Instant>,
    count: u64,
}

impl ConnTable {
    /// Takes note of a new connection. A port that is used again replaces the earlier connection.
    pub fn accept(&mut self, now: Instant, peer: SocketAddr) {
        self.accepted.insert(peer, now);
        self.count += 1;
    }

    /// Makes every connection that exists now unresponsive for good.
    pub fn silence(&mut self, now: Instant) {
        self.silenced = Some(now);
    }

    /// Returns whether the connection stopped answering.
    pub fn is_silent(&self, peer: SocketAddr) -> bool {
        let accepted = self.accepted.get(&peer);
        accepted.is_some_and(|at| self.silenced.is_some_and(|silenced| *at <= silenced))
    }

    /// Returns how many connections were accepted in all.
    pub fn count(&self) -> u64 {
        self.count
    }
}
