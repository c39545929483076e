//! Connects to whichever of several VMs accepts a connection first.
//!
//! When all VMs start at about the same time, some of them do not listen yet, or have no power: an
//! attempt to connect to such a VM hangs. So attempts overlap, and each VM is tried again and again.

use std::net::SocketAddr;
use std::time::Duration;

use carobshore_http::persistent_client::CallFailure;
use carobshore_http::persistent_client::PersistentClient;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

/// Pause between the starts of two attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for one attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns a client that is connected to one of the VMs. Those that come first in `addrs` are tried
/// first. Waits until one of them accepts.
pub(crate) async fn connect(addrs: &[SocketAddr]) -> PersistentClient {
    let mut attempts = FuturesUnordered::new();
    let mut addrs = addrs.iter().cycle();
    let mut pace = interval(ATTEMPT_INTERVAL);
    pace.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(Ok(client)) = attempts.next() => return client,
            _ = pace.tick() => attempts.extend(addrs.next().map(|addr| open(*addr))),
        }
    }
}

async fn open(addr: SocketAddr) -> Result<PersistentClient, CallFailure> {
    let mut client = PersistentClient::new(addr, CONNECT_TIMEOUT);
    client.connect().await?;
    Ok(client)
}
