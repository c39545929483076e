//! The loop that accepts connections of a listener.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Pause after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the process exits, and spawns `serve` for each. `who` identifies the
/// listener in the log.
pub async fn run<F>(
    listener: TcpListener,
    who: &'static str,
    serve: impl Fn(TcpStream) -> F,
) -> eyre::Result<()>
where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                ntex::rt::spawn(serve(stream));
            }
            Err(error) => {
                log::warn!(reason:% = error, who; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
