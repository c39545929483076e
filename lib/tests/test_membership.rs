//! Tests of membership, with several VMs that share one log and exchange heartbeats directly.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use carobshore_lib::heartbeat::MAX_ENTRIES;
use carobshore_lib::heartbeat::rotate;
use carobshore_lib::membership::DISPLACE_AFTER;
use carobshore_lib::membership::DISPLACE_LISTED_AFTER;
use carobshore_lib::membership::MAX_TICK;
use carobshore_lib::membership::RANK_DELAY;
use carobshore_lib::prelude::*;
use carobshore_lib::record::Join;
use carobshore_lib::watch_ring::WATCHERS;
use carobshore_lib::watch_ring::WatchRing;
use carobshore_testutils::manual_clock::ManualClock;

use MembershipAction as Action;
use MembershipEvent as Event;

const STEP: Duration = Duration::from_millis(500);

fn join(name: &str) -> Join {
    Join {
        vm: format!("{name}.00000001").parse().unwrap(),
        domain: "north".parse().unwrap(),
        rpc: "127.0.0.1:1".parse().unwrap(),
        forward: "127.0.0.1:2".parse().unwrap(),
    }
}

/// VMs on one log, with conditions that the tests switch.
struct Group {
    clock: ManualClock,
    fold: ReplicatedState,
    vms: BTreeMap<VmId, Membership>,
    dead: BTreeSet<VmId>,
    paused: BTreeSet<VmId>,
    isolated_vms: BTreeSet<VmId>,
    listed_live: bool,
    log_up: bool,
    heartbeats: usize,
    displaced: Vec<(VmId, VmId, Duration)>,
}

impl Group {
    fn new(count: usize) -> Self {
        let mut group = Self {
            clock: ManualClock::default(),
            fold: ReplicatedState::default(),
            vms: BTreeMap::new(),
            dead: BTreeSet::new(),
            paused: BTreeSet::new(),
            isolated_vms: BTreeSet::new(),
            listed_live: true,
            log_up: true,
            heartbeats: 0,
            displaced: Vec::new(),
        };
        for n in 0..count {
            let join = join(&format!("vm-{n}"));
            let vm = join.vm.clone();
            let seed = n as u64;
            group
                .vms
                .insert(vm.clone(), Membership::new(LocalVm { join, seed }));
            group.handle(&vm, Event::Ready);
        }
        group.run(Duration::from_secs(3));
        group
    }

    fn ids(&self) -> Vec<VmId> {
        self.vms.keys().cloned().collect()
    }

    fn run(&mut self, time: Duration) {
        let end = self.clock.now() + time;
        while self.clock.now() < end {
            self.clock.advance(STEP);
            for vm in self.ids() {
                if self.dead.contains(&vm) || self.paused.contains(&vm) {
                    continue;
                }
                if self.log_up {
                    let issued = self.clock.now();
                    self.handle(&vm, Event::LogRead { issued });
                    let roster = self.fold.roster().clone();
                    self.handle(&vm, Event::Roster { roster });
                    self.handle(&vm, Event::Applied(self.fold.applied()));
                }
                self.handle(&vm, Event::Listed(self.list()));
                self.handle(&vm, Event::Tick);
            }
        }
    }

    fn list(&self) -> Vec<ListedVm> {
        let shown = |vm: &&VmId| self.listed_live || !self.dead.contains(*vm);
        let entry = |vm: &VmId| ListedVm {
            name: vm.vm_name().into(),
            domain: "north".parse().unwrap(),
            live: true,
        };
        self.vms.keys().filter(shown).map(entry).collect()
    }

    fn handle(&mut self, vm: &VmId, event: Event) {
        let mut out = Vec::new();
        let now = self.clock.now();
        // A VM that got a new id while it handles events processes later ones under that id in the
        // next step.
        let Some(membership) = self.vms.get_mut(vm) else {
            return;
        };
        membership.handle(now, event, &mut out);
        for action in out {
            self.execute(vm, action);
        }
    }

    fn execute(&mut self, vm: &VmId, action: Action) {
        match action {
            Action::Heartbeat { to, round } => {
                self.heartbeats += to.len();
                let heartbeat = self.vms[vm].heartbeat(round, &[], &[]);
                let reach = |peer: &VmId| {
                    !self.isolated_vms.contains(vm) && !self.isolated_vms.contains(peer)
                };
                let live = |peer: &VmId| self.vms.contains_key(peer) && !self.dead.contains(peer);
                let reached: Vec<_> = to
                    .into_iter()
                    .filter(|peer| reach(peer) && live(peer))
                    .collect();
                for peer in reached {
                    self.handle(&peer, Event::HeartbeatReceived(heartbeat.clone()));
                }
            }
            Action::Append(body) if self.log_up => {
                let offset = self.fold.applied();
                let id = format!("00000000-0000-4000-8000-{:012x}", offset.0)
                    .parse()
                    .unwrap();
                let record = Record {
                    id,
                    body: body.clone(),
                };
                let applied = self.fold.apply(offset, &record);
                if let (Body::Displace { vm, by }, ApplyOutcome::Applied) = (&body, applied) {
                    let at = self.clock.now() - self.start();
                    self.displaced.push((vm.clone(), by.clone(), at));
                }
                self.handle(vm, Event::Appended { offset, body });
            }
            Action::Append(body) => self.handle(vm, Event::AppendFailed { body }),
            Action::NeedNewId => {
                let name = vm.vm_name().to_owned();
                let incarnation = 2 + self.fold.applied().0 as u32;
                let id = VmId::with_incarnation(&name, incarnation).unwrap();
                let mut membership = self.vms.remove(vm).unwrap();
                let mut out = Vec::new();
                membership.handle(self.clock.now(), Event::NewId(id.clone()), &mut out);
                self.vms.insert(id.clone(), membership);
                for action in out {
                    self.execute(&id, action);
                }
            }
            _ => {}
        }
    }

    fn start(&self) -> std::time::Instant {
        self.clock.now()
            - self
                .clock
                .wall()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap()
            + Duration::from_secs(1_800_000_000)
    }
}

/// Guards against VMs that no other VM watches, and against work that grows with the number of VMs.
#[test]
fn every_vm_is_watched_by_three_at_constant_cost() {
    for count in [2, 3, 4, 16, 200] {
        let mut group = Group::new(count);
        let members = group.fold.roster().members.len();
        assert_eq!(members, count);
        let ring = WatchRing::new(group.fold.roster());
        let expected = WATCHERS.min(count - 1);
        for vm in group.ids() {
            let watchers: BTreeSet<_> = ring.watchers(&vm).cloned().collect();
            assert_eq!(watchers.len(), expected);
            assert!(!watchers.contains(&vm));
            for watcher in &watchers {
                assert!(ring.watched(watcher).any(|(_, watched)| *watched == vm));
            }
        }
        group.heartbeats = 0;
        group.run(Duration::from_secs(10));
        assert!(
            group.heartbeats <= 10 * count * (WATCHERS + 1),
            "{}",
            group.heartbeats
        );
        assert_eq!(group.displaced, []);
    }
}

/// Guards against a failed VM that keeps its keys, and against a displacement that relies on one
/// source of information only.
#[test]
fn a_silent_vm_is_displaced_early_only_if_the_list_agrees() {
    for (listed_live, earliest) in [(false, DISPLACE_AFTER), (true, DISPLACE_LISTED_AFTER)] {
        let mut group = Group::new(8);
        let victim = group.ids()[3].clone();
        group.listed_live = listed_live;
        group.dead.insert(victim.clone());
        let died = group.clock.now() - group.start();
        group.run(DISPLACE_LISTED_AFTER + Duration::from_secs(5));
        let [(vm, _, at)] = &group.displaced[..] else {
            panic!("expected exactly one displacement: {:?}", group.displaced);
        };
        assert_eq!(*vm, victim);
        let took = *at - died;
        let latest = earliest + RANK_DELAY * 2 + STEP * 2 + Duration::from_secs(1);
        assert!(took + STEP * 2 >= earliest && took <= latest, "{took:?}");
    }
}

/// Guards against displacements by a VM that cannot read the log, or that was paused and received
/// no heartbeats meanwhile, or that is isolated itself while the list shows the others as live.
#[test]
fn a_faulty_watcher_displaces_no_healthy_vm() {
    let mut group = Group::new(8);
    group.log_up = false;
    group.dead.insert(group.ids()[0].clone());
    group.run(Duration::from_secs(60));
    assert_eq!(group.displaced, []);

    let mut group = Group::new(8);
    let paused = group.ids()[0].clone();
    group.paused.insert(paused.clone());
    group.run(DISPLACE_AFTER - MAX_TICK);
    group.clock.advance(Duration::from_secs(4));
    group.paused.clear();
    group.run(Duration::from_secs(10));
    let by_paused = |(_, by, _): &&(VmId, VmId, Duration)| *by == paused;
    assert_eq!(group.displaced.iter().find(by_paused), None);

    let mut group = Group::new(8);
    let isolated = group.ids()[0].clone();
    group.isolated_vms.insert(isolated.clone());
    group.run(Duration::from_secs(25));
    assert!(!group.displaced.is_empty());
    for (vm, by, _) in &group.displaced {
        assert_eq!(*vm.vm_name(), *isolated.vm_name(), "displaced by {by}");
    }
}

/// Guards against a displaced VM that does not join again, or that joins again under its old id.
#[test]
fn a_wrongly_displaced_vm_joins_under_a_new_id() {
    let mut group = Group::new(8);
    let victim = group.ids()[3].clone();
    group.paused.insert(victim.clone());
    group.run(DISPLACE_LISTED_AFTER + Duration::from_secs(5));
    assert!(!group.fold.roster().contains(&victim));
    group.paused.clear();
    group.run(Duration::from_secs(5));
    assert!(!group.fold.roster().contains(&victim));
    let same_name = |vm: &&VmId| vm.vm_name() == victim.vm_name();
    let members = &group.fold.roster().members;
    assert_eq!(members.keys().filter(same_name).count(), 1);
}

/// Guards against a VM that waits for ever for a `join` that was displaced before the VM saw it,
/// and against a `join` that is lost in an outage.
#[test]
fn a_join_that_was_displaced_at_once_is_repeated_under_a_new_id() {
    let clock = ManualClock::default();
    let join = join("vm-0");
    let body = Body::Join(join.clone());
    let mut membership = Membership::new(LocalVm { join, seed: 0 });
    let handle = |membership: &mut Membership, event| {
        let mut out = Vec::new();
        membership.handle(clock.now(), event, &mut out);
        out
    };
    assert_eq!(
        handle(&mut membership, Event::Ready),
        [Action::Append(body.clone())]
    );
    let failed = Event::AppendFailed { body: body.clone() };
    assert_eq!(handle(&mut membership, failed), []);
    clock.advance(Duration::from_secs(1));
    assert_eq!(
        handle(&mut membership, Event::Tick),
        [Action::Append(body.clone())]
    );
    let offset = Offset(7);
    assert_eq!(
        handle(&mut membership, Event::Appended { offset, body }),
        []
    );
    let roster = Roster::default();
    assert_eq!(handle(&mut membership, Event::Roster { roster }), []);
    let applied = Event::Applied(Offset(8));
    assert_eq!(handle(&mut membership, applied), [Action::NeedNewId]);
}

/// Guards against a VM that does not notice that a peer has newer records or has recovered.
#[test]
fn heartbeats_report_offsets_and_recovery() {
    let mut group = Group::new(4);
    let (own, peer) = (group.ids()[0].clone(), group.ids()[1].clone());
    let mut membership = group.vms.remove(&own).unwrap();
    let mut handle = |event| {
        let mut out = Vec::new();
        membership.handle(group.clock.now(), event, &mut out);
        out
    };
    assert_eq!(
        handle(Event::Unreachable(peer.clone())),
        [Action::Suspect(peer.clone())]
    );
    let mut heartbeat = group.vms[&peer].heartbeat(1, &[], &[]);
    let heard = Event::HeartbeatReceived(heartbeat.clone());
    assert_eq!(handle(heard.clone()), [Action::Recovered(peer.clone())]);
    assert_eq!(handle(heard), [], "a duplicate changes nothing");
    heartbeat.applied = heartbeat.applied.next();
    let ahead = Action::PeerAhead {
        vm: peer,
        applied: heartbeat.applied,
    };
    assert_eq!(handle(Event::HeartbeatReceived(heartbeat.clone())), [ahead]);
    assert_eq!(
        handle(Event::HeartbeatReceived(heartbeat)),
        [],
        "reported once per round"
    );
}

/// Guards against heartbeats that grow with the number of services, and against list entries that
/// are never sent.
#[test]
fn long_lists_are_rotated_over_the_rounds() {
    for len in [0, 1, MAX_ENTRIES, MAX_ENTRIES + 1, 10 * MAX_ENTRIES + 3] {
        let items: Vec<_> = (0..len).collect();
        let rounds = 7..7 + len.div_ceil(MAX_ENTRIES).max(1) as u64;
        let sent: Vec<_> = rounds.map(|round| rotate(&items, round)).collect();
        assert!(sent.iter().all(|part| part.len() <= MAX_ENTRIES));
        let seen: BTreeSet<_> = sent.into_iter().flatten().collect();
        assert_eq!(seen.len(), len);
    }
}
