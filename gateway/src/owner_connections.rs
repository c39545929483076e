//! Connections to the owners of quotas, kept for a few seconds so that a take is one round trip.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::persistent_client::PersistentClient;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
/// Largest body of an answer, in bytes. It has a few words.
const MAX_BODY: usize = 4 << 10;
/// How long a connection is kept without use; the other VM closes it after 30 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Largest number of unused connections to one VM. Each is used by one organisation at a time.
const MAX_IDLE: usize = 4;

/// Unused connections to other VMs.
#[derive(Debug, Default)]
pub(crate) struct OwnerConnections {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    client: PersistentClient,
    since: Instant,
}

impl OwnerConnections {
    /// Takes the connection that was used last; nothing if none is left.
    pub(crate) fn take(&self, now: Instant, addr: SocketAddr) -> Option<PersistentClient> {
        let mut idle = self.idle.borrow_mut();
        let last = idle.get_mut(&addr)?.pop()?;
        (now.saturating_duration_since(last.since) < IDLE_TIMEOUT).then_some(last.client)
    }

    /// Returns a client that connects on its first call.
    pub(crate) fn open(addr: SocketAddr) -> PersistentClient {
        PersistentClient::new(addr, CONNECT_TIMEOUT).with_max_body(MAX_BODY)
    }

    /// Keeps a connection after use.
    pub(crate) fn keep(&self, now: Instant, client: PersistentClient) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(client.addr()).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(IdleConnection { client, since: now });
        }
    }

    /// Closes the connections that have not been used for long.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, kept| {
            kept.retain(|one| now.saturating_duration_since(one.since) < IDLE_TIMEOUT);
            !kept.is_empty()
        });
    }
}
