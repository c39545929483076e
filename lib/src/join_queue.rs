//! The VMs that have asked another VM to register them.
//!
//! Guards the store against one call of each VM when all VMs start at once. Those that ask within a
//! short time are registered by one call.

use std::time::Duration;
use std::time::Instant;

use crate::vm_roster::VmRecord;
use crate::vm_roster::VmRoster;

/// How long the first VM waits for others.
const BATCH_TIME: Duration = Duration::from_millis(100);
/// The number of VMs that one call registers.
const MAX_BATCH: usize = 1_024;

/// The VMs that wait to be registered.
#[derive(Clone, Debug, Default)]
pub struct JoinQueue {
    waiting: Vec<VmRecord>,
    /// When the first of them asked.
    since: Option<Instant>,
}

impl JoinQueue {
    /// Adds a VM, and replaces its earlier record.
    pub fn add(&mut self, now: Instant, vm: VmRecord) {
        self.waiting.retain(|other| other.name != vm.name);
        self.waiting.push(vm);
        self.since.get_or_insert(now);
    }

    /// Returns when the next call is due; nothing if no VM waits.
    pub fn due(&self) -> Option<Instant> {
        Some(self.since? + BATCH_TIME)
    }

    /// Takes the VMs to register with one call: those that the list lacks.
    pub fn take(&mut self, now: Instant, known: &VmRoster) -> Vec<VmRecord> {
        self.waiting.retain(|vm| !known.has(vm));
        let rest = self.waiting.split_off(self.waiting.len().min(MAX_BATCH));
        self.since = (!rest.is_empty()).then_some(now);
        std::mem::replace(&mut self.waiting, rest)
    }
}
