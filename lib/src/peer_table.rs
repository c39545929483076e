//! The latest load reports of the other homes of a service.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::peer_load::PeerLoad;
use crate::vm_id::VmId;

/// A home that has not reported for this long is dropped: it misses its heartbeats.
const MAX_AGE: Duration = Duration::from_secs(3);

/// The latest load reports of the other homes of a service, used to choose where to spill.
#[derive(Clone, Debug)]
pub struct PeerTable {
    max_age: Duration,
    peers: BTreeMap<VmId, Report>,
}

#[derive(Clone, Debug)]
struct Report {
    received: Instant,
    free: u32,
    queued: u32,
    polled: Option<Instant>,
}

impl PeerTable {
    /// Creates an empty table that uses reports up to the age of `max_age`.
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            peers: BTreeMap::new(),
        }
    }

    /// Records a home's report in place of its previous one.
    pub fn observe(&mut self, now: Instant, load: PeerLoad) {
        // A home with queued requests has no slot to spare, even if one is free at this moment.
        let free = if load.queued == 0 { load.free } else { 0 };
        let report = Report {
            received: now,
            free,
            queued: load.queued,
            polled: None,
        };
        self.peers.insert(load.vm, report);
    }

    /// Returns the home with the most free slots and counts one of them as taken, so that a report
    /// attracts no more requests than it has free slots.
    pub fn take_free(&mut self, now: Instant) -> Option<VmId> {
        let max_age = self.max_age;
        let fresh = self.peers.iter_mut().filter(|(_, report)| {
            report.free > 0 && now.saturating_duration_since(report.received) < max_age
        });
        let (vm, report) = fresh.max_by_key(|(_, report)| report.free)?;
        report.free -= 1;
        Some(vm.clone())
    }

    /// Returns the home with the shortest queue, if that has at most `max_queued` requests, and
    /// counts one more request in it.
    pub fn take_shortest_queue(&mut self, now: Instant, max_queued: u32) -> Option<VmId> {
        let max_age = self.max_age;
        let fresh = self.peers.iter_mut().filter(|(_, report)| {
            report.queued <= max_queued && now.saturating_duration_since(report.received) < max_age
        });
        let (vm, report) = fresh.min_by_key(|(_, report)| report.queued)?;
        report.queued += 1;
        Some(vm.clone())
    }

    /// Returns a home whose report is outdated, to which one request may be spilled because the
    /// response brings a new report. Otherwise a home would learn of free slots elsewhere only from
    /// heartbeats, once a second.
    pub fn take_outdated(&mut self, now: Instant) -> Option<VmId> {
        let max_age = self.max_age;
        let outdated = |at: Instant| now.saturating_duration_since(at) >= max_age;
        let peers = self
            .peers
            .iter_mut()
            .filter(|(_, report)| outdated(report.received) && report.polled.is_none_or(outdated));
        let (vm, report) = peers.max_by_key(|(_, report)| report.free)?;
        report.polled = Some(now);
        Some(vm.clone())
    }

    /// Removes homes that have not reported for `MAX_AGE`.
    pub fn remove_old(&mut self, now: Instant) {
        self.peers
            .retain(|_, report| now.saturating_duration_since(report.received) < MAX_AGE);
    }
}
