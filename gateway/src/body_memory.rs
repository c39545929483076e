//! Accounting of the memory that the bodies of requests and responses use.

use std::cell::Cell;
use std::rc::Rc;

/// Count of the bytes in use. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct BodyMemory(Rc<Cell<u64>>);

/// Reserved memory for one body, released when it is dropped.
#[derive(Debug)]
pub struct ReservedBody {
    memory: BodyMemory,
    bytes: u64,
}

impl BodyMemory {
    /// Reserves memory. Returns nothing if more than `limit` bytes would be in use.
    pub fn reserve(&self, bytes: u64, limit: u64) -> Option<ReservedBody> {
        let used = self.0.get().saturating_add(bytes);
        if used > limit {
            return None;
        }
        self.0.set(used);
        let memory = self.clone();
        Some(ReservedBody { memory, bytes })
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> u64 {
        self.0.get()
    }
}

impl ReservedBody {
    /// Raises the reserved memory to at least `bytes`. Returns false if more than `limit` bytes would be
    /// in use.
    pub fn grow_to(&mut self, bytes: u64, limit: u64) -> bool {
        bytes <= self.bytes || self.resize(bytes, limit)
    }

    /// Changes the reserved memory. Returns false if more than `limit` bytes would be in use.
    pub fn resize(&mut self, bytes: u64, limit: u64) -> bool {
        let others = self.memory.0.get() - self.bytes;
        let used = others.saturating_add(bytes);
        if used > limit {
            return false;
        }
        self.memory.0.set(used);
        self.bytes = bytes;
        true
    }
}

impl Drop for ReservedBody {
    fn drop(&mut self) {
        let Self { memory, bytes } = self;
        memory.0.set(memory.0.get() - *bytes);
    }
}
