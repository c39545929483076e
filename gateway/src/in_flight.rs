//! Counts the requests that have started to arrive and are not answered yet.

use std::cell::Cell;
use std::rc::Rc;

/// Count of the requests in flight. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Rc<Cell<usize>>);

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Cell<usize>>);

impl InFlight {
    /// Counts a request until the guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(Rc::clone(&self.0))
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
