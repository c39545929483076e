//! Asks the data thread to stop.

use std::io;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// Requests a planned stop. The second request aborts the requests in flight.
#[derive(Clone, Debug)]
pub struct StopHandle(watch::Sender<u32>);

/// Receives the requests to stop.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<u32>);

impl StopHandle {
    /// Creates the handle and the receiver.
    pub fn channel() -> (Self, StopSignal) {
        let (sender, receiver) = watch::channel(0);
        (Self(sender), StopSignal(receiver))
    }

    /// Requests a planned stop. The second call aborts the requests in flight.
    pub fn request(&self) {
        self.0.send_modify(|count| *count += 1);
    }

    /// Requests a stop at each SIGTERM and SIGINT. Runs until the process ends.
    pub async fn follow_signals(self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            self.request();
        }
    }
}

impl StopSignal {
    /// Waits for requests beyond the first `seen` ones, and returns their number so far.
    pub(crate) async fn beyond(&mut self, seen: u32) -> u32 {
        let count = self.0.wait_for(|count| *count > seen).await;
        match count.map(|count| *count) {
            Ok(count) => count,
            // All handles were dropped, so no further request can arrive.
            Err(_) => std::future::pending().await,
        }
    }
}
