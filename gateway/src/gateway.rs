//! State shared by all requests of a process.

use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::announced_target::AnnouncedTarget;
use carobshore_lib::check_budget::CheckBudget;
use carobshore_lib::domain_choice::crossing_settings::CrossingSettings;
use carobshore_lib::domain_choice::departure::Departure;
use carobshore_lib::evacuation::evacuations::Evacuations;
use carobshore_lib::graceful_exit::GracefulExit;
use carobshore_lib::limit_lenders::Lender;
use carobshore_lib::limit_lenders::LimitLenders;
use carobshore_lib::limit_news::LimitNews;
use carobshore_lib::limit_queue::LimitQueue;
use carobshore_lib::limit_queue::LimitedSupply;
use carobshore_lib::limit_share::LimitShare;
use carobshore_lib::log_rate_limiter::LogRateLimiter;
use carobshore_lib::malformed_entries::MalformedEntries;
use carobshore_lib::memory_budget::connection_bounds::ConnectionBounds;
use carobshore_lib::preferred_targets;
use carobshore_lib::preferred_targets::RankedTarget;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::RequestRate;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::TargetState;
use carobshore_lib::retry_allowance::RetryAllowance;
use carobshore_lib::retry_allowance::RetryLimits;
use carobshore_lib::route_table::RouteTable;
use carobshore_lib::target_directory::TargetDirectory;
use carobshore_lib::target_selector::TargetSelector;
use carobshore_lib::target_signals::TargetSignals;
use carobshore_lib::vm_roster::VmRecord;
use carobshore_lib::vm_roster::VmRoster;
use carobshore_platform::boot_settings::BootSettings;
use carobshore_platform::era_watch::EraWatch;
use carobshore_platform::store_client::Topic;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::client_settings::ClientSettings;
use crate::clients::Clients;
use crate::crossing::Crossing;
use crate::evacuation;
use crate::feed::Feed;
use crate::in_flight::InFlight;
use crate::limits;
use crate::metrics::Metrics;
use crate::quota_client;
use crate::quotas::Quotas;
use crate::registrar::Registrar;
use crate::request_queue::RequestQueues;
use crate::service_estimates::ServiceEstimates;
use crate::target_connections::TargetConnections;
use crate::warmup;
use crate::warmup::Warmups;

/// Number of VMs that is assumed while the list of VMs is not known.
const ASSUMED_VMS: usize = 64;
/// Log lines about failed requests for each line about successful ones.
const FAILED_LINES_FACTOR: u32 = 4;

/// State shared by all requests of a process. All of it belongs to one thread.
#[derive(Debug)]
pub struct Gateway {
    /// The settings provided by the platform.
    pub boot: RefCell<BootSettings>,
    /// The routing configuration in force.
    pub routes: RefCell<RouteTable>,
    /// Why the newest configuration in the store is not in force; nothing if it is.
    pub(crate) refused_config: RefCell<Option<Box<str>>>,
    /// The targets that are announced in the store.
    pub directory: RefCell<TargetDirectory>,
    /// The entries that name no target.
    pub(crate) malformed: RefCell<MalformedEntries>,
    /// Whether the targets have been read at least once.
    pub targets_known: Cell<bool>,
    /// Ranks targets for a request.
    pub choice: RefCell<TargetSelector>,
    /// The state of the planned stop.
    pub exit: RefCell<GracefulExit>,
    /// Notified when a planned stop begins.
    stop_begun: Notify,
    /// What targets say of themselves in their answers.
    pub(crate) signals: RefCell<TargetSignals>,
    /// The number of requests in flight.
    pub in_flight: InFlight,
    /// When the process started.
    started: Instant,
    /// The exported metrics.
    pub metrics: Metrics,
    roster: RefCell<VmRoster>,
    /// The list of VMs as it stands in the store, and the era in which it was read.
    listed: RefCell<(StoreEra, VmRoster)>,
    /// The era in which this process first read the list of VMs; nothing before.
    first_listed: Cell<Option<StoreEra>>,
    /// Whether VMs that have not started since this one registered do not know it.
    is_new: Cell<bool>,
    /// What is known of the limits of targets, from this VM and others.
    pub(crate) limit_news: RefCell<LimitNews>,
    /// What is known of the warm-up of targets.
    pub(crate) warmup: Warmups,
    /// The evacuated failure domains.
    pub(crate) evacuations: RefCell<Evacuations>,
    limit_queues: RefCell<HashMap<ServiceId, LimitQueue>>,
    limit_lenders: RefCell<LimitLenders>,
    registrar: Registrar,
    /// The era of the store.
    pub(crate) eras: Rc<EraWatch>,
    operators: Feed,
    announcements: Feed,
    checks: RefCell<CheckBudget>,
    connections: RefCell<HashMap<TargetId, Rc<TargetConnections>>>,
    retry_budgets: RefCell<HashMap<ServiceId, RetryAllowance>>,
    /// What has been learned about services and routes.
    pub services: ServiceEstimates,
    /// Which requests leave the failure domain.
    pub crossing: Crossing,
    success_lines: RefCell<LogRateLimiter>,
    failed_lines: RefCell<LogRateLimiter>,
    attempts: Cell<u64>,
    /// The quotas of organisations.
    pub(crate) quotas: Quotas,
    /// The requests that wait for a target.
    pub(crate) queues: RequestQueues,
    /// The connections of callers, and what is held for them.
    pub clients: Clients,
    /// What clients may make the process hold.
    pub client_settings: ClientSettings,
}

/// A target that may receive requests, with its connections.
#[derive(Clone, Debug)]
pub struct UsableTarget {
    /// The connections to the target, and what is known about it.
    pub connections: Rc<TargetConnections>,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is in the failure domain of this VM.
    pub local: bool,
    /// Whether this VM prefers the target, so that it keeps a connection to it.
    pub preferred: bool,
    /// Whether the target's entry is missing from the store.
    pub missing: bool,
    /// Why the request that got this target leaves the failure domain, if that was decided.
    pub departure: Option<Departure>,
}

impl UsableTarget {
    fn placed(&self) -> RankedTarget {
        RankedTarget {
            rank: self.connections.rank,
            local: self.local,
        }
    }
}

impl Gateway {
    /// Creates the state of a process that has neither a configuration nor targets yet.
    pub fn new(
        boot: BootSettings,
        client_settings: ClientSettings,
        log_rate: u32,
        crossing: CrossingSettings,
        seed: u64,
    ) -> eyre::Result<Rc<Self>> {
        let now = Instant::now();
        let metrics = Metrics::new()?;
        let bounds = client_settings.bounds(&boot)?;
        let clients = Clients::new("callers", bounds, metrics.client_closures());
        let eras: Rc<EraWatch> = Rc::default();
        Ok(Rc::new(Self {
            routes: RefCell::new(RouteTable::new(seed)),
            refused_config: RefCell::default(),
            directory: RefCell::default(),
            malformed: RefCell::default(),
            targets_known: Cell::new(false),
            choice: RefCell::new(TargetSelector::new(seed)),
            exit: RefCell::new(GracefulExit::new(boot.grace)),
            stop_begun: Notify::new(),
            signals: RefCell::default(),
            in_flight: InFlight::default(),
            started: now,
            metrics,
            roster: RefCell::default(),
            listed: RefCell::default(),
            first_listed: Cell::default(),
            is_new: Cell::new(true),
            limit_news: RefCell::default(),
            warmup: Warmups::new(now),
            evacuations: RefCell::default(),
            limit_queues: RefCell::default(),
            limit_lenders: RefCell::default(),
            registrar: Registrar::default(),
            operators: Feed::new(Rc::clone(&eras)),
            announcements: Feed::new(Rc::clone(&eras)),
            eras,
            checks: RefCell::new(CheckBudget::new(now, boot.check_rate)),
            connections: RefCell::default(),
            retry_budgets: RefCell::default(),
            services: ServiceEstimates::default(),
            crossing: Crossing::new(crossing, boot.domain.clone(), seed),
            success_lines: RefCell::new(LogRateLimiter::new(now, log_rate)),
            failed_lines: RefCell::new(LogRateLimiter::new(now, log_rate * FAILED_LINES_FACTOR)),
            attempts: Cell::new(0),
            quotas: Quotas::new(&boot),
            queues: RequestQueues::default(),
            clients,
            client_settings,
            boot: RefCell::new(boot),
        }))
    }

    /// Returns whether this VM should get new connections.
    pub fn is_ready(&self) -> bool {
        let loaded = self.routes.borrow().is_loaded() && self.targets_known.get();
        loaded && !self.exit.borrow().is_stopping()
    }

    /// Returns the time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Begins a planned stop. Calls in progress learn of their new deadline.
    pub fn begin_stop(&self) {
        self.exit.borrow_mut().signal(Instant::now());
        self.stop_begun.notify_waiters();
    }

    /// Waits until a deadline, or that of a planned stop if it is earlier, has passed by `extra`.
    pub(crate) async fn deadline_passed(&self, deadline: Instant, extra: Duration) {
        loop {
            let (end, stopping) = {
                let exit = self.exit.borrow();
                (exit.limit(deadline) + extra, exit.is_stopping())
            };
            tokio::select! {
                () = sleep_until(end.into()) => return,
                () = self.stop_begun.notified(), if !stopping => {}
            }
        }
    }

    /// Waits until the last moment at which a response can be sent in a planned stop.
    pub(crate) async fn stop_deadline_passed(&self) {
        if self.exit.borrow().deadline().is_none() {
            self.stop_begun.notified().await;
        }
        let deadline = self.exit.borrow().deadline();
        sleep_until(deadline.unwrap_or_else(Instant::now).into()).await;
    }

    /// Returns the targets of a service that may receive requests.
    pub fn usable_targets(&self, service: &ServiceId) -> Vec<UsableTarget> {
        let directory = self.directory.borrow();
        let boot = self.boot.borrow();
        let now = Instant::now();
        let usual_load = self.services.load_per_slot(now, service);
        let crowding = self.services.crowding(now, service);
        let signals = self.signals.borrow();
        let serving = |target: &&AnnouncedTarget| {
            target.service == *service
                && target.state == TargetState::Serving
                && signals
                    .unavailable(now, &target.id, target.generation())
                    .is_none()
        };
        let targets = directory.iter().filter(serving);
        let mut usable: Vec<UsableTarget> = targets
            .map(|target| UsableTarget {
                connections: self.connections(target),
                slots: target.slots.get(),
                local: target.domain == boot.domain,
                preferred: false,
                missing: directory.is_missing(&target.id),
                departure: None,
            })
            .filter(|usable| !usable.connections.displaced.get())
            .collect();
        evacuation::keep_open(self, now, &mut usable);
        for usable in &usable {
            let mut outlook = usable.connections.outlook.borrow_mut();
            outlook.set_typical_load(usual_load);
            outlook.set_crowding(crowding);
        }
        let placed: Vec<RankedTarget> = usable.iter().map(UsableTarget::placed).collect();
        let preferred = preferred_targets::preferred(&placed, self.vm_count());
        for (usable, preferred) in usable.iter_mut().zip(preferred) {
            usable.preferred = preferred;
        }
        usable
    }

    /// Sets the list of VMs. `is_new` says whether the other VMs may not know this one yet.
    pub fn set_roster(&self, roster: VmRoster, is_new: bool) {
        self.is_new.set(is_new);
        self.replace_roster(roster);
    }

    /// Replaces the list of VMs by a later one.
    pub(crate) fn replace_roster(&self, roster: VmRoster) {
        self.quotas.set_roster(&roster, self.is_new.get());
        *self.roster.borrow_mut() = roster;
        self.registrar.list_changed();
        self.warmup.list_changed();
        for connections in self.connections.borrow().values() {
            limits::divide_again(self, connections);
        }
    }

    /// Returns the list of VMs, which is empty while it is not known.
    pub(crate) fn roster(&self) -> Ref<'_, VmRoster> {
        self.roster.borrow()
    }

    /// Sets the list of VMs as it stands in the store, as of an era.
    pub(crate) fn set_listed(&self, era: StoreEra, listed: VmRoster) {
        self.first_listed.set(self.first_listed.get().or(Some(era)));
        *self.listed.borrow_mut() = (era, listed);
    }

    /// Returns the era in which the list of VMs was last read.
    pub(crate) fn listed_era(&self) -> StoreEra {
        self.listed.borrow().0
    }

    /// Returns the VMs that have registered in the store in its newest era; none if the list has not been
    /// read in that era yet.
    pub(crate) fn listed(&self) -> VmRoster {
        let (era, listed) = &*self.listed.borrow();
        match *era == self.eras.newest() {
            true => listed.registered_in(*era),
            false => VmRoster::default(),
        }
    }

    /// Returns whether the other VMs know a VM. A record of an earlier era than that in which this process
    /// first read the list does not prove that: it is of a copy of the store that may lack some of them.
    pub(crate) fn is_known_to_others(&self, vm: &VmRecord) -> bool {
        let first_listed = self.first_listed.get().unwrap_or_default();
        self.roster().has_since(first_listed, vm)
    }

    /// Returns what the state dump shows of the list of VMs.
    pub(crate) fn dump_list(&self, now: Instant) -> serde_json::Value {
        let age = self.quotas.table.borrow().list_age(now);
        serde_json::json!({
            "vms": self.roster().len(),
            "era": self.listed_era(),
            "new": self.is_new(),
            "age_ms": age.map(|age| age.as_millis() as u64),
        })
    }

    /// Returns what registers other VMs.
    pub(crate) fn registrar(&self) -> &Registrar {
        &self.registrar
    }

    /// Returns whether the settings name this VM as one that others ask first.
    pub fn is_seed(&self) -> bool {
        let boot = self.boot.borrow();
        boot.control.is_some_and(|addr| boot.seeds.contains(&addr))
    }

    /// Returns whether the other VMs may not know this one yet.
    pub(crate) fn is_new(&self) -> bool {
        self.is_new.get()
    }

    /// Returns this VM's part of a limit that a target names.
    pub fn limit_share(&self, target: &TargetId, rate: RequestRate) -> LimitShare {
        let roster = self.roster.borrow();
        let boot = self.boot.borrow();
        LimitShare::new(&roster, &boot.vm_name, self.is_new.get(), target, rate)
    }

    /// Applies an action to the requests that wait because all targets of the service are limited.
    pub fn with_limit_queue<R>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut LimitQueue) -> R,
    ) -> R {
        let mut queues = self.limit_queues.borrow_mut();
        act(queues.entry(service.clone()).or_default())
    }

    /// Returns which VMs to ask for a request to one of the limited targets, each with the number of
    /// VMs that share its rate.
    pub fn limit_lenders(&self, targets: &[(TargetId, usize)]) -> Vec<Lender> {
        let (roster, boot) = (self.roster.borrow(), self.boot.borrow());
        let me = (&*boot.vm_name, &boot.domain);
        let mut lenders = self.limit_lenders.borrow_mut();
        lenders.choose(Instant::now(), &roster, me, targets)
    }

    /// Records that a VM has nothing to give up for the given time, if it said so.
    pub fn on_lender_refused(&self, lender: Lender, next: Option<Duration>) {
        let mut lenders = self.limit_lenders.borrow_mut();
        lenders.refused(Instant::now(), lender, next);
    }

    /// Returns what this VM may expect of the others for a limited target.
    pub fn borrowed_supply(&self, target: &TargetId, rate: RequestRate) -> Option<LimitedSupply> {
        let next = self
            .limit_lenders
            .borrow()
            .next_in(Instant::now(), target)?;
        Some(LimitedSupply::borrowed(rate, self.vm_count(), next))
    }

    /// Returns the connections to a target, if there are any.
    pub fn known_connections(&self, target: &TargetId) -> Option<Rc<TargetConnections>> {
        self.connections.borrow().get(target).map(Rc::clone)
    }

    /// Returns the connections to a target that is announced.
    pub(crate) fn announced_connections(&self, target: &TargetId) -> Option<Rc<TargetConnections>> {
        let directory = self.directory.borrow();
        Some(self.connections(directory.get(target)?))
    }

    /// Returns the number of VMs, or an assumed number while the list of VMs is not known.
    pub fn vm_count(&self) -> usize {
        self.roster.borrow().len().unwrap_or(ASSUMED_VMS)
    }

    /// Returns the addresses of the VMs from which this VM may read changes: those before it in its
    /// failure domain, or else the first ones of other domains.
    pub fn sources(&self) -> Vec<SocketAddr> {
        let sources = self.feed_addrs(VmRoster::sources);
        match sources.is_empty() {
            true => self.feed_addrs(VmRoster::remote_sources),
            false => sources,
        }
    }

    /// Returns the number of VMs before this one in its failure domain.
    pub fn preceding_vms(&self) -> usize {
        self.feed_addrs(VmRoster::sources).len()
    }

    /// Returns the addresses of the VMs that may read changes from this VM.
    pub fn followers(&self) -> Vec<SocketAddr> {
        self.feed_addrs(VmRoster::followers)
    }

    fn feed_addrs(
        &self,
        vms: impl for<'a> Fn(&'a VmRoster, &str, &DomainId) -> Vec<&'a VmRecord>,
    ) -> Vec<SocketAddr> {
        let boot = self.boot.borrow();
        let roster = self.roster.borrow();
        let vms = vms(&roster, &boot.vm_name, &boot.domain);
        vms.into_iter().map(|vm| vm.feed).collect()
    }

    /// Returns the addresses of the VMs that this VM polls if it has no records and the store does
    /// not respond.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let boot = self.boot.borrow();
        let others = boot
            .seeds
            .iter()
            .filter(|addr| Some(**addr) != boot.control);
        others.copied().collect()
    }

    /// Returns the feed of a topic that other VMs poll.
    pub fn feed(&self, topic: Topic) -> &Feed {
        match topic {
            Topic::Operators => &self.operators,
            Topic::Targets | Topic::Vms => &self.announcements,
        }
    }

    /// Returns for how many milliseconds the configuration has not been confirmed by the store;
    /// nothing if it never was.
    pub fn config_age(&self, now: Instant) -> Option<u64> {
        let age = self.operators.age(now);
        age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns up to where this VM has read the topic of the operators; nothing before the first read.
    pub(crate) fn config_position(&self) -> Option<StorePosition> {
        self.operators.next()
    }

    /// Takes a health check from this VM's share of the budget. Returns whether there was one.
    pub fn take_check(&self, now: Instant) -> bool {
        self.with_checks(|checks| checks.take(now))
    }

    /// Returns whether this VM's share of the health checks runs low.
    pub fn is_check_budget_low(&self, now: Instant) -> bool {
        self.with_checks(|checks| checks.is_low(now))
    }

    /// Closes and removes the connections to a target instance that is gone.
    pub fn drop_connections(&self, target: &TargetId) {
        if let Some(connections) = self.connections.borrow_mut().remove(target) {
            connections.close();
        }
    }

    /// Closes connections to targets that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        self.clients.tick(now);
        let connections = self.connections.borrow();
        connections
            .values()
            .for_each(|connections| connections.sweep(now));
        quota_client::sweep(self, now);
    }

    /// Counts a request for a service that is expected to take `work`, and adds the health checks
    /// that it earns to the budget.
    pub fn count_request(&self, now: Instant, service: &ServiceId, work: Duration) {
        self.with_retry_budget(service, |retry_budget| retry_budget.request(now));
        let load = self.services.load(service);
        let took = load.hold_time().unwrap_or(work);
        let (target_load, slot_load) = (load.per_target(now), load.per_slot(now));
        let check_rate = self.boot.borrow().check_rate;
        let checks = CheckBudget::per_request(check_rate, target_load, took, slot_load);
        self.with_checks(|budget| budget.deposit(now, checks));
    }

    /// Takes a retry for a service from this VM's budget. Returns whether there was one.
    pub fn take_retry(&self, now: Instant, service: &ServiceId) -> bool {
        let vms = self.vm_count();
        self.with_retry_budget(service, |retry_budget| retry_budget.retry(now, vms))
    }

    /// Returns how many retries for a service are available now.
    pub fn retries_left(&self, now: Instant, service: &ServiceId) -> usize {
        let vms = self.vm_count();
        self.with_retry_budget(service, |retry_budget| retry_budget.available(now, vms))
    }

    /// Returns a new id for an attempt, unique in this process.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.set(self.attempts.get() + 1);
        self.attempts.get()
    }

    /// Takes a line about a request from the log's budget. Returns how many lines were left out
    /// since the last one, or nothing if this one is left out.
    pub fn take_log_line(&self, now: Instant, failed: bool) -> Option<u64> {
        let budget = match failed {
            true => &self.failed_lines,
            false => &self.success_lines,
        };
        budget.borrow_mut().take(now)
    }

    /// Returns the clients of a listener for the admin address or other VMs.
    pub(crate) fn kept_clients(&self, listener: &'static str) -> eyre::Result<Clients> {
        let boot = self.boot.borrow();
        let most = self.client_settings.control;
        let connections = ConnectionBounds::derive_kept(boot.descriptors, most);
        let (_, memory) = self.client_settings.bounds(&boot)?;
        let closures = self.metrics.client_closures();
        Ok(Clients::new(listener, (connections, memory), closures))
    }

    /// Applies what the settings, read again, say of the VM.
    pub(crate) fn set_boot(&self, boot: BootSettings) {
        match self.client_settings.bounds(&boot) {
            Ok(bounds) => self.clients.set_bounds(bounds),
            Err(error) => log::warn!(reason:% = error; "the bounds of callers are kept"),
        }
        *self.boot.borrow_mut() = boot;
    }

    fn with_checks<R>(&self, act: impl FnOnce(&mut CheckBudget) -> R) -> R {
        let targets = self.directory.borrow().len();
        let share = CheckBudget::share(self.boot.borrow().check_rate, targets, self.vm_count());
        let mut checks = self.checks.borrow_mut();
        checks.set_rate(share);
        act(&mut checks)
    }

    pub(crate) fn connections(&self, target: &AnnouncedTarget) -> Rc<TargetConnections> {
        let mut connections = self.connections.borrow_mut();
        let found = connections.entry(target.id.clone()).or_insert_with(|| {
            let rank = preferred_targets::rank(&self.boot.borrow().vm_name, target.id.as_str());
            let created = TargetConnections::new(target, rank, self.warmup.of(&target.id));
            limits::apply_news(self, &created);
            Rc::new(created)
        });
        warmup::refresh(self, found, target);
        Rc::clone(found)
    }

    fn with_retry_budget<R>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut RetryAllowance) -> R,
    ) -> R {
        let limits = || {
            let boot = self.boot.borrow();
            RetryLimits {
                ratio: boot.retry_ratio,
                window: boot.retry_window,
                extra: f64::from(boot.retry_extra),
            }
        };
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let retry_budget = retry_budgets.entry(service.clone());
        act(retry_budget.or_insert_with(|| RetryAllowance::new(limits(), self.started)))
    }
}
