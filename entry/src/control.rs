//! The state of the control thread. It passes events to the state machines for configuration,
//! membership and appends, and performs the actions that they return.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::appender::AppendAction;
use carobshore_lib::appender::AppendEvent;
use carobshore_lib::appender::Appender;
use carobshore_lib::follower::Follower;
use carobshore_lib::follower_message::FollowerAction;
use carobshore_lib::follower_message::FollowerEvent;
use carobshore_lib::follower_message::FollowerSettings;
use carobshore_lib::key_history::KeyHistory;
use carobshore_lib::key_ownership::KeyOwnership;
use carobshore_lib::prelude::*;
use carobshore_lib::record::Join;
use carobshore_platform::log_client::AppendAnswer;
use carobshore_platform::log_client::ReadAnswer;
use carobshore_platform::vm_list_client::ListedState;
use jsonrpsee::http_client::HttpClient;
use uuid::Uuid;

use crate::control_channels::DataSenders;
use crate::control_channels::PlatformClients;
use crate::control_counts::ControlCounts;
use crate::peer_client::PeerClients;
use crate::rpc::VmRpcClient;
use crate::settings::Settings;
use crate::supervisor::Supervisor;
use crate::view::DataReport;
use crate::view::View;

/// How long an append is tried before it fails. The state machine that asked for the record then
/// asks again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(30);
/// Older loads of other homes are left out of the view. A home reports its load once a second.
const MAX_LOAD_AGE: Duration = Duration::from_secs(3);

/// The state of the control thread.
pub(crate) struct Control {
    pub(crate) settings: Arc<Settings>,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) supervisor: Supervisor,
    pub(crate) platform: PlatformClients,
    pub(crate) peers: PeerClients,
    pub(crate) data: DataSenders,
    pub(crate) follower: RefCell<Follower>,
    pub(crate) membership: RefCell<Membership>,
    pub(crate) appender: RefCell<Appender>,
    pub(crate) ownership: RefCell<KeyOwnership>,
    pub(crate) leaving: RefCell<LeavingTargets>,
    pub(crate) lease: RefCell<ReadLease>,
    pub(crate) down: RefCell<BTreeSet<VmId>>,
    pub(crate) counts: RefCell<ControlCounts>,
    pub(crate) last_report: RefCell<Option<Error>>,
    config: RefCell<Arc<Config>>,
    keys: RefCell<Arc<BTreeMap<ServiceId, Arc<KeyHistory>>>>,
    roster: RefCell<Arc<Roster>>,
    own_loads: RefCell<BTreeMap<ServiceId, PeerLoad>>,
    loads: RefCell<BTreeMap<(ServiceId, VmId), (Instant, PeerLoad)>>,
    pending_appends: RefCell<BTreeMap<RecordId, Body>>,
    /// RPC addresses of peers that are known from the settings and may not be in the roster yet.
    addresses: RefCell<BTreeMap<VmId, SocketAddr>>,
    leave_requested: Cell<bool>,
    changed: Cell<bool>,
}

impl Control {
    /// Builds the state of a VM that has read nothing yet.
    pub(crate) fn new(
        settings: Arc<Settings>,
        clock: Rc<dyn Clock>,
        vm: VmId,
        platform: PlatformClients,
        data: DataSenders,
    ) -> Rc<Self> {
        let now = clock.now();
        let follower = FollowerSettings {
            vm: Some(vm.clone()),
            ..FollowerSettings::default()
        };
        let join = Join {
            vm: vm.clone(),
            domain: settings.domain.clone(),
            rpc: settings.rpc,
            forward: settings.forward,
        };
        let seed = rand::random();
        Rc::new(Self {
            settings,
            clock,
            supervisor: Supervisor::new("control"),
            platform,
            peers: PeerClients::default(),
            data,
            follower: RefCell::new(Follower::new(now, follower)),
            membership: RefCell::new(Membership::new(LocalVm { join, seed })),
            appender: RefCell::new(Appender::new(APPEND_TIMEOUT)),
            ownership: RefCell::new(KeyOwnership::new(vm)),
            leaving: RefCell::default(),
            lease: RefCell::default(),
            down: RefCell::default(),
            counts: RefCell::default(),
            last_report: RefCell::default(),
            config: RefCell::default(),
            keys: RefCell::default(),
            roster: RefCell::default(),
            own_loads: RefCell::default(),
            loads: RefCell::default(),
            pending_appends: RefCell::default(),
            addresses: RefCell::default(),
            leave_requested: Cell::new(false),
            changed: Cell::new(false),
        })
    }

    /// Passes a tick to every state machine, and publishes what changed.
    pub(crate) fn tick(self: &Rc<Self>) {
        self.handle_follower(FollowerEvent::Tick);
        self.handle_membership(MembershipEvent::Tick);
        self.handle_append(AppendEvent::Tick);
        self.publish();
    }

    /// Restarts key ownership after a component of this thread failed. The component may have read
    /// a record without recording the change of ownership that follows from it.
    pub(crate) fn recover(self: &Rc<Self>) {
        let now = self.clock.now();
        let roster = self.follower.borrow().state().roster().clone();
        self.lease.borrow_mut().invalidate(now);
        let mut ownership = self.ownership.borrow_mut();
        ownership.snapshot_installed(now, self.clock.wall(), roster);
        drop(ownership);
        self.publish_keys();
    }

    /// Passes an event to the follower and performs the actions that it returns.
    pub(crate) fn handle_follower(self: &Rc<Self>, event: FollowerEvent) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.follower.borrow_mut().handle(now, event, &mut actions);
        for action in actions {
            self.run_follower_action(action);
        }
    }

    fn run_follower_action(self: &Rc<Self>, action: FollowerAction) {
        match action {
            FollowerAction::Read { from, max } => return self.read_log(from, max),
            FollowerAction::FetchRecords { vm, from } => return self.fetch_records(vm, from),
            FollowerAction::FetchSnapshot { vm } => return self.fetch_snapshot(vm),
            FollowerAction::RosterChanged { roster, handover } => {
                let (now, wall) = (self.clock.now(), self.clock.wall());
                let mut ownership = self.ownership.borrow_mut();
                ownership.roster_changed(now, wall, roster, handover);
                drop(ownership);
                self.publish_keys();
            }
            FollowerAction::SnapshotInstalled => {
                let (now, wall) = (self.clock.now(), self.clock.wall());
                let roster = self.follower.borrow().state().roster().clone();
                let mut ownership = self.ownership.borrow_mut();
                ownership.snapshot_installed(now, wall, roster);
                drop(ownership);
                self.publish_keys();
            }
            FollowerAction::Advanced { config, roster } => self.on_advanced(config, roster),
            FollowerAction::CaughtUp { issued } => self.on_current(issued),
            FollowerAction::Ready => {
                log::info!(offset = self.follower.borrow().state().applied().0; "configuration is current; joining the roster");
                self.handle_membership(MembershipEvent::Ready);
            }
            FollowerAction::AppendSnapshot { records } => {
                records.into_iter().for_each(|record| self.submit(record));
            }
            FollowerAction::Report(error) => self.report(&error),
        }
        self.changed.set(true);
    }

    /// Copies the key histories for the next view.
    fn publish_keys(&self) {
        let histories = self.ownership.borrow().histories().clone();
        *self.keys.borrow_mut() = Arc::new(histories);
        self.changed.set(true);
    }

    fn on_advanced(self: &Rc<Self>, config: bool, roster: bool) {
        let applied = self.follower.borrow().state().applied();
        if config {
            let config = Arc::new(self.follower.borrow().state().config().clone());
            self.leaving.borrow_mut().config_changed(&config);
            self.ownership.borrow_mut().config_changed(&config);
            self.publish_keys();
            *self.config.borrow_mut() = config;
        }
        if roster {
            let roster = self.follower.borrow().state().roster().clone();
            self.down.borrow_mut().retain(|vm| roster.contains(vm));
            *self.roster.borrow_mut() = Arc::new(roster.clone());
            self.handle_membership(MembershipEvent::Roster { roster });
        }
        self.handle_membership(MembershipEvent::Applied(applied));
    }

    fn on_current(self: &Rc<Self>, issued: Instant) {
        let vm = self.membership.borrow().vm().clone();
        let listed = self.follower.borrow().state().roster().contains(&vm);
        self.lease.borrow_mut().read_ok(issued, listed);
        self.handle_membership(MembershipEvent::LogRead { issued });
    }

    /// Logs an error, unless it repeats the one before.
    fn report(&self, error: &Error) {
        let previous = self.last_report.replace(Some(error.clone()));
        if previous.as_ref() != Some(error) {
            log::warn!(code = error.code.number(), help = &*error.help; "{}", error.message);
        }
    }

    /// Passes an event to the membership and performs the actions that it returns.
    pub(crate) fn handle_membership(self: &Rc<Self>, event: MembershipEvent) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        let mut membership = self.membership.borrow_mut();
        membership.handle(now, event, &mut actions);
        drop(membership);
        for action in actions {
            self.run_membership_action(action);
        }
    }

    fn run_membership_action(self: &Rc<Self>, action: MembershipAction) {
        match action {
            MembershipAction::Heartbeat { to, round } => return self.send_heartbeats(&to, round),
            MembershipAction::Append(body) => return self.append(body),
            MembershipAction::Suspect(vm) => {
                log::warn!(vm = vm.as_str(); "VM misses heartbeats; routing avoids it");
                self.down.borrow_mut().insert(vm);
            }
            MembershipAction::Recovered(vm) => {
                log::info!(vm = vm.as_str(); "VM sends heartbeats again");
                self.down.borrow_mut().remove(&vm);
            }
            MembershipAction::PeerAhead { vm, applied } => {
                self.handle_follower(FollowerEvent::PeerOffset { vm, applied });
            }
            MembershipAction::PeerLeaving(targets) => {
                let mut leaving = self.leaving.borrow_mut();
                targets.iter().for_each(|target| {
                    leaving.drain_signalled(target);
                });
            }
            MembershipAction::NeedNewId => self.rejoin(),
        }
        self.changed.set(true);
    }

    fn rejoin(self: &Rc<Self>) {
        let id = VmId::with_incarnation(&self.settings.vm_name, rand::random());
        let Ok(vm) = id else { return };
        log::warn!(vm = vm.as_str(); "this VM was displaced from the roster; joining again under a new id");
        self.ownership.borrow_mut().id_changed(vm.clone());
        self.publish_keys();
        self.lease.borrow_mut().invalidate(self.clock.now());
        self.handle_membership(MembershipEvent::NewId(vm));
    }

    fn append(self: &Rc<Self>, body: Body) {
        let id = RecordId(Uuid::now_v7());
        self.pending_appends.borrow_mut().insert(id, body.clone());
        self.submit(Record { id, body });
    }

    fn submit(self: &Rc<Self>, record: Record) {
        let earliest = self.follower.borrow().state().applied();
        self.handle_append(AppendEvent::Submit { record, earliest });
    }

    fn handle_append(self: &Rc<Self>, event: AppendEvent) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.appender.borrow_mut().handle(now, event, &mut actions);
        for action in actions {
            self.run_append_action(action);
        }
    }

    fn run_append_action(self: &Rc<Self>, action: AppendAction) {
        match action {
            AppendAction::Append(record) => self.send_append(record),
            AppendAction::Read { id, from, max } => self.read_for_append(id, from, max),
            AppendAction::Done { id, offset } => {
                self.counts.borrow_mut().appends += 1;
                let body = self.pending_appends.borrow_mut().remove(&id);
                if let Some(body) = body {
                    self.on_appended(offset, body);
                }
            }
            AppendAction::Failed { id, error, .. } => {
                self.counts.borrow_mut().append_failures += 1;
                self.report(&error);
                let body = self.pending_appends.borrow_mut().remove(&id);
                if let Some(body) = body {
                    self.handle_membership(MembershipEvent::AppendFailed { body });
                }
            }
        }
    }

    fn on_appended(self: &Rc<Self>, offset: Offset, body: Body) {
        if let Body::Displace { vm, .. } = &body {
            log::warn!(vm = vm.as_str(), offset = offset.0; "displaced a VM that sends no heartbeats");
        }
        self.handle_membership(MembershipEvent::Appended { offset, body });
    }

    fn send_append(self: &Rc<Self>, record: Record) {
        let control = Rc::clone(self);
        ntex::rt::spawn(async move {
            let id = record.id;
            let event = match control.platform.log.append(&record).await {
                AppendAnswer::Appended(offset) => AppendEvent::Appended { id, offset },
                AppendAnswer::Rejected(message) => AppendEvent::Rejected { id, message },
                AppendAnswer::OutcomeUnknown => AppendEvent::OutcomeUnknown { id },
            };
            control.handle_append(event);
        });
    }

    fn read_for_append(self: &Rc<Self>, id: RecordId, from: Offset, max: u32) {
        let control = Rc::clone(self);
        ntex::rt::spawn(async move {
            let event = match control.platform.log.read(from, max).await {
                ReadAnswer::Page(page) => AppendEvent::Page { id, from, page },
                ReadAnswer::Expired(_) => AppendEvent::Expired { id },
                ReadAnswer::Failed => AppendEvent::ReadFailed { id },
            };
            control.handle_append(event);
        });
    }

    fn read_log(self: &Rc<Self>, from: Offset, max: u32) {
        let control = Rc::clone(self);
        ntex::rt::spawn(async move {
            let issued = control.clock.now();
            let answer = control.platform.log.read(from, max).await;
            let failed = matches!(answer, ReadAnswer::Failed);
            let mut counts = control.counts.borrow_mut();
            counts.reads += u64::from(!failed);
            counts.read_failures += u64::from(failed);
            drop(counts);
            control.handle_follower(match answer {
                ReadAnswer::Page(page) => FollowerEvent::Page { from, issued, page },
                ReadAnswer::Expired(first) => FollowerEvent::Expired { first },
                ReadAnswer::Failed => FollowerEvent::ReadFailed,
            });
            control.publish();
        });
    }

    fn peer_addr(&self, vm: &VmId) -> Option<SocketAddr> {
        let member = self.roster.borrow().member(vm).map(|member| member.rpc);
        member.or_else(|| self.addresses.borrow().get(vm).copied())
    }

    fn peer_client(&self, vm: &VmId) -> Option<HttpClient> {
        self.peers.client(self.peer_addr(vm)?).ok()
    }

    fn fetch_records(self: &Rc<Self>, vm: VmId, from: Offset) {
        let control = Rc::clone(self);
        ntex::rt::spawn(async move {
            let answer = match control.peer_client(&vm) {
                Some(client) => client.records_since(from).await.ok(),
                None => None,
            };
            control.handle_follower(match answer {
                Some(page) => FollowerEvent::PeerRecords { vm, page },
                None => FollowerEvent::PeerFailed { vm },
            });
            control.publish();
        });
    }

    fn fetch_snapshot(self: &Rc<Self>, vm: VmId) {
        let control = Rc::clone(self);
        ntex::rt::spawn(async move {
            let answer = match control.peer_client(&vm) {
                Some(client) => client.snapshot().await.ok().flatten(),
                None => None,
            };
            control.handle_follower(match answer {
                Some(records) => FollowerEvent::PeerSnapshot { vm, records },
                None => FollowerEvent::PeerFailed { vm },
            });
            control.publish();
        });
    }

    fn send_heartbeats(self: &Rc<Self>, to: &[VmId], round: u64) {
        let beat = self.heartbeat(round);
        for vm in to {
            if let Some(addr) = self.peer_addr(vm) {
                let control = Rc::clone(self);
                let beat = beat.clone();
                let vm = vm.clone();
                ntex::rt::spawn(async move { control.send_heartbeat(vm, addr, beat).await });
            }
        }
    }

    async fn send_heartbeat(self: &Rc<Self>, vm: VmId, addr: SocketAddr, beat: Heartbeat) {
        let answer = match self.peers.client(addr) {
            Ok(client) => client.heartbeat(beat).await.ok(),
            Err(_) => None,
        };
        match answer {
            Some(beat) => {
                self.counts.borrow_mut().heartbeats += 1;
                self.on_heartbeat(beat);
            }
            None => {
                self.counts.borrow_mut().heartbeat_failures += 1;
                self.peers.forget(addr);
                self.handle_membership(MembershipEvent::Unreachable(vm));
            }
        }
    }

    /// Asks a peer from the settings for the offset that it has applied, before this VM knows the
    /// roster.
    pub(crate) async fn query_peer(self: &Rc<Self>, addr: SocketAddr) {
        let Ok(client) = self.peers.client(addr) else {
            return;
        };
        if let Ok(beat) = client.heartbeat(self.heartbeat(0)).await {
            let vm = beat.from.clone();
            let applied = beat.applied;
            self.addresses.borrow_mut().insert(vm.clone(), addr);
            self.handle_follower(FollowerEvent::PeerOffset { vm, applied });
        }
    }

    /// Returns this VM's heartbeat of the given round.
    pub(crate) fn heartbeat(&self, round: u64) -> Heartbeat {
        let leaving: Vec<_> = self.leaving.borrow().signalled().collect();
        let own_loads = self.own_loads.borrow();
        let loads: Vec<_> = own_loads.clone().into_iter().collect();
        self.membership.borrow().heartbeat(round, &leaving, &loads)
    }

    /// Handles a heartbeat of a peer. Its loads wait for the next view: they are only a starting
    /// value, and for each view the data thread has to go through every service.
    pub(crate) fn on_heartbeat(self: &Rc<Self>, beat: Heartbeat) {
        let now = self.clock.now();
        let mut loads = self.loads.borrow_mut();
        for (service, load) in &beat.loads {
            let key = (service.clone(), load.vm.clone());
            loads.insert(key, (now, load.clone()));
        }
        drop(loads);
        self.handle_membership(MembershipEvent::HeartbeatReceived(beat));
    }

    /// Reads the platform's list of VMs.
    pub(crate) async fn read_vm_list(self: &Rc<Self>) {
        let Ok(list) = self.platform.vm_list.read().await else {
            self.counts.borrow_mut().list_failures += 1;
            return;
        };
        self.counts.borrow_mut().list_reads += 1;
        let now = self.clock.now();
        let by_addr: Vec<_> = list
            .iter()
            .map(|vm| ListedAddr {
                addr: vm.addr,
                leaving: vm.state == ListedState::Leaving,
            })
            .collect();
        self.leaving.borrow_mut().list_read(now, &by_addr);
        let vms = list.into_iter().map(|vm| ListedVm {
            name: vm.name,
            domain: vm.domain,
            live: vm.state == ListedState::Live,
        });
        self.handle_membership(MembershipEvent::Listed(vms.collect()));
        self.changed.set(true);
        self.publish();
    }

    /// Handles a report of the data thread.
    pub(crate) fn on_report(self: &Rc<Self>, report: DataReport) {
        match report {
            DataReport::Drain { service, target } => self.on_drain(service, target),
            DataReport::Load {
                service,
                free,
                queued,
            } => {
                let vm = self.membership.borrow().vm().clone();
                let load = PeerLoad { vm, free, queued };
                self.own_loads.borrow_mut().insert(service, load);
            }
            DataReport::Unreachable { vm } => {
                self.handle_membership(MembershipEvent::Unreachable(vm));
            }
            DataReport::KeyedIdle => self.append_leave(),
        }
        self.publish();
    }

    fn on_drain(&self, service: ServiceId, target: TargetId) {
        let config = self.config.borrow();
        let spec = config.service(&service);
        let Some(spec) = spec.and_then(|spec| spec.targets.get(&target)) else {
            return;
        };
        let generation = spec.generation;
        let leaving_target = LeavingTarget {
            service,
            target,
            generation,
        };
        if self.leaving.borrow_mut().drain_signalled(&leaving_target) {
            log::info!(service = leaving_target.service.as_str(), target = leaving_target.target.as_str(); "target is draining; it gets no new requests");
            self.changed.set(true);
        }
    }

    /// Appends this VM's `leave` in a planned stop, once.
    fn append_leave(self: &Rc<Self>) {
        if self.leave_requested.replace(true) {
            return;
        }
        self.handle_membership(MembershipEvent::Stopping);
        let vm = self.membership.borrow().vm().clone();
        self.append(Body::Leave { vm });
    }

    /// Publishes a view if something changed since the last one.
    pub(crate) fn publish(&self) {
        if !self.changed.replace(false) {
            return;
        }
        self.counts.borrow_mut().views += 1;
        self.data.views.send_replace(Arc::new(self.view()));
    }

    fn view(&self) -> View {
        let now = self.clock.now();
        let mut loads = self.loads.borrow_mut();
        loads.retain(|_, (at, _)| now < *at + MAX_LOAD_AGE);
        let loads = loads.iter();
        let targets = self.leaving.borrow();
        let targets = targets.targets();
        let follower = self.follower.borrow();
        View {
            me: self.membership.borrow().vm().clone(),
            domain: self.settings.domain.clone(),
            config: Arc::clone(&self.config.borrow()),
            roster: Arc::clone(&self.roster.borrow()),
            applied: follower.state().applied(),
            keys: Arc::clone(&self.keys.borrow()),
            lease: *self.lease.borrow(),
            leaving: Arc::new(
                targets
                    .map(|leaving_target| (leaving_target.service, leaving_target.target))
                    .collect(),
            ),
            down: Arc::new(self.down.borrow().clone()),
            loads: loads
                .map(|((service, _), (_, load))| (service.clone(), load.clone()))
                .collect(),
            counts: self.counts.borrow().clone(),
            ready: follower.is_ready(),
        }
    }
}
