//! The slots of a simulated target and the queue inside it.

use std::collections::VecDeque;

use carobshore_lib::prelude::AttemptId;

use crate::sim_vm::PoolId;

/// Names an attempt among all pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptRef {
    /// The pool that made the attempt.
    pub pool: PoolId,
    /// Its name in the pool.
    pub id: AttemptId,
}

/// A target that works on the attempts in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub struct SimTarget {
    slots: usize,
    running: Vec<AttemptRef>,
    waiting: VecDeque<AttemptRef>,
}

impl SimTarget {
    /// Builds an idle target.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            ..Self::default()
        }
    }

    /// Adds an attempt to the end of the queue.
    pub fn push(&mut self, attempt: AttemptRef) {
        self.waiting.push_back(attempt);
    }

    /// Takes the next attempt that gets a slot, if there is a free one.
    pub fn start(&mut self) -> Option<AttemptRef> {
        if self.running.len() >= self.slots {
            return None;
        }
        let attempt = self.waiting.pop_front()?;
        self.running.push(attempt);
        Some(attempt)
    }

    /// Frees the slot of an attempt; returns whether it had one.
    pub fn finish(&mut self, attempt: AttemptRef) -> bool {
        let before = self.running.len();
        self.running.retain(|other| *other != attempt);
        self.running.len() < before
    }

    /// Forgets an attempt whose connection was closed.
    pub fn cancel(&mut self, attempt: AttemptRef) {
        self.waiting.retain(|other| *other != attempt);
        self.finish(attempt);
    }

    /// Returns how many attempts hold a slot and how many wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }
}
