//! The number of requests in flight, for which a planned stop waits.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counts of the requests that were accepted and have not ended.
#[derive(Debug, Default)]
pub struct Load {
    keyed: Cell<usize>,
    other: Cell<usize>,
    changed: Notify,
}

impl Load {
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
pub struct InFlight {
    load: Rc<Load>,
    keyed: Cell<bool>,
}

impl InFlight {
    /// Counts a request.
    pub fn start(load: &Rc<Load>) -> Rc<Self> {
        load.other.set(load.other.get() + 1);
        Rc::new(Self {
            load: Rc::clone(load),
            keyed: Cell::new(false),
        })
    }

    /// Counts the request among those whose key this VM owns.
    pub fn set_keyed(&self) {
        if !self.keyed.replace(true) {
            self.load.other.set(self.load.other.get() - 1);
            self.load.keyed.set(self.load.keyed.get() + 1);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let count = self.load.count(self.keyed.get());
        count.set(count.get() - 1);
        self.load.changed.notify_one();
    }
}
