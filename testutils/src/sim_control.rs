//! The control plane of a simulated entry VM: log, membership, lists and the planned stop.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use carobshore_lib::appender::AppendAction;
use carobshore_lib::appender::AppendEvent;
use carobshore_lib::appender::Appender;
use carobshore_lib::follower::Follower;
use carobshore_lib::follower_message::FollowerAction;
use carobshore_lib::follower_message::FollowerEvent;
use carobshore_lib::follower_message::FollowerSettings;
use carobshore_lib::key_ownership::KeyOwnership;
use carobshore_lib::key_ownership::key_homes;
use carobshore_lib::prelude::*;
use carobshore_lib::read_lease::LEASE_WAIT;
use carobshore_lib::record::Join;
use rand::RngExt;

use crate::sim_data::ActiveCall;
use crate::sim_data::Connection;
use crate::sim_data::Origin;
use crate::sim_fault::Step;
use crate::sim_record::Response;
use crate::sim_record::ServedConfig;
use crate::sim_world::MESSAGE_DELAY;
use crate::sim_world::World;
use crate::sim_world::WrongRule;

/// The interval at which a VM runs its timers.
const TICK: Duration = Duration::from_millis(250);

/// One run of an entry VM. It holds the decision modules and carries out their actions.
pub struct SimVm {
    /// The VM's name on the platform's list.
    pub name: String,
    /// The number of its failure domain.
    pub domain: usize,
    /// Whether the process runs.
    pub alive: bool,
    /// When it started.
    pub started: Duration,
    /// Until when it is paused.
    pub paused_until: Duration,
    /// Until when it reaches neither the log nor its peers.
    pub isolated_until: Duration,
    /// The error of its wall clock in milliseconds.
    pub wall_offset: i64,
    /// The rate of its clocks.
    pub rate: f64,
    /// Its planned stop.
    pub stop: PlannedStop,
    /// Its connections, by target.
    pub conns: BTreeMap<(usize, ConnId), Connection>,
    pub(crate) ready: bool,
    pub(crate) follower: Follower,
    pub(crate) appender: Appender,
    pub(crate) appends: BTreeMap<RecordId, Body>,
    pub(crate) membership: Membership,
    pub(crate) lease: ReadLease,
    pub(crate) ownership: KeyOwnership,
    pub(crate) table: KeyTable,
    pub(crate) leaving: LeavingTargets,
    pub(crate) key_homes: KeyHomes,
    pub(crate) pools: BTreeMap<usize, ConnectionPool>,
    pub(crate) calls: BTreeMap<u64, ActiveCall>,
    pub(crate) waiters: BTreeMap<RequestKey, Vec<(usize, Origin)>>,
    /// Requests with a key between their arrival and the decision.
    pub(crate) deciding: usize,
    ticks: u64,
}

impl World {
    /// Starts an entry VM in a failure domain.
    pub fn start_vm(&mut self, name: &str, domain: usize) {
        let vm = self.vms.len();
        let id = VmId::with_incarnation(name, u32::try_from(self.next_id()).unwrap()).unwrap();
        let join = Join {
            vm: id.clone(),
            domain: format!("d{domain}").parse().unwrap(),
            rpc: "127.0.0.1:1".parse().unwrap(),
            forward: "127.0.0.1:2".parse().unwrap(),
        };
        let wall_offset = i64::try_from(self.random_time(Duration::from_secs(1)).as_millis());
        let rate = 0.995 + self.random_time(Duration::from_millis(10)).as_secs_f64();
        let start = self.instant_at_rate(rate);
        let settings = FollowerSettings::default();
        let wall = std::time::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + self.now;
        self.vms.push(SimVm {
            name: name.to_owned(),
            domain,
            alive: true,
            started: self.now,
            paused_until: Duration::ZERO,
            isolated_until: Duration::ZERO,
            wall_offset: wall_offset.unwrap() - 500,
            rate,
            stop: PlannedStop::default(),
            conns: BTreeMap::new(),
            ready: false,
            follower: Follower::new(start, settings),
            appender: Appender::new(Duration::from_secs(60)),
            appends: BTreeMap::new(),
            membership: Membership::new(LocalVm {
                join,
                seed: vm as u64,
            }),
            lease: ReadLease::default(),
            ownership: KeyOwnership::new(id),
            table: KeyTable::new(start, wall, KeyLimits::default()),
            leaving: LeavingTargets::default(),
            key_homes: KeyHomes::default(),
            pools: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiters: BTreeMap::new(),
            deciding: 0,
            ticks: 0,
        });
        let (wall, now) = self.clocks(vm);
        self.vms[vm].table = KeyTable::new(now, wall, KeyLimits::default());
        let now = self.now;
        self.list
            .change(now, |list| list.live.insert(name.to_owned()));
        self.on_vm(vm, Duration::ZERO, move |world| world.tick(vm));
    }

    /// Ends a VM's process at once; the VM list drops it a second later.
    pub fn end_vm(&mut self, vm: usize) {
        self.vms[vm].alive = false;
        let name = self.vms[vm].name.clone();
        self.after(Duration::from_secs(1), move |world| {
            let now = world.now;
            world.list.change(now, |list| list.live.remove(&name));
        });
        let state = &mut self.vms[vm];
        state.conns.clear();
        state.calls.clear();
        for delivery in 0..self.records.deliveries.len() {
            let record = &self.records.deliveries[delivery];
            if record.vm == vm && record.response.is_none() {
                self.after(MESSAGE_DELAY, move |world| {
                    let at = world.now;
                    let response = Response {
                        at,
                        outcome: None,
                        code: ResultCode::ConnectionBroken,
                        body: None,
                        complete: false,
                    };
                    world.on_response(delivery, response);
                });
            }
        }
        let open = self.forwards.iter().filter(|(_, forward)| forward.to == vm);
        for (from, call, attempt) in open.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.forwards.remove(&(from, call, attempt));
            self.on_vm(from, MESSAGE_DELAY, move |world| {
                world.handle_exchange(from, call, ExchangeEvent::Broken { attempt });
            });
        }
    }

    /// Sends the first signal of a planned stop.
    pub fn stop_vm(&mut self, vm: usize) {
        self.on_vm(vm, Duration::ZERO, move |world| {
            world.reach_step(Step::Signal, vm, None);
            if world.follows(WrongRule::ExitAtOnce) {
                world.exit(vm);
                return;
            }
            world.handle_stop(vm, StopEvent::Signal);
        });
    }

    fn tick(&mut self, vm: usize) {
        self.on_vm(vm, TICK, move |world| world.tick(vm));
        let (wall, now) = self.clocks(vm);
        self.vms[vm].table.tick(now, wall);
        self.vms[vm].ticks += 1;
        if self.vms[vm].ticks % 4 == 1 {
            self.read_vm_list(vm);
            self.record_served(vm);
        }
        self.handle_follower(vm, FollowerEvent::Tick);
        self.handle_append(vm, AppendEvent::Tick);
        self.handle_membership(vm, MembershipEvent::Tick);
        self.report_in_flight(vm);
        let vm = &mut self.vms[vm];
        for (target, pool) in &mut vm.pools {
            for conn in pool.expire(now) {
                vm.conns.remove(&(*target, conn));
            }
        }
    }

    fn read_vm_list(&mut self, vm: usize) {
        let state = self.list.read(self.now);
        let (_, now) = self.clocks(vm);
        let listed = |name: &String| ListedVm {
            name: name.as_str().into(),
            domain: "d0".parse().unwrap(),
            live: true,
        };
        let vms = state.live.iter().map(listed).collect();
        let targets = 0..self.targets.len();
        let list: Vec<_> = targets
            .map(|target| ListedAddr {
                addr: Self::addr(target),
                leaving: state.leaving.contains(&target),
            })
            .collect();
        self.on_vm(vm, MESSAGE_DELAY * 2, move |world| {
            world.vms[vm].leaving.list_read(now, &list);
            world.handle_membership(vm, MembershipEvent::Listed(vms));
        });
    }

    /// Records the configuration that the VM serves.
    pub(crate) fn record_served(&mut self, vm: usize) {
        let config = self.vms[vm].follower.state().config();
        if let Some(service) = config
            .services
            .get(&self.service)
            .filter(|_| self.vms[vm].ready)
        {
            let (at, mut version) = (self.now, service.version);
            if self.follows(WrongRule::ServeOld) && self.rng.random_bool(0.5) {
                version.0 -= 1;
            }
            self.records.served.push(ServedConfig { vm, at, version });
        }
    }

    pub(crate) fn handle_follower(&mut self, vm: usize, event: FollowerEvent) {
        let (_, now) = self.clocks(vm);
        let mut out = Vec::new();
        self.vms[vm].follower.handle(now, event, &mut out);
        for action in out {
            match action {
                FollowerAction::Read { from, max } => {
                    self.read_log(vm, from, max, move |w, page| {
                        let Some(page) = page else {
                            return w.handle_follower(vm, FollowerEvent::ReadFailed);
                        };
                        let issued = now;
                        let event = FollowerEvent::Page { from, issued, page };
                        w.handle_follower(vm, event);
                    });
                }
                FollowerAction::FetchRecords { vm: peer, from } => {
                    self.query_peer(vm, peer, Some(from));
                }
                FollowerAction::FetchSnapshot { vm: peer } => self.query_peer(vm, peer, None),
                FollowerAction::RosterChanged { roster, handover } => {
                    let (now, wall) = self.takeover_clocks(vm);
                    self.vms[vm]
                        .ownership
                        .roster_changed(now, wall, roster, handover);
                }
                FollowerAction::SnapshotInstalled => {
                    let (now, wall) = self.takeover_clocks(vm);
                    let roster = self.vms[vm].follower.state().roster().clone();
                    self.vms[vm].ownership.snapshot_installed(now, wall, roster);
                }
                FollowerAction::Advanced { .. } => self.on_advanced(vm),
                FollowerAction::CaughtUp { issued } => self.on_caught_up(vm, issued),
                FollowerAction::Ready => {
                    self.vms[vm].ready = true;
                    self.handle_membership(vm, MembershipEvent::Ready);
                }
                FollowerAction::AppendSnapshot { .. } | FollowerAction::Report(_) => {}
            }
        }
    }

    /// Returns the clocks for a change of ownership. `NoTakeoverWait` sets them back by two lease
    /// waits, so that the wait for the previous owner's lease is already over.
    fn takeover_clocks(&self, vm: usize) -> (Instant, SystemTime) {
        let (wall, now) = self.clocks(vm);
        match self.follows(WrongRule::NoTakeoverWait) {
            true => (now - LEASE_WAIT * 2, wall - LEASE_WAIT * 2),
            false => (now, wall),
        }
    }

    fn on_advanced(&mut self, vm: usize) {
        let service = self.service.clone();
        let state = &mut self.vms[vm];
        let replica = state.follower.state();
        state.ownership.config_changed(replica.config());
        state.key_homes = key_homes(&service, replica.roster());
        state.leaving.config_changed(replica.config());
        let (roster, applied) = (replica.roster().clone(), replica.applied());
        let (before, after) = (
            state.membership.is_member(),
            roster.contains(state.membership.vm()),
        );
        if before != after {
            let step = if after { Step::Joined } else { Step::Displaced };
            self.reach_step(step, vm, None);
        }
        self.record_served(vm);
        self.reach_step(Step::ConfigRead, vm, None);
        self.handle_membership(vm, MembershipEvent::Roster { roster });
        self.handle_membership(vm, MembershipEvent::Applied(applied));
    }

    fn on_caught_up(&mut self, vm: usize, issued: Instant) {
        let state = &mut self.vms[vm];
        let id = state.membership.vm();
        let in_roster = state.follower.state().roster().contains(id);
        state.lease.read_ok(issued, in_roster);
        self.handle_membership(vm, MembershipEvent::LogRead { issued });
    }

    /// Asks a peer for records, or for a snapshot when no offset is given.
    fn query_peer(&mut self, vm: usize, peer: VmId, from: Option<Offset>) {
        let Some(to) = self.find_peer(vm, &peer) else {
            self.on_vm(vm, MESSAGE_DELAY * 2, move |world| {
                world.handle_follower(vm, FollowerEvent::PeerFailed { vm: peer });
            });
            return;
        };
        self.on_vm(to, MESSAGE_DELAY, move |world| {
            let follower = &world.vms[to].follower;
            let records = from.map(|from| follower.records_since(from));
            let snapshot = follower.snapshot();
            world.on_vm(vm, MESSAGE_DELAY, move |world| {
                let vm_id = peer;
                let event = match (records, snapshot) {
                    (Some(page), _) => FollowerEvent::PeerRecords { vm: vm_id, page },
                    (None, Some(records)) => FollowerEvent::PeerSnapshot { vm: vm_id, records },
                    (None, None) => FollowerEvent::PeerFailed { vm: vm_id },
                };
                world.handle_follower(vm, event);
            });
        });
    }

    /// Returns the running VM with the given id, if the asking VM reaches it.
    pub(crate) fn find_peer(&self, from: usize, id: &VmId) -> Option<usize> {
        let reached = |vm: &SimVm| self.now >= vm.isolated_until;
        let found = |vm: &SimVm| vm.alive && vm.membership.vm() == id && reached(vm);
        let found = self.vms.iter().rposition(found);
        found.filter(|_| reached(&self.vms[from]))
    }

    pub(crate) fn handle_membership(&mut self, vm: usize, event: MembershipEvent) {
        let (_, now) = self.clocks(vm);
        let mut out = Vec::new();
        self.vms[vm].membership.handle(now, event, &mut out);
        for action in out {
            match action {
                MembershipAction::Heartbeat { to, round } => self.send_heartbeats(vm, &to, round),
                MembershipAction::Append(body) => {
                    let step = match body {
                        Body::Displace { .. } => Step::Displace,
                        _ => Step::Join,
                    };
                    self.submit(vm, body);
                    self.reach_step(step, vm, None);
                }
                MembershipAction::Suspect(_) => self.reach_step(Step::Silent, vm, None),
                MembershipAction::Recovered(_) => {}
                MembershipAction::PeerAhead { vm: peer, applied } => {
                    let offer = FollowerEvent::PeerOffset { vm: peer, applied };
                    self.handle_follower(vm, offer);
                }
                MembershipAction::PeerLeaving(targets) => {
                    for target in targets {
                        self.vms[vm].leaving.drain_signalled(&target);
                    }
                }
                MembershipAction::NeedNewId => self.take_new_id(vm),
            }
        }
    }

    fn send_heartbeats(&mut self, vm: usize, to: &[VmId], round: u64) {
        let leaving: Vec<_> = self.vms[vm].leaving.signalled().collect();
        let heartbeat = self.vms[vm].membership.heartbeat(round, &leaving, &[]);
        for id in to {
            let Some(peer) = self.find_peer(vm, id) else {
                let id = id.clone();
                self.on_vm(vm, MESSAGE_DELAY * 2, move |world| {
                    world.handle_membership(vm, MembershipEvent::Unreachable(id));
                });
                continue;
            };
            let copies = if self.repeat_heartbeats > 0 { 2 } else { 1 };
            self.repeat_heartbeats = self.repeat_heartbeats.saturating_sub(1);
            for _ in 0..copies {
                let heartbeat = heartbeat.clone();
                self.on_vm(peer, MESSAGE_DELAY, move |world| {
                    world.handle_membership(peer, MembershipEvent::HeartbeatReceived(heartbeat));
                });
            }
        }
    }

    /// Gives a displaced VM a new id; its ownership state under the old id becomes invalid.
    fn take_new_id(&mut self, vm: usize) {
        let incarnation = u32::try_from(self.next_id()).unwrap();
        let id = VmId::with_incarnation(&self.vms[vm].name, incarnation).unwrap();
        self.vms[vm].ownership.id_changed(id.clone());
        self.handle_membership(vm, MembershipEvent::NewId(id));
    }

    pub(crate) fn submit(&mut self, vm: usize, body: Body) {
        let record = self.record(body.clone());
        let earliest = self.vms[vm].follower.state().applied();
        self.vms[vm].appends.insert(record.id, body);
        self.handle_append(vm, AppendEvent::Submit { record, earliest });
    }

    fn handle_append(&mut self, vm: usize, event: AppendEvent) {
        let (_, now) = self.clocks(vm);
        let mut out = Vec::new();
        self.vms[vm].appender.handle(now, event, &mut out);
        for action in out {
            match action {
                AppendAction::Append(record) => self.append_to_log(vm, record),
                AppendAction::Read { id, from, max } => {
                    self.read_log(vm, from, max, move |world, page| {
                        world.handle_append(
                            vm,
                            match page {
                                Some(page) => AppendEvent::Page { id, from, page },
                                None => AppendEvent::ReadFailed { id },
                            },
                        );
                    });
                }
                AppendAction::Done { id, offset } => self.on_append_result(vm, id, Some(offset)),
                AppendAction::Failed { id, .. } => self.on_append_result(vm, id, None),
            }
        }
    }

    fn append_to_log(&mut self, vm: usize, record: Record) {
        let delay = self.log.delay(self.now);
        self.after(delay, move |world| {
            let id = record.id;
            let up = world.reaches_log(vm);
            let offset = up.then(|| world.log.append(world.now, &record));
            let lost = world.log.lost_answers > 0;
            world.log.lost_answers = world.log.lost_answers.saturating_sub(1);
            let Some(offset) = offset.filter(|_| !lost) else {
                world.on_vm(vm, Duration::from_secs(1), move |world| {
                    world.handle_append(vm, AppendEvent::OutcomeUnknown { id });
                });
                return;
            };
            let delay = world.log.delay(world.now);
            world.on_vm(vm, delay, move |world| {
                world.handle_append(vm, AppendEvent::Appended { id, offset });
            });
        });
    }

    fn on_append_result(&mut self, vm: usize, id: RecordId, offset: Option<Offset>) {
        let Some(body) = self.vms[vm].appends.remove(&id) else {
            return;
        };
        match (offset, body) {
            (Some(_), Body::Leave { .. }) => {
                self.reach_step(Step::Left, vm, None);
                self.handle_stop(vm, StopEvent::LeaveAppended);
            }
            (None, Body::Leave { .. }) => {}
            (Some(offset), body) => {
                self.handle_membership(vm, MembershipEvent::Appended { offset, body });
            }
            (None, body) => self.handle_membership(vm, MembershipEvent::AppendFailed { body }),
        }
    }

    /// Reports the requests in flight to the planned stop.
    pub(crate) fn report_in_flight(&mut self, vm: usize) {
        let keyed = self.vms[vm].table.running() + self.vms[vm].deciding;
        let calls = self.vms[vm].calls.values();
        let other = calls.filter(|call| call.key.is_none()).count();
        let waiting: usize = self.vms[vm].waiters.values().map(Vec::len).sum();
        let other = other + waiting;
        self.handle_stop(vm, StopEvent::InFlight { keyed, other });
    }

    fn handle_stop(&mut self, vm: usize, event: StopEvent) {
        let (_, now) = self.clocks(vm);
        let mut out = Vec::new();
        self.vms[vm].stop.handle(now, event, &mut out);
        for action in out {
            match action {
                StopAction::Announce => self.reach_step(Step::Announce, vm, None),
                StopAction::StopAccepting => self.reach_step(Step::Closed, vm, None),
                StopAction::AppendLeave => {
                    self.handle_membership(vm, MembershipEvent::Stopping);
                    let id = self.vms[vm].membership.vm().clone();
                    self.submit(vm, Body::Leave { vm: id });
                    self.reach_step(Step::Leave, vm, None);
                }
                StopAction::CutOff => {}
                StopAction::Exit => self.exit(vm),
            }
        }
    }

    /// Ends the process and records every unanswered request as cut off by the planned stop.
    fn exit(&mut self, vm: usize) {
        if !self.vms[vm].alive {
            return;
        }
        self.reach_step(Step::Exit, vm, None);
        let deliveries = self.records.deliveries.iter().enumerate();
        let open =
            deliveries.filter(|(_, record)| record.vm == vm && record.arrived && !record.replied);
        let mut cut: Vec<_> = open.map(|(n, _)| n).collect();
        let forwards = self.forwards.values();
        let forwards = forwards.filter(|forward| forward.to == vm && forward.accepted);
        cut.extend(forwards.map(|forward| forward.delivery));
        self.records.cut_by_stop.extend(cut);
        self.end_vm(vm);
    }
}
