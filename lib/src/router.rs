//! Decides where an entry VM sends a call of one service.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::domain_id::DomainId;
use crate::homes::Homes;
use crate::peer_load::PeerLoad;
use crate::policy::Policy;
use crate::request_key::RequestKey;
use crate::result_code::ResultCode;
use crate::vm_id::VmId;

/// First pause after a home could not be reached; it doubles up to `MAX_PAUSE`.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause between two attempts to reach a home.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The routing policy.
    pub policy: Policy,
    /// Queue length at which a home counts as full.
    pub full_queue: u32,
    /// Maximum age at which a home's load report is used.
    pub report_age: Duration,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            policy: Policy::Homes,
            full_queue: 1024,
            report_age: Duration::from_millis(100),
        }
    }
}

/// The properties of a call that decide where it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The key of a non-idempotent request.
    pub key: Option<RequestKey>,
    /// Whether an entry VM or home has forwarded the call to this VM.
    pub forwarded: bool,
}

/// The router's decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// This VM is the home: submit to its slot pool.
    Local,
    /// Forward to the home.
    Forward {
        /// The home.
        vm: VmId,
    },
    /// No home can be used: submit to this VM's pool over all targets of the service.
    Fallback,
    /// Answer "not run" with the code.
    Refuse {
        /// The reason, for the response.
        code: ResultCode,
    },
}

/// The routing state of one service on one entry VM.
#[derive(Clone, Debug)]
pub struct Router {
    me: VmId,
    domain: DomainId,
    settings: RouterSettings,
    homes: Homes,
    peers: BTreeMap<VmId, Peer>,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Peer {
    free: u32,
    queued: u32,
    #[serde(skip)]
    reported: Option<Instant>,
    #[serde(skip)]
    down_until: Option<Instant>,
    #[serde(skip)]
    pause: Duration,
}

impl Peer {
    fn fresh(&self, now: Instant, limit: Duration) -> bool {
        self.reported
            .is_some_and(|reported| now.saturating_duration_since(reported) < limit)
    }

    fn is_up(&self, now: Instant) -> bool {
        self.down_until.is_none_or(|until| now >= until)
    }
}

impl Router {
    /// Creates a router without homes. `me` is this VM and `domain` its failure domain.
    pub fn new(me: VmId, domain: DomainId, settings: RouterSettings) -> Self {
        Self {
            me,
            domain,
            settings,
            homes: Homes::default(),
            peers: BTreeMap::new(),
        }
    }

    /// Replaces the set of homes. The state of homes that remain is kept.
    pub fn set_homes(&mut self, homes: Homes) {
        self.peers.retain(|vm, _| homes.contains(vm));
        self.homes = homes;
    }

    /// Returns the homes in use.
    pub fn homes(&self) -> &Homes {
        &self.homes
    }

    /// Decides where a call goes.
    pub fn route(&mut self, now: Instant, call: &Call) -> RoutingDecision {
        if let Some(key) = &call.key {
            return self.route_key(now, key, call.forwarded);
        }
        if self.settings.policy != Policy::Homes {
            return RoutingDecision::Fallback;
        }
        if call.forwarded {
            // The sender may have a newer or older set of homes. A call is forwarded once only.
            return match self.homes.owns_targets(&self.me) {
                true => RoutingDecision::Local,
                false => RoutingDecision::Fallback,
            };
        }
        let Some(vm) = self.choose(now) else {
            return RoutingDecision::Fallback;
        };
        self.restart_pause(now, &vm);
        self.forward(vm)
    }

    fn route_key(&mut self, now: Instant, key: &RequestKey, forwarded: bool) -> RoutingDecision {
        if forwarded {
            // The key table checks whether this VM owns the key.
            return RoutingDecision::Local;
        }
        let Some(vm) = self.homes.key_owner(key).cloned() else {
            return RoutingDecision::Refuse {
                code: ResultCode::NoTarget,
            };
        };
        if vm != self.me && !self.is_up(now, &vm) {
            return RoutingDecision::Refuse {
                code: ResultCode::HomeUnreachable,
            };
        }
        self.restart_pause(now, &vm);
        self.forward(vm)
    }

    fn forward(&self, vm: VmId) -> RoutingDecision {
        if vm == self.me {
            RoutingDecision::Local
        } else {
            RoutingDecision::Forward { vm }
        }
    }

    fn is_up(&self, now: Instant, vm: &VmId) -> bool {
        self.peers.get(vm).is_none_or(|peer| peer.is_up(now))
    }

    fn is_full(&self, now: Instant, vm: &VmId) -> bool {
        self.peers.get(vm).is_some_and(|peer| {
            peer.fresh(now, self.settings.report_age) && peer.queued >= self.settings.full_queue
        })
    }

    /// Chooses this VM if it is a home, else a home in its own failure domain, else the other home
    /// with the most free slots. Homes that own no targets or are down are skipped; a full one is
    /// the last resort, because its report may be outdated.
    fn choose(&self, now: Instant) -> Option<VmId> {
        if self.homes.owns_targets(&self.me) && !self.is_full(now, &self.me) {
            return Some(self.me.clone());
        }
        let local = self.homes.homes_in(&self.domain);
        let local = local.filter(|vm| self.usable(now, vm));
        if let Some(vm) = local.max_by_key(|vm| self.rank(vm)) {
            return Some(vm.clone());
        }
        let remote = self.homes.vms().filter(|vm| self.usable(now, vm));
        if let Some(vm) = remote.max_by_key(|vm| (self.reported_free(now, vm), self.rank(vm))) {
            return Some(vm.clone());
        }
        let serving = |vm: &&VmId| self.is_up(now, vm) && self.homes.owns_targets(vm);
        let up = self.homes.vms().filter(serving);
        up.max_by_key(|vm| self.rank(vm)).cloned()
    }

    fn usable(&self, now: Instant, vm: &VmId) -> bool {
        self.is_up(now, vm) && !self.is_full(now, vm) && self.homes.owns_targets(vm)
    }

    /// Ranks homes that are otherwise equal, by rendezvous hashing, so that the entry VMs spread
    /// over them.
    fn rank(&self, vm: &VmId) -> u64 {
        let seed = xxh3_64_with_seed(self.me.as_str().as_bytes(), 0);
        xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
    }

    fn reported_free(&self, now: Instant, vm: &VmId) -> u32 {
        let peer = self.peers.get(vm);
        let fresh = peer.filter(|peer| peer.fresh(now, self.settings.report_age));
        fresh.map_or(0, |peer| peer.free)
    }

    /// Lets one call try a home again after its pause, by restarting the pause: until a load report
    /// arrives, the other calls go elsewhere.
    fn restart_pause(&mut self, now: Instant, vm: &VmId) {
        if let Some(peer) = self.peers.get_mut(vm)
            && peer.down_until.is_some()
        {
            peer.down_until = Some(now + peer.pause);
        }
    }

    /// Records a load report, which also shows that the home can be reached.
    pub fn observe(&mut self, now: Instant, load: &PeerLoad) {
        if !self.homes.contains(&load.vm) {
            return;
        }
        let peer = self.peers.entry(load.vm.clone()).or_default();
        *peer = Peer {
            free: load.free,
            queued: load.queued,
            reported: Some(now),
            down_until: None,
            pause: Duration::ZERO,
        };
    }

    /// Records that the home refused a connection, did not answer in time or missed heartbeats.
    pub fn unreachable(&mut self, now: Instant, vm: &VmId) {
        if !self.homes.contains(vm) || *vm == self.me {
            return;
        }
        let peer = self.peers.entry(vm.clone()).or_default();
        if !peer.is_up(now) {
            // Calls that were in flight together fail together and count as one failure.
            return;
        }
        peer.pause = (peer.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        peer.down_until = Some(now + peer.pause);
    }
}
