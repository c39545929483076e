//! The number of requests in flight, for which a planned stop waits.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counts of the requests that were accepted and have not ended.
#[derive(Debug, Default)]
pub struct InFlightCounts {
    keyed: Cell<usize>,
    other: Cell<usize>,
    changed: Notify,
}

impl InFlightCounts {
    /// Returns the number of requests whose key this VM owns.
    pub fn keyed(&self) -> usize {
        self.keyed.get()
    }

    /// Returns the number of all other requests.
    pub fn other(&self) -> usize {
        self.other.get()
    }

    /// Waits until a request ended.
    pub async fn ended(&self) {
        self.changed.notified().await;
    }

    fn count(&self, keyed: bool) -> &Cell<usize> {
        if keyed { &self.keyed } else { &self.other }
    }
}

/// One request in flight; it ends when the last owner is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    counts: Rc<InFlightCounts>,
    keyed: Cell<bool>,
}

impl InFlightGuard {
    /// Counts a request.
    pub fn start(counts: &Rc<InFlightCounts>) -> Rc<Self> {
        counts.other.set(counts.other.get() + 1);
        Rc::new(Self {
            counts: Rc::clone(counts),
            keyed: Cell::new(false),
        })
    }

    /// Counts the request among those whose key this VM owns.
    pub fn set_keyed(&self) {
        if !self.keyed.replace(true) {
            self.counts.other.set(self.counts.other.get() - 1);
            self.counts.keyed.set(self.counts.keyed.get() + 1);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = self.counts.count(self.keyed.get());
        count.set(count.get() - 1);
        self.counts.changed.notify_one();
    }
}
