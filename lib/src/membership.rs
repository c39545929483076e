//! Failure detection among VMs, and the decisions to join the roster and to displace silent VMs.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::domain_id::DomainId;
use crate::heartbeat::Heartbeat;
use crate::heartbeat::rotate;
use crate::leaving_targets::LeavingTarget;
use crate::offset::Offset;
use crate::peer_load::PeerLoad;
use crate::read_lease::LEASE;
use crate::record::Body;
use crate::record::Join;
use crate::roster::Roster;
use crate::service_id::ServiceId;
use crate::vm_id::VmId;
use crate::watch_ring::WatchRing;

/// How often a VM sends heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a watched VM may send no heartbeat before routing avoids it.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);

/// How long a VM that the platform does not list as live may send no heartbeat before it is
/// displaced.
pub const DISPLACE_AFTER: Duration = Duration::from_secs(5);

/// How long any VM may send no heartbeat before it is displaced, even if it is listed as live. A
/// watcher that receives heartbeats from none of several VMs waits twice as long if all of them are
/// listed as live: it is more likely isolated itself, and by then its own watchers have displaced
/// it.
pub const DISPLACE_LISTED_AFTER: Duration = Duration::from_secs(15);

/// How long a copy of the platform's list is valid evidence. An empty or older copy is not.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(10);

/// The additional delay for the second watcher, and again for the third, so that one record is
/// enough.
pub const RANK_DELAY: Duration = Duration::from_secs(1);

/// Maximum time between two ticks that counts towards the silence of other VMs. A watcher that was
/// paused itself received no heartbeats, which says nothing about the others.
pub const MAX_TICK: Duration = Duration::from_secs(1);

/// Maximum delay before a displaced VM joins again. The delay starts at one second and doubles.
pub const MAX_REJOIN_DELAY: Duration = Duration::from_secs(30);

/// The VM whose membership is decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalVm {
    /// The `join` record of this VM, with the id of this run.
    pub join: Join,
    /// The seed for the choice of random peers.
    pub seed: u64,
}

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM's name.
    pub name: Box<str>,
    /// The failure domain.
    pub domain: DomainId,
    /// Whether the list shows it as live. Otherwise it is leaving.
    pub live: bool,
}

/// Input events of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// This VM has the configuration and may join the roster.
    Ready,
    /// The roster changed.
    Roster {
        /// The new roster.
        roster: Roster,
    },
    /// The offset of the record that this VM applies next.
    Applied(Offset),
    /// A log read that was issued at this time reached the end of the log.
    LogRead {
        /// When the read was issued.
        issued: Instant,
    },
    /// A heartbeat arrived.
    HeartbeatReceived(Heartbeat),
    /// A call to a peer failed to connect.
    Unreachable(VmId),
    /// The platform's list was read.
    Listed(Vec<ListedVm>),
    /// The log acknowledged a `join` or `displace` record of this VM.
    Appended {
        /// The record's offset.
        offset: Offset,
        /// The record's body.
        body: Body,
    },
    /// An append was abandoned.
    AppendFailed {
        /// The record's body.
        body: Body,
    },
    /// This VM got a new id, as requested by `NeedNewId`.
    NewId(VmId),
    /// A planned stop appended `leave` or is about to. This VM no longer joins or displaces.
    Stopping,
    /// Time passed. Expected at least once per [`MAX_TICK`].
    Tick,
}

/// Actions that the membership protocol requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat to these VMs.
    Heartbeat {
        /// The watchers and one random peer.
        to: Vec<VmId>,
        /// The number of the round, by which long lists are rotated.
        round: u64,
    },
    /// Append a record, and report `Appended` or `AppendFailed` in every case.
    Append(Body),
    /// Routing avoids the VM from now on.
    Suspect(VmId),
    /// Routing may use the VM again.
    Recovered(VmId),
    /// A peer has applied more records than this VM.
    PeerAhead {
        /// The peer.
        vm: VmId,
        /// The offset of the record that the peer applies next.
        applied: Offset,
    },
    /// A peer reports leaving targets.
    PeerLeaving(Vec<LeavingTarget>),
    /// This VM was displaced and needs a new id to join again.
    NeedNewId,
}

/// What is known about a watched VM.
#[derive(Clone, Debug)]
struct Watch {
    rank: usize,
    silence: Duration,
    suspect: bool,
    /// Whether a `displace` record was requested.
    displace_requested: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not ready to join.
    Starting,
    /// Joins at the given time, or at once.
    Joining {
        not_before: Option<Instant>,
    },
    /// The `join` was requested and has not appeared in the roster. `at` is its offset once it is
    /// known.
    JoinRequested {
        at: Option<Offset>,
    },
    Member,
    /// Displaced, and waiting for a new id.
    Displaced,
    Stopping,
}

/// The membership state of one VM. Its work per second does not depend on the size of the roster;
/// only a change of the roster sorts it once.
#[derive(Clone, Debug)]
pub struct Membership {
    info: LocalVm,
    state: State,
    ring: WatchRing,
    applied: Offset,
    watched: BTreeMap<VmId, Watch>,
    listed: BTreeMap<Box<str>, bool>,
    list_read: Option<Instant>,
    log_read: Option<Instant>,
    last_tick: Option<Instant>,
    next_heartbeat: Option<Instant>,
    round: u64,
    max_peer_applied: Offset,
    rejoin_delay: Duration,
}

impl Membership {
    /// Creates the membership state of a VM that has not joined.
    pub fn new(info: LocalVm) -> Self {
        Self {
            info,
            state: State::Starting,
            ring: WatchRing::default(),
            applied: Offset::default(),
            watched: BTreeMap::new(),
            listed: BTreeMap::new(),
            list_read: None,
            log_read: None,
            last_tick: None,
            next_heartbeat: None,
            round: 0,
            max_peer_applied: Offset::default(),
            rejoin_delay: HEARTBEAT_INTERVAL,
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(
        &mut self,
        now: Instant,
        event: MembershipEvent,
        out: &mut Vec<MembershipAction>,
    ) {
        match event {
            MembershipEvent::Ready => self.ready(now, out),
            MembershipEvent::Roster { roster } => self.roster(&roster, out),
            MembershipEvent::Applied(offset) => self.applied(offset, out),
            MembershipEvent::LogRead { issued } => self.log_read = self.log_read.max(Some(issued)),
            MembershipEvent::HeartbeatReceived(heartbeat) => self.on_heartbeat(heartbeat, out),
            MembershipEvent::Unreachable(vm) => self.unreachable(&vm, out),
            MembershipEvent::Listed(list) => self.listed(now, list),
            MembershipEvent::Appended { offset, body } => self.appended(offset, &body, out),
            MembershipEvent::AppendFailed { body } => self.append_failed(now, &body),
            MembershipEvent::NewId(vm) => self.new_id(now, vm, out),
            MembershipEvent::Stopping => self.state = State::Stopping,
            MembershipEvent::Tick => self.tick(now, out),
        }
    }

    /// Returns this VM's id.
    pub fn vm(&self) -> &VmId {
        &self.info.join.vm
    }

    /// Returns whether this VM is in the roster, as far as it knows.
    pub fn is_member(&self) -> bool {
        self.state == State::Member
    }

    /// Returns the heartbeat that this VM sends in the given round.
    pub fn heartbeat(
        &self,
        round: u64,
        leaving: &[LeavingTarget],
        loads: &[(ServiceId, PeerLoad)],
    ) -> Heartbeat {
        Heartbeat {
            from: self.vm().clone(),
            applied: self.applied,
            leaving: rotate(leaving, round),
            loads: rotate(loads, round),
        }
    }

    fn ready(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        if self.state == State::Starting {
            self.state = State::Joining { not_before: None };
            self.join(now, out);
        }
    }

    fn join(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        let State::Joining { not_before } = self.state else {
            return;
        };
        if not_before.is_none_or(|earliest| now >= earliest) {
            self.state = State::JoinRequested { at: None };
            let join = Body::Join(self.info.join.clone());
            out.push(MembershipAction::Append(join));
        }
    }

    fn roster(&mut self, roster: &Roster, out: &mut Vec<MembershipAction>) {
        self.ring = WatchRing::new(roster);
        let present = roster.contains(self.vm());
        match self.state {
            State::Joining { .. } | State::JoinRequested { .. } if present => {
                self.state = State::Member;
                self.next_heartbeat = None;
            }
            State::Member if !present => self.displaced(out),
            _ => {}
        }
        self.update_watched(out);
        self.check_join(out);
    }

    /// Updates the watched VMs to the predecessors in the ring. VMs that were watched before keep
    /// their state.
    fn update_watched(&mut self, out: &mut Vec<MembershipAction>) {
        let mut old = std::mem::take(&mut self.watched);
        for (rank, vm) in self.ring.watched(&self.info.join.vm) {
            let mut watch = old.remove(vm).unwrap_or(Watch {
                rank,
                silence: Duration::ZERO,
                suspect: false,
                displace_requested: false,
            });
            watch.rank = rank;
            self.watched.insert(vm.clone(), watch);
        }
        let suspects = old.into_iter().filter(|(_, watch)| watch.suspect);
        out.extend(suspects.map(|(vm, _)| MembershipAction::Recovered(vm)));
    }

    fn displaced(&mut self, out: &mut Vec<MembershipAction>) {
        self.state = State::Displaced;
        out.push(MembershipAction::NeedNewId);
    }

    fn new_id(&mut self, now: Instant, vm: VmId, out: &mut Vec<MembershipAction>) {
        if self.state != State::Displaced {
            return;
        }
        self.info.join.vm = vm;
        self.state = State::Joining {
            not_before: Some(now + self.rejoin_delay),
        };
        self.rejoin_delay = (self.rejoin_delay * 2).min(MAX_REJOIN_DELAY);
        self.join(now, out);
    }

    fn applied(&mut self, offset: Offset, out: &mut Vec<MembershipAction>) {
        self.applied = self.applied.max(offset);
        self.check_join(out);
    }

    /// A `join` that the log acknowledged but that is not in the roster after it was applied was
    /// displaced at once. Its id cannot join again.
    fn check_join(&mut self, out: &mut Vec<MembershipAction>) {
        match self.state {
            State::JoinRequested { at: Some(at), .. } if self.applied > at => self.displaced(out),
            _ => {}
        }
    }

    fn appended(&mut self, offset: Offset, body: &Body, out: &mut Vec<MembershipAction>) {
        let own = matches!(body, Body::Join(join) if join.vm == self.info.join.vm);
        if let (true, State::JoinRequested { at, .. }) = (own, &mut self.state) {
            *at = Some(offset);
            self.check_join(out);
        }
    }

    fn append_failed(&mut self, now: Instant, body: &Body) {
        match body {
            Body::Join(join) if join.vm == self.info.join.vm => {
                if let State::JoinRequested { at: None, .. } = self.state {
                    let not_before = Some(now + HEARTBEAT_INTERVAL);
                    self.state = State::Joining { not_before };
                }
            }
            Body::Displace { vm, .. } => {
                if let Some(watch) = self.watched.get_mut(vm) {
                    watch.displace_requested = false;
                }
            }
            _ => {}
        }
    }

    fn on_heartbeat(&mut self, heartbeat: Heartbeat, out: &mut Vec<MembershipAction>) {
        if let Some(watch) = self.watched.get_mut(&heartbeat.from) {
            watch.silence = Duration::ZERO;
            watch.displace_requested = false;
            if std::mem::take(&mut watch.suspect) {
                out.push(MembershipAction::Recovered(heartbeat.from.clone()));
            }
        }
        if heartbeat.applied > self.applied && heartbeat.applied > self.max_peer_applied {
            self.max_peer_applied = heartbeat.applied;
            out.push(MembershipAction::PeerAhead {
                vm: heartbeat.from,
                applied: heartbeat.applied,
            });
        }
        if !heartbeat.leaving.is_empty() {
            out.push(MembershipAction::PeerLeaving(heartbeat.leaving));
        }
    }

    fn unreachable(&mut self, vm: &VmId, out: &mut Vec<MembershipAction>) {
        if let Some(watch) = self.watched.get_mut(vm)
            && !std::mem::replace(&mut watch.suspect, true)
        {
            out.push(MembershipAction::Suspect(vm.clone()));
        }
    }

    fn listed(&mut self, now: Instant, list: Vec<ListedVm>) {
        if list.is_empty() {
            return;
        }
        self.list_read = Some(now);
        let entries = list.into_iter().map(|vm| (vm.name, vm.live));
        self.listed = entries.collect();
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).min(MAX_TICK);
        self.join(now, out);
        self.check_join(out);
        // A peer that is ahead is reported again in each round until its records have arrived.
        if self.next_heartbeat.is_none_or(|at| now >= at) {
            self.max_peer_applied = self.applied;
            self.send_heartbeats(now, out);
        }
        self.check_silence(now, elapsed, out);
    }

    fn send_heartbeats(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        self.next_heartbeat = Some(now + HEARTBEAT_INTERVAL);
        self.round += 1;
        let own = &self.info.join.vm;
        let mut to: Vec<_> = self.ring.watchers(own).cloned().collect();
        let mut bytes = self.info.seed.to_le_bytes().to_vec();
        bytes.extend(self.round.to_le_bytes());
        let random = self.ring.pick(xxh3_64(&bytes), own);
        to.extend(random.filter(|vm| !to.contains(vm)).cloned());
        if !to.is_empty() {
            let round = self.round;
            out.push(MembershipAction::Heartbeat { to, round });
        }
    }

    fn check_silence(&mut self, now: Instant, elapsed: Duration, out: &mut Vec<MembershipAction>) {
        for watch in self.watched.values_mut() {
            watch.silence += elapsed;
        }
        let silent = |watch: &Watch| watch.silence >= DISPLACE_AFTER;
        let isolated = self.watched.len() > 1 && self.watched.values().all(silent);
        let list_current = self.list_read.is_some_and(|at| now < at + MAX_LIST_AGE);
        // A VM that cannot read the log would act on an outdated roster.
        let log_current = self.log_read.is_some_and(|issued| now < issued + LEASE);
        let may_displace = log_current && self.state == State::Member;
        let by = &self.info.join.vm;
        for (vm, watch) in &mut self.watched {
            if watch.silence >= SUSPECT_AFTER && !watch.suspect {
                watch.suspect = true;
                out.push(MembershipAction::Suspect(vm.clone()));
            }
            let delay = RANK_DELAY * u32::try_from(watch.rank).unwrap_or(u32::MAX);
            let live = self.listed.get(vm.vm_name()).copied().unwrap_or(false);
            let limit = match (list_current && !live, isolated) {
                (true, _) => DISPLACE_AFTER,
                (false, false) => DISPLACE_LISTED_AFTER,
                (false, true) => DISPLACE_LISTED_AFTER * 2,
            };
            if may_displace && !watch.displace_requested && watch.silence >= limit + delay {
                watch.displace_requested = true;
                let vm = vm.clone();
                let by = by.clone();
                out.push(MembershipAction::Append(Body::Displace { vm, by }));
            }
        }
    }
}
