//! The data thread's state of one service.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use std::time::SystemTime;

use carobshore_lib::config::Config;
use carobshore_lib::homes::Homes;
use carobshore_lib::homes::HomesSettings;
use carobshore_lib::key_history::KeyHistory;
use carobshore_lib::key_history::Ownership;
use carobshore_lib::key_table::KeyDecision;
use carobshore_lib::key_table::KeyLimits;
use carobshore_lib::key_table::KeyTable;
use carobshore_lib::key_table::KeyedCall;
use carobshore_lib::key_table::StoredOutcome;
use carobshore_lib::peer_load::PeerLoad;
use carobshore_lib::policy::Policy;
use carobshore_lib::pool_event::PoolEvent;
use carobshore_lib::pool_settings::PoolSettings;
use carobshore_lib::pool_targets::PoolTargets;
use carobshore_lib::prelude::ByteSize;
use carobshore_lib::prelude::RequestKey;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::Version;
use carobshore_lib::prelude::VmId;
use carobshore_lib::read_lease::ReadLease;
use carobshore_lib::router::Call;
use carobshore_lib::router::Router;
use carobshore_lib::router::RouterSettings;
use carobshore_lib::router::RoutingDecision;
use carobshore_lib::service::Service;
use carobshore_lib::slot_pool::SlotPool;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::pool_runner::PoolRunner;
use crate::pool_runner::ProbeRequest;
use crate::view::View;

/// Share of a target's connection limit that one home uses, in eighths. A quarter of the limit is
/// reserved for VMs in fallback mode, and two homes may own a target while their views differ.
const HOME_EIGHTHS: u32 = 3;
/// All VMs in fallback mode together use the connection limit of a target divided by this.
const FALLBACK_DIVISOR: u32 = 4;

/// Largest number of keys of all services together, and the share that each service gets at least.
const TOTAL_KEYS: usize = 200_000;
const MIN_SERVICE_KEYS: usize = 1_000;
/// Bytes of stored responses of all services together, and the share that each service gets at
/// least.
const TOTAL_ANSWER_BYTES: usize = 32 << 20;
const MIN_SERVICE_ANSWER_BYTES: usize = 64 << 10;

/// The two pools in which a request can wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PoolKind {
    /// The targets that this VM owns as a home.
    Owned,
    /// All targets, without ownership of their slots.
    Shared,
}

/// The routing and key state of one service.
pub(crate) struct ServiceState {
    pub(crate) id: ServiceId,
    me: VmId,
    policy: Policy,
    /// Shared with the view, since copies of the services would double the memory of the
    /// configuration.
    config: RefCell<Arc<Config>>,
    version: Cell<Option<Version>>,
    leaving: RefCell<BTreeSet<TargetId>>,
    vms: Cell<u32>,
    home: Cell<bool>,
    /// Whether a call has used the shared pool in fallback mode.
    fallback: Cell<bool>,
    owned: Rc<PoolRunner>,
    shared: Rc<PoolRunner>,
    router: RefCell<Router>,
    key_router: RefCell<Router>,
    keys: RefCell<KeyTable>,
    history: RefCell<Option<Arc<KeyHistory>>>,
    lease: Cell<ReadLease>,
    waiters: RefCell<HashMap<RequestKey, Vec<oneshot::Sender<KeyDecision>>>>,
}

/// The receivers of the probe requests of both pools.
pub(crate) type Probes = [(Rc<PoolRunner>, mpsc::UnboundedReceiver<ProbeRequest>); 2];

impl ServiceState {
    /// Builds the state of a service that is new in the configuration.
    pub(crate) fn new(
        id: &ServiceId,
        view: &View,
        policy: Policy,
        seed: u64,
    ) -> (Rc<Self>, Probes) {
        let settings = |policy| PoolSettings {
            policy,
            seed,
            ..PoolSettings::default()
        };
        let now = Instant::now();
        let fallback = match policy {
            Policy::Homes => Policy::TwoChoices,
            policy => policy,
        };
        let owned = SlotPool::new(id.clone(), settings(Policy::Homes), now);
        let shared = SlotPool::new(id.clone(), settings(fallback), now);
        let (owned, owned_probes) = PoolRunner::new(PoolKind::Owned, owned);
        let (shared, shared_probes) = PoolRunner::new(PoolKind::Shared, shared);
        let router = |policy| {
            let settings = RouterSettings {
                policy,
                ..RouterSettings::default()
            };
            RefCell::new(Router::new(view.me.clone(), view.domain.clone(), settings))
        };
        let wall = SystemTime::now();
        let state = Self {
            id: id.clone(),
            me: view.me.clone(),
            policy,
            config: RefCell::default(),
            version: Cell::new(None),
            leaving: RefCell::default(),
            vms: Cell::new(1),
            home: Cell::new(false),
            fallback: Cell::new(false),
            owned: Rc::clone(&owned),
            shared: Rc::clone(&shared),
            router: router(policy),
            key_router: router(Policy::Homes),
            keys: RefCell::new(KeyTable::new(now, wall, key_limits(view))),
            history: RefCell::default(),
            lease: Cell::default(),
            waiters: RefCell::default(),
        };
        let probes = [(owned, owned_probes), (shared, shared_probes)];
        (Rc::new(state), probes)
    }

    /// Returns whether the configuration or the leaving targets differ from those in use.
    pub(crate) fn needs_update(&self, spec: &Service, leaving: &BTreeSet<TargetId>) -> bool {
        self.version.get() != Some(spec.version) || *self.leaving.borrow() != *leaving
    }

    /// Applies a new configuration, roster or set of leaving targets.
    pub(crate) fn update(
        &self,
        spec: &Service,
        view: &View,
        leaving: BTreeSet<TargetId>,
        homes: u32,
    ) {
        *self.config.borrow_mut() = Arc::clone(&view.config);
        self.version.set(Some(spec.version));
        *self.leaving.borrow_mut() = leaving;
        let vms = u32::try_from(view.roster.members.len()).unwrap_or(u32::MAX);
        self.vms.set(vms.max(1));
        let settings = HomesSettings { per_domain: homes };
        let homes = Homes::assign(&self.id, spec, &view.roster, &settings);
        self.home.set(homes.contains(&self.me));
        let owned = PoolTargets::owned(spec, &homes, &self.me);
        self.owned.set_targets(&self.mark_leaving(owned));
        if self.policy != Policy::Homes || self.fallback.get() {
            self.set_shared_targets(spec);
        }
        self.router.borrow_mut().set_homes(homes);
        // Key ownership must not depend on settings: two VMs whose settings differ would both own a
        // key.
        let settings = HomesSettings::default();
        let homes = Homes::assign(&self.id, spec, &view.roster, &settings);
        self.key_router.borrow_mut().set_homes(homes);
    }

    /// Gives the shared pool its targets at the first call in fallback mode. At the expected scale,
    /// the targets of services that never need it would take most of the VM's memory.
    fn start_fallback(&self) {
        if self.fallback.replace(true) {
            return;
        }
        let config = Arc::clone(&self.config.borrow());
        if let Some(spec) = config.service(&self.id) {
            self.set_shared_targets(spec);
        }
    }

    fn set_shared_targets(&self, spec: &Service) {
        let vms = self.vms.get();
        let sharers = if self.policy == Policy::Homes { 0 } else { vms };
        let shared = PoolTargets::shared(spec, vms, sharers);
        self.shared.set_targets(&self.mark_leaving(shared));
    }

    /// Applies the key ownership and the read lease of a view. Both have to be of the same view: a
    /// lease proves only what the records before its read say.
    pub(crate) fn update_keys(&self, view: &View) {
        *self.config.borrow_mut() = Arc::clone(&view.config);
        *self.history.borrow_mut() = view.keys.get(&self.id).cloned();
        self.lease.set(view.lease);
        let Some(until) = view.lease.until() else {
            return;
        };
        // The lease permits probes. Only homes send them, or all VMs if the policy has no homes.
        if self.policy != Policy::Homes {
            self.shared.handle(PoolEvent::Lease { until });
        } else if self.home.get() {
            self.owned.handle(PoolEvent::Lease { until });
        }
    }

    /// Returns whether this VM is a home of the service.
    pub(crate) fn is_home(&self) -> bool {
        self.home.get()
    }

    /// Returns the pool for a call that is not forwarded. It is the shared pool if this VM owns no
    /// targets: the owner of a key need not own any.
    pub(crate) fn local_pool(&self) -> PoolKind {
        if self.router.borrow().homes().owns_targets(&self.me) {
            return PoolKind::Owned;
        }
        self.start_fallback();
        PoolKind::Shared
    }

    /// Decides where a call goes.
    pub(crate) fn route(&self, call: &Call) -> RoutingDecision {
        let router = match call.key {
            Some(_) => &self.key_router,
            None => &self.router,
        };
        let route = router.borrow_mut().route(Instant::now(), call);
        if route == RoutingDecision::Fallback {
            self.start_fallback();
        }
        route
    }

    /// Passes the load of another home to the routers and the pool of owned targets.
    pub(crate) fn observe_load(&self, load: PeerLoad) {
        let now = Instant::now();
        self.router.borrow_mut().observe(now, &load);
        self.key_router.borrow_mut().observe(now, &load);
        self.owned.handle(PoolEvent::Peer(load));
    }

    /// Records that a VM cannot be reached.
    pub(crate) fn unreachable(&self, vm: &VmId) {
        let now = Instant::now();
        self.router.borrow_mut().unreachable(now, vm);
        self.key_router.borrow_mut().unreachable(now, vm);
    }

    /// Returns one of the pools.
    pub(crate) fn pool(&self, kind: PoolKind) -> &Rc<PoolRunner> {
        match kind {
            PoolKind::Owned => &self.owned,
            PoolKind::Shared => &self.shared,
        }
    }

    /// Returns the address of a target, and how many connections to it this VM may open.
    pub(crate) fn target(&self, id: &TargetId, kind: PoolKind) -> Option<(SocketAddr, u32)> {
        let config = self.config.borrow();
        let spec = config.service(&self.id)?;
        let addr = spec.targets.get(id)?.addr;
        let limit = match kind {
            PoolKind::Owned => spec.connections * HOME_EIGHTHS / 8,
            PoolKind::Shared => spec.connections / FALLBACK_DIVISOR / self.vms.get(),
        };
        Some((addr, limit.max(1)))
    }

    /// Looks up a request with a key in the table, and decides what to do with it.
    pub(crate) fn begin_key(&self, call: KeyedCall) -> KeyDecision {
        let wall = SystemTime::now();
        let now = Instant::now();
        let history = self.history.borrow();
        let ownership = history.as_ref().map_or(Ownership::NotOwner, |history| {
            history.owned_since_creation(&call.key, now, wall)
        });
        let lease = self.lease.get();
        let mut keys = self.keys.borrow_mut();
        keys.begin(now, wall, call, ownership, &lease)
    }

    /// Returns whether a request with a key may be handed to a connection now.
    pub(crate) fn may_send_key(&self) -> bool {
        let wall = SystemTime::now();
        let now = Instant::now();
        let lease = self.lease.get();
        self.keys.borrow_mut().may_send(now, wall, &lease)
    }

    /// Returns the channel that reports the end of the running request with the same key.
    pub(crate) fn wait_for_key(&self, key: RequestKey) -> oneshot::Receiver<KeyDecision> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.entry(key).or_default().push(sender);
        receiver
    }

    /// Records that a duplicate no longer waits.
    pub(crate) fn stop_waiting(&self, key: &RequestKey) {
        self.keys.borrow_mut().waiter_gone(key);
    }

    /// Records the end of a request with a key, and notifies the duplicates that wait for it.
    pub(crate) fn finish_key(&self, key: RequestKey, outcome: StoredOutcome) {
        let decision = self.keys.borrow_mut().finish(key, outcome);
        let waiters = self.waiters.borrow_mut().remove(&key);
        for waiter in waiters.into_iter().flatten() {
            let _ = waiter.send(decision.clone());
        }
    }

    /// Removes the outcomes of expired keys.
    pub(crate) fn expire_keys(&self) {
        let mut keys = self.keys.borrow_mut();
        if !keys.is_empty() {
            let wall = SystemTime::now();
            keys.tick(Instant::now(), wall);
        }
    }

    /// Returns the state for the dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let keys = self.keys.borrow();
        let homes: Vec<_> = self.router.borrow().homes().vms().cloned().collect();
        serde_json::json!({
            "version": self.version.get(),
            "homes": homes,
            "owned": self.owned.dump(),
            "shared": self.shared.dump(),
            "keys": keys.len(),
            "keys_running": keys.running(),
            "key_answer_bytes": keys.response_bytes(),
            "clock_steps": keys.clock_steps(),
        })
    }

    fn mark_leaving(&self, mut targets: PoolTargets) -> PoolTargets {
        let leaving = self.leaving.borrow();
        for target in &mut targets.targets {
            target.leaving |= leaving.contains(&target.id);
        }
        targets
    }
}

/// Returns the share of one service in the limits for keys.
fn key_limits(view: &View) -> KeyLimits {
    let services = view.config.services.len().max(1);
    let share = |total: usize, least: usize| (total / services).max(least);
    KeyLimits {
        keys: share(TOTAL_KEYS, MIN_SERVICE_KEYS),
        responses: ByteSize(share(TOTAL_ANSWER_BYTES, MIN_SERVICE_ANSWER_BYTES) as u64),
    }
}
