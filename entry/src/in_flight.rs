//! Counts requests in flight. A planned stop waits for them.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// The number of requests that were accepted and have not ended.
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

    /// Waits until a request has ended.
    pub async fn ended(&self) {
        self.changed.notified().await;
    }

    fn count(&self, keyed: bool) -> &Cell<usize> {
        if keyed { &self.keyed } else { &self.other }
    }
}

/// Counts one request as in flight until the last reference to the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    counts: Rc<InFlightCounts>,
    keyed: Cell<bool>,
}

impl InFlightGuard {
    /// Starts to count a request, as one without a key.
    pub fn start(counts: &Rc<InFlightCounts>) -> Rc<Self> {
        counts.other.set(counts.other.get() + 1);
        Rc::new(Self {
            counts: Rc::clone(counts),
            keyed: Cell::new(false),
        })
    }

    /// Counts the request as one whose key this VM owns.
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
