//! The RPC clients of the other entry VMs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;

/// Longest wait for a connection to a peer, and for its answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer of a peer, in bytes: a snapshot of 21,000 targets takes about 4 MB.
const MAX_RESPONSE_BYTES: u32 = 64 << 20;
/// Number of clients at which all are dropped. A VM calls its watchers and one random peer a
/// second, so by then most clients are no longer used.
const MAX_CLIENTS: usize = 64;

/// Keeps a client for each peer, so that heartbeats reuse connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerClients {
    clients: Rc<RefCell<BTreeMap<SocketAddr, HttpClient>>>,
}

impl PeerClients {
    /// Returns the client of the peer at `addr`.
    pub(crate) fn client(&self, addr: SocketAddr) -> eyre::Result<HttpClient> {
        let mut clients = self.clients.borrow_mut();
        if let Some(client) = clients.get(&addr) {
            return Ok(client.clone());
        }
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        let client = HttpClientBuilder::default()
            .request_timeout(RESPONSE_TIMEOUT)
            .connect_timeout(RESPONSE_TIMEOUT)
            .max_response_size(MAX_RESPONSE_BYTES)
            .max_request_size(MAX_RESPONSE_BYTES)
            .build(format!("http://{addr}"))?;
        clients.insert(addr, client.clone());
        Ok(client)
    }

    /// Drops the client of a peer that did not answer, so that the next call opens a connection.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        self.clients.borrow_mut().remove(&addr);
    }
}
