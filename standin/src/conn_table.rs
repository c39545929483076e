//! Tracks a target's connections and which of them have stopped responding.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

/// When each connection was accepted, by the peer's address.
#[derive(Debug, Default)]
pub struct ConnTable {
    accepted: HashMap<SocketAddr, Instant>,
    silenced_at: Option<Instant>,
    count: u64,
}

impl ConnTable {
    /// Records a new connection. It replaces an earlier connection from the same peer address.
    pub fn accept(&mut self, now: Instant, peer: SocketAddr) {
        self.accepted.insert(peer, now);
        self.count += 1;
    }

    /// Makes all current connections permanently unresponsive.
    pub fn silence(&mut self, now: Instant) {
        self.silenced_at = Some(now);
    }

    /// Returns whether the connection has stopped responding.
    pub fn is_silent(&self, peer: SocketAddr) -> bool {
        let accepted = self.accepted.get(&peer);
        accepted.is_some_and(|at| self.silenced_at.is_some_and(|silenced| *at <= silenced))
    }

    /// Returns the total number of accepted connections.
    pub fn count(&self) -> u64 {
        self.count
    }
}
