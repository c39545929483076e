//! Counts the requests that have begun to arrive and are not answered.

use std::cell::Cell;
use std::rc::Rc;

/// The number of requests in flight.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Rc<Cell<usize>>);

/// One request in flight, until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Cell<usize>>);

impl InFlight {
    /// Counts a request.
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
