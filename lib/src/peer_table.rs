//! What other homes reported of their free slots.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::peer_load::PeerLoad;
use crate::vm_id::VmId;

/// A home that has not reported for this long is not asked either: it misses its heartbeats.
const MAX_AGE: Duration = Duration::from_secs(3);

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
    queued: u32,
    asked: Option<Instant>,
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
        let report = Report {
            seen: now,
            free,
            queued: load.queued,
            asked: None,
        };
        self.peers.insert(load.vm, report);
    }

    /// Returns the home with the most free slots, and counts one of them as taken, so that one
    /// report does not draw more requests than it has free slots.
    pub fn take_free(&mut self, now: Instant) -> Option<VmId> {
        let age = self.age;
        let fresh = self.peers.iter_mut().filter(|(_, report)| {
            report.free > 0 && now.saturating_duration_since(report.seen) < age
        });
        let (vm, report) = fresh.max_by_key(|(_, report)| report.free)?;
        report.free -= 1;
        Some(vm.clone())
    }

    /// Returns the home with the shortest queue, if it has at most `most` requests, and counts the
    /// request into it.
    pub fn take_shortest_queue(&mut self, now: Instant, most: u32) -> Option<VmId> {
        let age = self.age;
        let fresh = self.peers.iter_mut().filter(|(_, report)| {
            report.queued <= most && now.saturating_duration_since(report.seen) < age
        });
        let (vm, report) = fresh.min_by_key(|(_, report)| report.queued)?;
        report.queued += 1;
        Some(vm.clone())
    }

    /// Returns a home without a recent report, to which one request may be spilled for the report
    /// that its response brings. Without this a home would learn of free slots elsewhere only from
    /// heartbeats, once a second.
    pub fn take_outdated(&mut self, now: Instant) -> Option<VmId> {
        let age = self.age;
        let old = |at: Instant| now.saturating_duration_since(at) >= age;
        let unknown = self
            .peers
            .iter_mut()
            .filter(|(_, report)| old(report.seen) && report.asked.is_none_or(old));
        let (vm, report) = unknown.max_by_key(|(_, report)| report.free)?;
        report.asked = Some(now);
        Some(vm.clone())
    }

    /// Forgets homes that have not reported for long.
    pub fn forget_old(&mut self, now: Instant) {
        self.peers
            .retain(|_, report| now.saturating_duration_since(report.seen) < MAX_AGE);
    }
}
