//! Counts the memory that bodies of requests take.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes in use.
#[derive(Clone, Debug, Default)]
pub struct BodyMemory(Rc<Cell<u64>>);

/// Memory for one body, until it is dropped.
#[derive(Debug)]
pub struct ReservedBody {
    memory: BodyMemory,
    bytes: u64,
}

impl BodyMemory {
    /// Reserves memory. Returns nothing if more than `most` bytes would be in use.
    pub fn reserve(&self, bytes: u64, most: u64) -> Option<ReservedBody> {
        let used = self.0.get().saturating_add(bytes);
        if used > most {
            return None;
        }
        self.0.set(used);
        let memory = self.clone();
        Some(ReservedBody { memory, bytes })
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> u64 {
        self.0.get()
    }
}

impl Drop for ReservedBody {
    fn drop(&mut self) {
        let Self { memory, bytes } = self;
        memory.0.set(memory.0.get() - *bytes);
    }
}
