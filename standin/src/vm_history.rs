//! The VM list and its past states.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::vm_entry::VmEntry;

/// Maximum number of retained states.
const MAX_STATES: usize = 10_000;

type Vms = BTreeMap<Box<str>, VmEntry>;

/// The states of the list, each with the time from which it applied.
#[derive(Debug)]
pub struct VmHistory {
    states: Vec<(Instant, Vms)>,
}

impl VmHistory {
    /// Builds a history whose oldest state has the given entries.
    pub fn new(now: Instant, entries: Vec<VmEntry>) -> Self {
        let vms = entries.into_iter().map(|entry| (entry.name.clone(), entry));
        Self {
            states: vec![(now, vms.collect())],
        }
    }

    /// Adds or replaces an entry.
    pub fn set(&mut self, now: Instant, entry: VmEntry) {
        self.change(now, |vms| {
            vms.insert(entry.name.clone(), entry);
        });
    }

    /// Removes an entry.
    pub fn remove(&mut self, now: Instant, name: &str) {
        self.change(now, |vms| {
            vms.remove(name);
        });
    }

    /// Returns the list as it was `lag` ago, or the oldest retained one.
    pub fn list(&self, now: Instant, lag: Duration) -> Vec<VmEntry> {
        let reached = |at: Instant| now.saturating_duration_since(at) >= lag;
        let state = self.states.iter().rev().find(|(at, _)| reached(*at));
        let (_, vms) = state.unwrap_or(&self.states[0]);
        vms.values().cloned().collect()
    }

    fn change(&mut self, now: Instant, edit: impl FnOnce(&mut Vms)) {
        let mut vms = self.states[self.states.len() - 1].1.clone();
        edit(&mut vms);
        self.states.push((now, vms));
        if self.states.len() > MAX_STATES {
            self.states.remove(0);
        }
    }
}
