//! The loop that accepts connections of a listener.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::memory_budget::pressure::Pressure;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::clients::ClientConnection;
use crate::clients::Clients;

/// Pause after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the process exits, and spawns `serve` for each that is admitted. `who`
/// identifies the listener in the log.
pub async fn run<F>(
    listener: TcpListener,
    who: &'static str,
    clients: Clients,
    serve: impl Fn(TcpStream, ClientConnection) -> F,
) -> eyre::Result<()>
where
    F: Future<Output = ()> + 'static,
{
    let mut failing = Pressure::default();
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                let now = Instant::now();
                if failing.is_over(now) {
                    log::info!(who; "connections are accepted again");
                }
                if let Some(client) = clients.admit(now, addr.ip()) {
                    ntex::rt::spawn(serve(stream, client));
                }
            }
            Err(error) => {
                if failing.met(Instant::now()) {
                    log::warn!(reason:% = error, who; "cannot accept a connection");
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
