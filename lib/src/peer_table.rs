//! What other homes reported of their free slots.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::peer_load::PeerLoad;
use crate::vm_id::VmId;

/// The reports of the other homes of a service.
#[derive(Clone, Debug)]
pub struct PeerTable {
    age: Duration,
    peers: BTreeMap<VmId, Report>,
}

#[derive(Clone, Debug)]
struct Report {
    seen: Instant,
    free: u32,
}

impl PeerTable {
    /// Makes a table that uses reports up to the given age.
    pub fn new(age: Duration) -> Self {
        Self {
            age,
            peers: BTreeMap::new(),
        }
    }

    /// Takes in a report.
    pub fn observe(&mut self, now: Instant, load: PeerLoad) {
        // A home with a queue has no slot to spare, even when one is free at this instant.
        let free = if load.queued == 0 { load.free } else { 0 };
        self.peers.insert(load.vm, Report { seen: now, free });
    }

    /// Returns the home with the most free slots, and counts one of them as taken, so that one
    /// report does not draw more requests than it has free slots.
    pub fn take(&mut self, now: Instant) -> Option<VmId> {
        let age = self.age;
        let fresh = self.peers.iter_mut().filter(|(_, report)| {
            report.free > 0 && now.saturating_duration_since(report.seen) < age
        });
        let (vm, report) = fresh.max_by_key(|(_, report)| report.free)?;
        report.free -= 1;
        Some(vm.clone())
    }

    /// Forgets reports that are too old to be used.
    pub fn forget_old(&mut self, now: Instant) {
        let age = self.age;
        self.peers
            .retain(|_, report| now.saturating_duration_since(report.seen) < age);
    }
}
