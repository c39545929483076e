//! Tracks which targets are leaving and get no new work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::drain_signal::DrainSignal;
use crate::service_id::ServiceId;
use crate::target::Target;
use crate::target_id::TargetId;

/// How long the platform's list has to show a target as live again before its earlier entry as
/// leaving may be overruled. A stale copy of the list must not undo a correct entry.
pub const LIST_SETTLE_TIME: Duration = Duration::from_secs(30);

/// How long the list alone can keep work from a target that itself answers without a drain signal.
/// The platform gives a leaving VM less time than this.
pub const LIST_ONLY_TIMEOUT: Duration = Duration::from_secs(600);

/// A leaving target of one generation, as sent in heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingTarget {
    /// The service.
    pub service: ServiceId,
    /// The target.
    pub target: TargetId,
    /// The generation that leaves. A newer generation gets work.
    pub generation: u64,
}

/// An entry of the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedAddr {
    /// The machine's address.
    pub addr: SocketAddr,
    /// Whether the list shows it as leaving. Otherwise it is live.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct ListEvidence {
    /// When the list first showed the target as leaving.
    since: Instant,
    /// Since when the list has shown it as live again.
    live_since: Option<Instant>,
    /// Whether the target answered without a drain signal once the list might be wrong, see
    /// [`Self::may_be_wrong`].
    contradicted: bool,
}

#[derive(Clone, Debug)]
struct TargetStatus {
    addr: SocketAddr,
    /// What the target itself or a peer reported.
    drain: DrainSignal,
    /// Whether the confirmed configuration says that it leaves. Stays set until a newer generation
    /// is configured.
    confirmed: bool,
    list: Option<ListEvidence>,
}

/// Combines all evidence that targets are leaving.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    statuses: BTreeMap<(ServiceId, TargetId), TargetStatus>,
    /// The targets with any evidence. Heartbeats and views query them several times a second and
    /// must not scan all targets.
    with_evidence: BTreeSet<(ServiceId, TargetId)>,
    by_addr: BTreeMap<SocketAddr, Vec<(ServiceId, TargetId)>>,
    /// The addresses that the last list showed as leaving, and when it was read. A VM that starts
    /// may read the list before it has the configuration.
    last_list: Option<(Instant, BTreeSet<SocketAddr>)>,
}

impl LeavingTargets {
    /// Applies the confirmed configuration. Evidence about older generations is dropped.
    pub fn config_changed(&mut self, config: &Config) {
        let mut statuses = BTreeMap::new();
        let mut by_addr: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (service, spec) in &config.services {
            for (id, target) in &spec.targets {
                let key = (service.clone(), id.clone());
                let mut status = match self.statuses.remove(&key) {
                    Some(old) if old.drain.generation() >= target.generation => old,
                    old => self.new_status(target, old.and_then(|old| old.list)),
                };
                status.addr = target.addr;
                status.confirmed |= !target.is_serving();
                by_addr.entry(target.addr).or_default().push(key.clone());
                statuses.insert(key, status);
            }
        }
        let with_evidence = statuses.iter().filter(|(_, status)| status.has_evidence());
        self.with_evidence = with_evidence.map(|(key, _)| key.clone()).collect();
        self.statuses = statuses;
        self.by_addr = by_addr;
    }

    /// Creates the status of a new generation. What the list showed before this generation was
    /// configured is about the previous one. Only a VM that did not know the previous generation
    /// relies on it.
    fn new_status(&self, target: &Target, old: Option<ListEvidence>) -> TargetStatus {
        let last_list = self
            .last_list
            .as_ref()
            .filter(|(_, addrs)| addrs.contains(&target.addr));
        let first = last_list.and_then(|(at, _)| next_evidence(None, true, *at));
        let overruled = old.map(|evidence| ListEvidence {
            contradicted: true,
            ..evidence
        });
        TargetStatus {
            addr: target.addr,
            drain: DrainSignal::new(target.generation),
            confirmed: false,
            list: overruled.or(first),
        }
    }

    /// Applies a drain signal of the target or of a peer and returns whether it is new information.
    /// Late signals about an older generation than the configured one have no effect.
    pub fn drain_signalled(&mut self, signal: &LeavingTarget) -> bool {
        let key = (signal.service.clone(), signal.target.clone());
        let Some(status) = self.statuses.get_mut(&key) else {
            return false;
        };
        let is_new = status.drain.receive(signal.generation);
        if is_new {
            self.with_evidence.insert(key);
        }
        is_new
    }

    /// Applies the platform's list. Targets that are not on it keep their state.
    pub fn list_read(&mut self, now: Instant, list: &[ListedAddr]) {
        let leaving = list.iter().filter(|entry| entry.leaving);
        self.last_list = Some((now, leaving.map(|entry| entry.addr).collect()));
        for entry in list {
            for key in self.by_addr.get(&entry.addr).into_iter().flatten() {
                if let Some(status) = self.statuses.get_mut(key) {
                    status.list = next_evidence(status.list, entry.leaving, now);
                    if status.has_evidence() {
                        self.with_evidence.insert(key.clone());
                    }
                }
            }
        }
    }

    /// Records that a target answered a request or a probe without a drain signal.
    pub fn answered(&mut self, now: Instant, service: &ServiceId, target: &TargetId) {
        let key = (service.clone(), target.clone());
        let Some(evidence) = self
            .statuses
            .get_mut(&key)
            .and_then(|status| status.list.as_mut())
        else {
            return;
        };
        evidence.contradicted |= evidence.may_be_wrong(now);
    }

    /// Returns whether the target is leaving and gets no new work.
    pub fn is_leaving(&self, service: &ServiceId, target: &TargetId) -> bool {
        let key = (service.clone(), target.clone());
        self.statuses.get(&key).is_some_and(TargetStatus::leaves)
    }

    /// Returns whether the target should be probed, because only the list says that it leaves and
    /// the list may be wrong.
    pub fn needs_probe(&self, now: Instant, service: &ServiceId, target: &TargetId) -> bool {
        let key = (service.clone(), target.clone());
        self.statuses.get(&key).is_some_and(|status| {
            let doubtful = status
                .list
                .is_some_and(|evidence| evidence.may_be_wrong(now));
            status.leaves() && !status.drain.is_received() && !status.confirmed && doubtful
        })
    }

    /// Returns all leaving targets.
    pub fn targets(&self) -> impl Iterator<Item = LeavingTarget> {
        self.select(TargetStatus::leaves)
    }

    /// Returns the targets that leave by their own signal, for heartbeats. Evidence from the log is
    /// left out, because a VM that lags behind gets the records from a peer. Evidence from the list
    /// is left out, because each VM reads the list itself, and its errors must not persist in
    /// heartbeats between VMs.
    pub fn signalled(&self) -> impl Iterator<Item = LeavingTarget> {
        self.select(|status| status.drain.is_received() && !status.confirmed)
    }

    fn select(
        &self,
        wanted: impl Fn(&TargetStatus) -> bool,
    ) -> impl Iterator<Item = LeavingTarget> {
        let keys = self.with_evidence.iter();
        let known = keys.filter_map(|key| Some((key, self.statuses.get(key)?)));
        let selected = known.filter(move |(_, status)| wanted(status));
        selected.map(|((service, target), status)| LeavingTarget {
            service: service.clone(),
            target: target.clone(),
            generation: status.drain.generation(),
        })
    }
}

impl TargetStatus {
    fn has_evidence(&self) -> bool {
        self.drain.is_received() || self.confirmed || self.list.is_some()
    }

    fn leaves(&self) -> bool {
        let listed = self.list.is_some_and(|evidence| !evidence.contradicted);
        self.drain.is_received() || self.confirmed || listed
    }
}

impl ListEvidence {
    fn may_be_wrong(&self, now: Instant) -> bool {
        let settled = self
            .live_since
            .is_some_and(|since| now >= since + LIST_SETTLE_TIME);
        settled || now >= self.since + LIST_ONLY_TIMEOUT
    }
}

fn next_evidence(old: Option<ListEvidence>, leaving: bool, now: Instant) -> Option<ListEvidence> {
    let Some(mut evidence) = old else {
        return leaving.then_some(ListEvidence {
            since: now,
            live_since: None,
            contradicted: false,
        });
    };
    match (leaving, evidence.live_since) {
        // The list shows the target as leaving once more, which is new evidence.
        (true, Some(_)) if evidence.contradicted => next_evidence(None, true, now),
        (true, _) => {
            evidence.live_since = None;
            Some(evidence)
        }
        (false, None) => {
            evidence.live_since = Some(now);
            Some(evidence)
        }
        (false, Some(_)) => Some(evidence),
    }
}
