//! Events in the order of virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

#[derive(Debug)]
struct Entry<E> {
    at: Duration,
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// The heap returns its largest element first, so the earlier entry is the larger one.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A queue of events; events at the same time keep the order in which they were added.
#[derive(Debug)]
pub struct EventQueue<E> {
    now: Duration,
    order: u64,
    heap: BinaryHeap<Entry<E>>,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            now: Duration::ZERO,
            order: 0,
            heap: BinaryHeap::new(),
        }
    }
}

impl<E> EventQueue<E> {
    /// Returns the virtual time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Adds an event that happens `after` from now.
    pub fn push(&mut self, after: Duration, event: E) {
        self.push_at(self.now + after, event);
    }

    /// Adds an event that happens at a given time, or now if that has passed.
    pub fn push_at(&mut self, at: Duration, event: E) {
        self.order += 1;
        self.heap.push(Entry {
            at: at.max(self.now),
            order: self.order,
            event,
        });
    }

    /// Moves to the next event.
    pub fn pop(&mut self) -> Option<E> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
