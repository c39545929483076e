//! Asks the data thread to stop.

use std::io;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// The sending end: each request counts, and the second one cuts off requests in flight.
#[derive(Clone, Debug)]
pub struct StopHandle(watch::Sender<u32>);

/// The receiving end.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<u32>);

impl StopHandle {
    /// Builds both ends.
    pub fn channel() -> (Self, StopSignal) {
        let (sender, receiver) = watch::channel(0);
        (Self(sender), StopSignal(receiver))
    }

    /// Asks for a planned stop; asks again to cut off what is in flight.
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
            // Nobody can ask any more.
            Err(_) => std::future::pending().await,
        }
    }
}
