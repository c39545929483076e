//! A few entry VMs, targets, callers and the platform, driven by one queue of events.
//!
//! The fakes sit at the interfaces of the decision modules. They are no model of a network: a
//! message takes a fixed time unless an injected fault changes that.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use carobshore_lib::log_page::LogPage;
use carobshore_lib::prelude::*;
use carobshore_lib::record::Confirm;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::keys::key_at;
use crate::sim_control::SimVm;
use crate::sim_data::Forward;
use crate::sim_fault::Cell;
use crate::sim_fault::Fault;
use crate::sim_fault::Step;
use crate::sim_platform::FakeList;
use crate::sim_platform::FakeLog;
use crate::sim_platform::FakeTarget;
use crate::sim_record::Call;
use crate::sim_record::Delivery;
use crate::sim_record::LeavingPeriod;
use crate::sim_record::Records;
use crate::sim_record::RequestKind;
use crate::sim_record::Response;

/// The time that a message takes.
pub const MESSAGE_DELAY: Duration = Duration::from_millis(1);

/// A deliberately wrong rule that the fault matrix has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrongRule {
    /// Sends a run-once request again after its connection broke.
    ResendBroken,
    /// Takes keys over at once, without the wait for the previous owner's lease.
    NoTakeoverWait,
    /// Never checks the read lease.
    NoLease,
    /// Never compares a key's age with the ownership.
    NoHistory,
    /// Reuses a connection whose response did not come in time.
    ReuseTimedOut,
    /// Relays a truncated response as complete.
    RelayTruncated,
    /// Claims "not run" when a connection breaks.
    ClaimNotRun,
    /// Sends work to leaving targets.
    IgnoreLeaving,
    /// Exits on the first signal.
    ExitAtOnce,
    /// Writes run-once requests to any open connection.
    NoFreshness,
    /// Serves an older configuration now and then.
    ServeOld,
}

type Task = Box<dyn FnOnce(&mut World)>;

struct Scheduled {
    at: Duration,
    number: u64,
    task: Task,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// The whole simulated installation.
pub struct World {
    /// Simulated time since the start.
    pub now: Duration,
    /// The seeded random generator for every choice.
    pub rng: StdRng,
    /// The wrong rule that the VMs follow, if any.
    pub wrong: Option<WrongRule>,
    /// What callers, targets and the log observed.
    pub records: Records,
    /// The log.
    pub log: FakeLog,
    /// The list of VMs and targets.
    pub list: FakeList,
    /// The targets.
    pub targets: Vec<FakeTarget>,
    /// Every run of an entry VM, also those that have ended.
    pub vms: Vec<SimVm>,
    /// The fault to inject.
    pub cell: Option<Cell>,
    /// How many of the next deliveries also reach another VM.
    pub repeat_deliveries: u32,
    /// How many of the next heartbeats arrive twice.
    pub repeat_heartbeats: u32,
    /// Forwarded requests in flight, by the sender with its call and attempt.
    pub(crate) forwards: BTreeMap<(usize, u64, AttemptId), Forward>,
    /// The trace of events, if one is kept.
    pub trace: Option<Vec<String>>,
    /// The simulated service.
    pub service: ServiceId,
    base: Instant,
    wall: SystemTime,
    queue: BinaryHeap<Scheduled>,
    last: u64,
}

impl World {
    /// Builds three VMs and three targets. Calls may start at [`World::warmup_end`].
    pub fn new(seed: u64, wrong: Option<WrongRule>) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            wrong,
            records: Records::default(),
            log: FakeLog::default(),
            list: FakeList::default(),
            targets: (0..3).map(|_| FakeTarget::default()).collect(),
            vms: Vec::new(),
            cell: None,
            repeat_deliveries: 0,
            repeat_heartbeats: 0,
            forwards: BTreeMap::new(),
            trace: None,
            service: "stage".parse().unwrap(),
            base: Instant::now(),
            wall: UNIX_EPOCH + Duration::from_secs(1_800_000_000),
            queue: BinaryHeap::new(),
            last: 0,
        };
        let service = world.service.clone();
        let mut changes = vec![Change::AddService {
            service,
            measuring: TargetTime(0),
            connections: 220,
        }];
        changes.extend((0..3).map(|target| world.add_target(target)));
        world.publish_and_confirm(changes, 0, |_, _| {});
        for n in 0..3 {
            world.start_vm(&format!("vm-{n}"), n);
        }
        world
    }

    /// Returns whether the VMs follow a wrong rule.
    pub(crate) fn follows(&self, rule: WrongRule) -> bool {
        self.wrong == Some(rule)
    }

    /// Returns the time by which all VMs own their keys.
    pub fn warmup_end() -> Duration {
        Duration::from_secs(17)
    }

    /// Runs until the given time.
    pub fn run_until(&mut self, end: Duration) {
        while self.queue.peek().is_some_and(|next| next.at <= end) {
            let next = self.queue.pop().unwrap();
            self.now = next.at;
            (next.task)(self);
        }
        self.now = end;
    }

    /// Schedules a task.
    pub fn after(&mut self, delay: Duration, task: impl FnOnce(&mut Self) + 'static) {
        let number = self.next_id();
        let at = self.now + delay;
        let task = Box::new(task);
        self.queue.push(Scheduled { at, number, task });
    }

    /// Schedules a task on a VM: it waits while the VM is paused and is dropped when the VM ended.
    pub fn on_vm(&mut self, vm: usize, delay: Duration, task: impl FnOnce(&mut Self) + 'static) {
        self.after(delay, move |world| {
            let (alive, until) = (world.vms[vm].alive, world.vms[vm].paused_until);
            if !alive {
                return;
            }
            if world.now < until {
                let rest = until - world.now;
                world.on_vm(vm, rest, task);
                return;
            }
            task(world);
        });
    }

    /// Returns a number that was not used before.
    pub fn next_id(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Returns a random time up to a bound.
    pub fn random_time(&mut self, bound: Duration) -> Duration {
        let millis = u64::try_from(bound.as_millis()).unwrap();
        Duration::from_millis(self.rng.random_range(0..=millis))
    }

    /// Returns the VM's monotonic clock at a simulated time.
    pub fn instant(&self, vm: usize, at: Duration) -> Instant {
        self.base + at.mul_f64(self.vms[vm].rate)
    }

    /// Returns the monotonic clock of a VM that starts now.
    pub(crate) fn instant_at_rate(&self, rate: f64) -> Instant {
        self.base + self.now.mul_f64(rate)
    }

    /// Returns the VM's clocks: wall time, which is read first, and monotonic time.
    pub fn clocks(&self, vm: usize) -> (SystemTime, Instant) {
        let now = self.now.mul_f64(self.vms[vm].rate);
        let offset = self.vms[vm].wall_offset;
        let step = Duration::from_millis(offset.unsigned_abs());
        let wall = self.wall + now;
        let wall = if offset < 0 { wall - step } else { wall + step };
        (wall, self.base + now)
    }

    /// Adds an event to the trace, if one is kept.
    pub fn trace_event(&mut self, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>9.3} {}", self.now.as_secs_f64(), text()));
        }
    }

    /// Traces a step and injects the cell's fault when its step is first reached after it is armed.
    pub fn reach_step(&mut self, step: Step, vm: usize, target: Option<usize>) {
        self.trace_event(|| format!("{step:?} vm {vm} target {target:?}"));
        if let Some(cell) = self
            .cell
            .filter(|cell| cell.step == step && self.now >= cell.armed)
        {
            self.cell = None;
            self.inject_cell(cell, vm, target);
        }
    }

    /// Returns the VMs that run, not counting those that are stopping.
    pub fn alive(&self) -> Vec<usize> {
        let vms = self.vms.iter().enumerate();
        let alive = vms.filter(|(_, vm)| vm.alive && !vm.stop.is_stopping());
        alive.map(|(n, _)| n).collect()
    }

    /// Schedules calls at a steady rate.
    pub fn schedule_calls(
        &mut self,
        from: Duration,
        every: Duration,
        count: u32,
        keyed_only: bool,
    ) {
        for n in 0..count {
            let start = from + every * n;
            self.after(start.saturating_sub(self.now), move |world| {
                world.call(keyed_only);
            });
        }
    }

    fn call(&mut self, keyed_only: bool) {
        let kind = match self.rng.random_range(0..10) {
            0..3 if !keyed_only => RequestKind::Repeatable,
            3..5 if !keyed_only => RequestKind::Once,
            _ => RequestKind::Keyed,
        };
        let skew = self.random_time(Duration::from_millis(1_900));
        let truth = self.wall + self.now;
        let ahead = self.rng.random_bool(0.5);
        let created = if ahead { truth + skew } else { truth - skew };
        let call = self.records.calls.len();
        let key = key_at(created, call as u64);
        self.records.calls.push(Call {
            kind,
            key,
            created,
            sends: 4,
        });
        self.send(call);
        if kind == RequestKind::Keyed && self.rng.random_bool(0.4) {
            let delays = [0, 0, 5, 30, 300, 2_000, 12_000, 16_000, 25_000];
            let delay = delays[self.rng.random_range(0..delays.len())];
            self.after(Duration::from_millis(delay), move |world| world.send(call));
        }
    }

    /// Sends a call to a random VM.
    pub fn send(&mut self, call: usize) {
        let stopping = |vm: &SimVm| vm.stop.is_stopping() && vm.stop.is_accepting();
        let vms = self.vms.iter().enumerate();
        let open = vms.filter(|(_, vm)| vm.alive && (!vm.stop.is_stopping() || stopping(vm)));
        let open: Vec<_> = open.map(|(n, _)| n).collect();
        if open.is_empty() || self.records.calls[call].sends == 0 {
            return;
        }
        let vm = open[self.rng.random_range(0..open.len())];
        self.deliver(call, vm);
        if self.repeat_deliveries > 0 && self.records.calls[call].kind == RequestKind::Keyed {
            self.repeat_deliveries -= 1;
            let other = open[self.rng.random_range(0..open.len())];
            self.deliver(call, other);
        }
    }

    fn deliver(&mut self, call: usize, vm: usize) {
        self.records.calls[call].sends = self.records.calls[call].sends.saturating_sub(1);
        let caller_timeout = Duration::from_secs(3) + self.random_time(Duration::from_secs(17));
        let delivery = self.records.deliveries.len();
        self.records.deliveries.push(Delivery {
            call,
            vm,
            at: self.now,
            deadline: self.now + caller_timeout,
            arrived: false,
            replied: false,
            response: None,
        });
        self.trace_event(|| format!("call {call} delivery {delivery}"));
        self.reach_step(Step::Deliver, vm, None);
        self.on_vm(vm, MESSAGE_DELAY, move |world| {
            world.on_request(vm, delivery, None);
        });
    }

    /// Records the response that a caller received. The caller retries where that is safe.
    pub(crate) fn on_response(&mut self, delivery: usize, response: Response) {
        let record = &mut self.records.deliveries[delivery];
        if record.response.is_some() {
            return;
        }
        let (call, outcome) = (record.call, response.outcome);
        record.response = Some(response);
        let vm = record.vm;
        self.trace_event(|| format!("call {call} delivery {delivery} got {response:?}"));
        self.reach_step(Step::Answer, vm, None);
        let again = match self.records.calls[call].kind {
            RequestKind::Repeatable | RequestKind::Keyed => outcome != Some(Outcome::Whole),
            RequestKind::Once => outcome == Some(Outcome::NotRun),
        };
        if again {
            let delay = Duration::from_millis(300) + self.random_time(Duration::from_secs(1));
            self.after(delay, move |world| world.send(call));
        }
    }

    /// Injects random faults until the given time, with planned stops and drains among them.
    pub fn inject_random_faults(&mut self, until: Duration) {
        let pause = Duration::from_secs(4) + self.random_time(Duration::from_secs(12));
        if self.now + pause > until {
            return;
        }
        self.after(pause, move |world| {
            let alive = world.alive();
            match world.rng.random_range(0..Fault::ALL.len() + 2) {
                0 if alive.len() > 2 => {
                    let (vm, run) = (alive[0], world.vms.len());
                    let domain = world.vms[vm].domain;
                    world.stop_vm(vm);
                    world.start_vm(&format!("vm-{run}"), domain);
                }
                1 => world.drain_by_intent(0),
                n => world.inject_somewhere(Fault::ALL[n.saturating_sub(2)]),
            }
            world.inject_random_faults(until);
        });
    }

    /// Returns the change that adds a target, or adds it again after it left.
    pub fn add_target(&self, target: usize) -> Change {
        Change::AddTarget {
            service: self.service.clone(),
            target: Self::target_id(target),
            addr: Self::addr(target),
            domain: format!("d{target}").parse().unwrap(),
            slots: Slots::try_from(2).unwrap(),
        }
    }

    /// Returns the address of a target.
    pub fn addr(target: usize) -> std::net::SocketAddr {
        std::net::SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::try_from(target).unwrap()))
    }

    /// Returns the id of a target.
    pub fn target_id(target: usize) -> TargetId {
        format!("t{target}").parse().unwrap()
    }

    /// Returns the number of a target.
    pub fn target_number(id: &TargetId) -> usize {
        id.as_str()[1..].parse().unwrap()
    }

    /// Publishes and confirms a change as an operator does, and tries again while the log is down.
    pub fn publish_and_confirm(
        &mut self,
        changes: Vec<Change>,
        tries: u32,
        done: impl FnOnce(&mut Self, Duration) + 'static,
    ) {
        if !self.log.is_up(self.now) {
            if tries < 100 {
                self.after(Duration::from_secs(1), move |world| {
                    world.publish_and_confirm(changes, tries + 1, done);
                });
            }
            return;
        }
        let state = self.log.replay();
        let operator: OperatorId = "morning".parse().unwrap();
        let note = "".into();
        let intent = Intent {
            operator: operator.clone(),
            note,
            changes,
        };
        let Ok(plan) = Plan::new(state.config(), &intent) else {
            return;
        };
        let published = self.record(Body::Intent(intent));
        self.append_as_operator(&published);
        self.reach_step(Step::Intent, 0, None);
        let confirm = self.record(Body::Confirm(Confirm {
            operator,
            intent: published.id,
            digest: plan.digest(),
            bases: plan.bases().clone(),
        }));
        self.after(Duration::from_millis(500), move |world| {
            world.confirm(confirm, 0, done);
        });
    }

    fn confirm(
        &mut self,
        confirm: Record,
        tries: u32,
        done: impl FnOnce(&mut Self, Duration) + 'static,
    ) {
        if !self.log.is_up(self.now) {
            if tries < 100 {
                self.after(Duration::from_secs(1), move |world| {
                    world.confirm(confirm, tries + 1, done);
                });
            }
            return;
        }
        let before = self.log.replay().config().clone();
        self.append_as_operator(&confirm);
        let after = self.log.replay().config().clone();
        if after == before {
            // Another confirm came first, so this plan is outdated and has no effect.
            return;
        }
        let version = after.services[&self.service].version;
        self.records.confirmed.push((self.now, version));
        self.trace_event(|| format!("confirmed {version}"));
        done(self, self.now);
        self.reach_step(Step::Confirm, 0, None);
    }

    /// Appends a record; when the answer is lost, the operator sends it again.
    fn append_as_operator(&mut self, record: &Record) {
        self.log.append(self.now, record);
        if self.log.lost_answers > 0 {
            self.log.lost_answers -= 1;
            self.log.append(self.now, record);
        }
    }

    /// Marks a target as leaving by a confirmed intent, and takes it back later.
    pub fn drain_by_intent(&mut self, target: usize) {
        let leave = Change::MarkLeaving {
            service: self.service.clone(),
            target: Self::target_id(target),
        };
        self.publish_and_confirm(vec![leave], 0, move |world, at| {
            world.record_leaving(target, at, true);
            world.after(Duration::from_secs(8), move |world| world.take_back(target));
        });
    }

    /// Takes a leaving target back under a new generation.
    pub fn take_back(&mut self, target: usize) {
        let add = self.add_target(target);
        self.publish_and_confirm(vec![add], 0, move |world, at| {
            world.targets[target].drains = false;
            world.list.change(at, |list| list.leaving.remove(&target));
            let open =
                |period: &&mut LeavingPeriod| period.target == target && period.until.is_none();
            for period in world.records.leaving_periods.iter_mut().filter(open) {
                period.until = Some(at);
            }
            world.reach_step(Step::TakenBack, 0, Some(target));
        });
    }

    /// Records the first valid sign that a target is leaving.
    pub fn record_leaving(&mut self, target: usize, at: Duration, log_only: bool) {
        self.records.leaving_periods.push(LeavingPeriod {
            target,
            at,
            log_only,
            until: None,
        });
    }

    /// Builds a record with a new id.
    pub fn record(&mut self, body: Body) -> Record {
        let id = format!("00000000-0000-4000-8000-{:012x}", self.next_id());
        Record {
            id: id.parse().unwrap(),
            body,
        }
    }

    /// Returns whether the log answers a VM.
    pub(crate) fn reaches_log(&self, vm: usize) -> bool {
        self.log.is_up(self.now) && self.now >= self.vms[vm].isolated_until
    }

    /// Reads the log for a VM; `then` gets the page, or `None` when the log does not answer.
    pub(crate) fn read_log(
        &mut self,
        vm: usize,
        from: Offset,
        max: u32,
        then: impl FnOnce(&mut Self, Option<LogPage>) + 'static,
    ) {
        let delay = self.log.delay(self.now);
        self.after(delay, move |world| {
            if !world.reaches_log(vm) {
                world.on_vm(vm, Duration::from_secs(1), move |world| then(world, None));
                return;
            }
            let page = world.log.page(from, max);
            let delay = world.log.delay(world.now);
            world.on_vm(vm, delay, move |world| then(world, Some(page)));
        });
    }
}
