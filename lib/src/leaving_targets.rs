//! Which targets get no new work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::service_id::ServiceId;
use crate::target::Target;
use crate::target_id::TargetId;

/// How long the platform's list has to show a target as live again before its earlier entry is
/// taken back. An older copy of the list must not undo a true one.
pub const LIST_SETTLE_TIME: Duration = Duration::from_secs(30);

/// How long the list alone can keep a target from getting work while the target itself answers
/// without a drain signal. The platform gives a leaving VM less time than this.
pub const LIST_ONLY_TIMEOUT: Duration = Duration::from_secs(600);

/// A target of one generation that leaves, as heartbeats carry it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingTarget {
    /// The service.
    pub service: ServiceId,
    /// The target.
    pub target: TargetId,
    /// The generation that leaves; a newer one gets work.
    pub generation: u64,
}

/// An entry of the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedAddr {
    /// The machine's address.
    pub addr: SocketAddr,
    /// Whether the list shows it as leaving, otherwise as live.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct ListEvidence {
    /// When the list first showed the target as leaving.
    since: Instant,
    /// Since when the list shows it as live again.
    live_since: Option<Instant>,
    /// Whether the target answered without a drain signal after `live_since` or the patience.
    contradicted: bool,
}

#[derive(Clone, Debug)]
struct Known {
    addr: SocketAddr,
    generation: u64,
    /// The target itself or a peer says that it leaves. Holds until a newer generation is
    /// configured.
    certain: bool,
    /// The confirmed configuration says that it leaves. Holds as long.
    confirmed: bool,
    list: Option<ListEvidence>,
}

/// The union of all signs that a target leaves.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    known: BTreeMap<(ServiceId, TargetId), Known>,
    /// The targets about which there is any sign. Heartbeats and views ask for them several times a
    /// second, and must not look at every target for that.
    signs: BTreeSet<(ServiceId, TargetId)>,
    by_addr: BTreeMap<SocketAddr, Vec<(ServiceId, TargetId)>>,
    /// The addresses that the last list showed as leaving, and when. A VM that starts may read the
    /// list before it has the configuration.
    shown: Option<(Instant, BTreeSet<SocketAddr>)>,
}

impl LeavingTargets {
    /// Takes the confirmed configuration. Signs about older generations are forgotten.
    pub fn configured(&mut self, config: &Config) {
        let mut known = BTreeMap::new();
        let mut by_addr: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (service, spec) in &config.services {
            for (id, target) in &spec.targets {
                let key = (service.clone(), id.clone());
                let mut entry = match self.known.remove(&key) {
                    Some(old) if old.generation >= target.generation => old,
                    old => self.new_entry(target, old.and_then(|old| old.list)),
                };
                entry.addr = target.addr;
                entry.confirmed |= !target.is_serving();
                by_addr.entry(target.addr).or_default().push(key.clone());
                known.insert(key, entry);
            }
        }
        let signs = known.iter().filter(|(_, entry)| entry.has_sign());
        self.signs = signs.map(|(key, _)| key.clone()).collect();
        self.known = known;
        self.by_addr = by_addr;
    }

    /// Builds the entry of a new generation. What the list showed before it was configured is
    /// about the earlier one; only a VM that did not know that one believes it.
    fn new_entry(&self, target: &Target, old: Option<ListEvidence>) -> Known {
        let shown = self
            .shown
            .as_ref()
            .filter(|(_, addrs)| addrs.contains(&target.addr));
        let first = shown.and_then(|(at, _)| next_evidence(None, true, *at));
        let overruled = old.map(|evidence| ListEvidence {
            contradicted: true,
            ..evidence
        });
        Known {
            addr: target.addr,
            generation: target.generation,
            certain: false,
            confirmed: false,
            list: overruled.or(first),
        }
    }

    /// Takes a drain signal of the target or of a peer and returns whether it is news. Signals
    /// about an older generation than the configured one are late and have no effect.
    pub fn drain_signalled(&mut self, sign: &LeavingTarget) -> bool {
        let key = (sign.service.clone(), sign.target.clone());
        let Some(known) = self.known.get_mut(&key) else {
            return false;
        };
        let news = sign.generation > known.generation || !known.certain;
        if sign.generation < known.generation || !news {
            return false;
        }
        known.generation = sign.generation;
        known.certain = true;
        self.signs.insert(key);
        true
    }

    /// Takes the platform's list. Targets that it does not show keep their state.
    pub fn listed(&mut self, now: Instant, list: &[ListedAddr]) {
        let leaving = list.iter().filter(|entry| entry.leaving);
        self.shown = Some((now, leaving.map(|entry| entry.addr).collect()));
        for entry in list {
            for key in self.by_addr.get(&entry.addr).into_iter().flatten() {
                if let Some(known) = self.known.get_mut(key) {
                    known.list = next_evidence(known.list, entry.leaving, now);
                    if known.has_sign() {
                        self.signs.insert(key.clone());
                    }
                }
            }
        }
    }

    /// Takes note that a target answered a request or a probe without a drain signal.
    pub fn answered(&mut self, now: Instant, service: &ServiceId, target: &TargetId) {
        let key = (service.clone(), target.clone());
        let Some(evidence) = self
            .known
            .get_mut(&key)
            .and_then(|known| known.list.as_mut())
        else {
            return;
        };
        evidence.contradicted |= evidence.may_be_wrong(now);
    }

    /// Returns whether the target gets no new work.
    pub fn is_leaving(&self, service: &ServiceId, target: &TargetId) -> bool {
        let key = (service.clone(), target.clone());
        self.known.get(&key).is_some_and(Known::leaves)
    }

    /// Returns whether a probe should ask the target, because only the list says that it leaves
    /// and the list may be wrong.
    pub fn needs_probe(&self, now: Instant, service: &ServiceId, target: &TargetId) -> bool {
        let key = (service.clone(), target.clone());
        self.known.get(&key).is_some_and(|known| {
            let doubtful = known
                .list
                .is_some_and(|evidence| evidence.may_be_wrong(now));
            known.leaves() && !known.certain && !known.confirmed && doubtful
        })
    }

    /// Returns all targets that leave.
    pub fn targets(&self) -> impl Iterator<Item = LeavingTarget> {
        self.select(Known::leaves)
    }

    /// Returns the targets that leave by their own signal, for heartbeats. What the log says is
    /// left out, because a VM that is behind gets the records from a peer, and what the list says,
    /// because each VM reads it itself and its errors must not live on in gossip.
    pub fn signalled(&self) -> impl Iterator<Item = LeavingTarget> {
        self.select(|known| known.certain && !known.confirmed)
    }

    fn select(&self, wanted: impl Fn(&Known) -> bool) -> impl Iterator<Item = LeavingTarget> {
        let signs = self.signs.iter();
        let known = signs.filter_map(|key| Some((key, self.known.get(key)?)));
        let chosen = known.filter(move |(_, known)| wanted(known));
        chosen.map(|((service, target), known)| LeavingTarget {
            service: service.clone(),
            target: target.clone(),
            generation: known.generation,
        })
    }
}

impl Known {
    fn has_sign(&self) -> bool {
        self.certain || self.confirmed || self.list.is_some()
    }

    fn leaves(&self) -> bool {
        self.certain || self.confirmed || self.list.is_some_and(|evidence| !evidence.contradicted)
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
        // The list changed its mind again, which is a new sign.
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
