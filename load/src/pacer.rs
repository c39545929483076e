//! Releases requests at their scheduled times.

use std::thread;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::arrival::Arrival;

/// Starts a thread that hands over each arrival at its time after `start`.
///
/// A thread of its own sleeps more exactly than the runtime's timer, which works in milliseconds.
/// It never waits for responses, so slow responses do not thin out the load.
pub fn start(start: Instant, schedule: Vec<Arrival>) -> UnboundedReceiver<Arrival> {
    let (sender, receiver) = mpsc::unbounded_channel();
    thread::spawn(move || {
        for arrival in schedule {
            let due = start + arrival.at;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if sender.send(arrival).is_err() {
                return;
            }
        }
    });
    receiver
}
