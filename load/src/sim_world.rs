//! A discrete-event simulation that drives the daemon's decision structs.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::AttemptResult;
use carobshore_lib::prelude::Call;
use carobshore_lib::prelude::CallerId;
use carobshore_lib::prelude::Homes;
use carobshore_lib::prelude::HomesSettings;
use carobshore_lib::prelude::Policy;
use carobshore_lib::prelude::PoolAction;
use carobshore_lib::prelude::PoolEvent;
use carobshore_lib::prelude::Roster;
use carobshore_lib::prelude::RoutingDecision;
use carobshore_lib::prelude::Service;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::Ticket;
use carobshore_lib::prelude::TicketId;
use carobshore_lib::prelude::VmId;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::sim_conditions::Conditions;
use crate::sim_event::Event;
use crate::sim_event::Sending;
use crate::sim_queue::EventQueue;
use crate::sim_result::SimResult;
use crate::sim_result::largest_window;
use crate::sim_setup;
use crate::sim_spec::SimSpec;
use crate::sim_spec::WARM_UP;
use crate::sim_target::AttemptRef;
use crate::sim_target::SimTarget;
use crate::sim_vm::PoolId;
use crate::sim_vm::PoolKind;
use crate::sim_vm::SimVm;
use crate::sim_workload::Job;

/// How long a caller waits.
pub(crate) const DEADLINE: Duration = Duration::from_secs(10);

/// After this time a connection attempt to a machine that is gone fails.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// After this time a connection to a machine that is gone counts as broken.
pub(crate) const BREAK_TIMEOUT: Duration = Duration::from_secs(1);

/// Where an attempt is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    /// The target.
    pub(crate) target: usize,
    /// The request, or none for a probe.
    pub(crate) sending: Option<Sending>,
}

/// A request that has no answer yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Open {
    /// The number of the last sending.
    pub(crate) number: u8,
    /// The VMs that the request passed, from its entry VM on.
    pub(crate) path: Vec<usize>,
    /// Attempts of the last sending that have not ended.
    pub(crate) attempts: u8,
}

/// The state of a simulation.
pub(crate) struct World<'a> {
    pub(crate) spec: &'a SimSpec,
    pub(crate) jobs: &'a [Job],
    pub(crate) conditions: Conditions,
    pub(crate) events: EventQueue<Event>,
    pub(crate) base: Instant,
    pub(crate) random: StdRng,
    pub(crate) service: Service,
    pub(crate) roster: Roster,
    pub(crate) homes: Homes,
    pub(crate) vms: Vec<SimVm>,
    pub(crate) numbers: HashMap<VmId, usize>,
    pub(crate) targets: Vec<SimTarget>,
    pub(crate) target_ids: Vec<TargetId>,
    pub(crate) open: HashMap<usize, Open>,
    pub(crate) places: HashMap<AttemptRef, Place>,
    pub(crate) costs: Vec<(Duration, Duration)>,
    pub(crate) slot_costs: Vec<(Duration, Duration)>,
    /// The places of the probes that run in `slot_costs`.
    pub(crate) probing: HashMap<AttemptRef, usize>,
    pub(crate) result: SimResult,
}

/// Runs the jobs through the decision structs of all entry VMs.
pub fn run(spec: &SimSpec, policy: Policy, jobs: &[Job]) -> SimResult {
    let mut world = World::new(spec, policy, jobs);
    world.start();
    let end = spec.end() + DEADLINE + BREAK_TIMEOUT;
    while let Some(event) = world.events.pop() {
        if world.events.now() > end {
            break;
        }
        world.apply(event);
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(spec: &'a SimSpec, policy: Policy, jobs: &'a [Job]) -> Self {
        let addr = sim_setup::any_addr();
        let service = sim_setup::service(spec, addr);
        let roster = sim_setup::roster(spec, addr, |_| true);
        let homes_settings = HomesSettings {
            per_domain: spec.homes_per_domain,
        };
        let homes = Homes::assign(&sim_setup::service_id(), &service, &roster, &homes_settings);
        let base = Instant::now();
        let new_vm = |index| SimVm::new(index, spec, policy, base);
        Self {
            spec,
            jobs,
            conditions: Conditions::new(spec),
            events: EventQueue::default(),
            base,
            random: StdRng::seed_from_u64(spec.seed ^ 0xd1ce),
            service,
            roster,
            homes,
            vms: (0..spec.size.vms).map(new_vm).collect(),
            numbers: (0..spec.size.vms)
                .map(|index| (sim_setup::vm_id(index), index))
                .collect(),
            targets: vec![SimTarget::new(spec.size.slots); spec.size.targets],
            target_ids: (0..spec.size.targets).map(sim_setup::target_id).collect(),
            open: HashMap::new(),
            places: HashMap::new(),
            costs: Vec::new(),
            slot_costs: Vec::new(),
            probing: HashMap::new(),
            result: SimResult::default(),
        }
    }

    fn finish(mut self) -> SimResult {
        let jobs = self.jobs;
        let counted = |job: &&usize| jobs[**job].at >= WARM_UP;
        self.result.open = self.open.keys().filter(counted).count() as u64;
        for vm in &self.vms {
            let [spilled, hedges, probes] = vm.counts();
            self.result.spilled += spilled;
            self.result.hedges += hedges;
            self.result.probes += probes;
        }
        self.result.measured = largest_window(&self.costs);
        self.result.measured_slots = largest_window(&self.slot_costs);
        self.result
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Forwarded {
                sending,
                vm,
                spilled,
            } => self.forwarded(sending, vm, spilled),
            Event::Unreachable {
                sending,
                from,
                to,
                spilled,
            } => {
                self.unreachable(sending, from, to, spilled);
            }
            Event::GiveUp(sending) => self.give_up(sending),
            Event::AtTarget(attempt) => self.at_target(attempt),
            Event::Served(attempt) => self.served(attempt),
            Event::Response {
                attempt,
                in_flight,
                queued,
                drains,
            } => {
                self.response(attempt, in_flight, queued, drains);
            }
            Event::Failed { attempt, result } => self.failed(attempt, result),
            Event::Cancelled { attempt, target } => {
                self.targets[target].cancel(attempt);
                self.cut_cost(attempt);
                self.serve(target);
            }
            Event::Returned {
                sending,
                hop,
                from,
                load,
            } => {
                self.returned(sending, hop, from, load);
            }
            Event::Heartbeat { from, to, load } => self.learn(to, from, load),
            Event::Tick(pool) => self.tick(pool),
            other => self.surroundings(other),
        }
    }

    /// Returns the time as the decision structs see it.
    pub(crate) fn instant(&self) -> Instant {
        self.base + self.events.now()
    }

    /// Returns whether a VM or target exists now.
    pub(crate) fn exists(&self, index: usize) -> bool {
        self.conditions.exists(index, self.events.now())
    }

    fn arrive(&mut self, job: usize) {
        let vms = self.spec.size.vms;
        let mut entries = (0..vms).map(|step| (self.jobs[job].entry + step) % vms);
        let Some(entry) = entries.find(|vm| self.exists(*vm)) else {
            return;
        };
        self.open.insert(job, Open::default());
        self.route(Sending { job, number: 0 }, entry);
    }

    /// Routes a request at its entry VM.
    pub(crate) fn route(&mut self, sending: Sending, entry: usize) {
        let now = self.instant();
        if let Some(open) = self.open.get_mut(&sending.job) {
            open.path = vec![entry];
        }
        let call = Call {
            key: None,
            forwarded: false,
        };
        match self.vms[entry].router.route(now, &call) {
            RoutingDecision::Local => self.submit(sending, entry, PoolKind::Owned, false),
            RoutingDecision::Fallback => self.submit(sending, entry, PoolKind::Shared, false),
            RoutingDecision::Forward { vm } => self.forward(sending, entry, &vm, false),
            RoutingDecision::Refuse { .. } => self.reject(sending),
        }
    }

    fn forward(&mut self, sending: Sending, from: usize, vm: &VmId, spilled: bool) {
        let to = self.numbers[vm];
        if self.exists(to) {
            let event = Event::Forwarded {
                sending,
                vm: to,
                spilled,
            };
            self.events.push(self.spec.size.delay(from, to), event);
        } else {
            let event = Event::Unreachable {
                sending,
                from,
                to,
                spilled,
            };
            self.events.push(CONNECT_TIMEOUT, event);
        }
    }

    fn forwarded(&mut self, sending: Sending, vm: usize, spilled: bool) {
        let now = self.instant();
        let Some(open) = self.open.get_mut(&sending.job) else {
            return;
        };
        if open.number != sending.number || !self.conditions.exists(vm, now - self.base) {
            return;
        }
        open.path.push(vm);
        let call = Call {
            key: None,
            forwarded: true,
        };
        match self.vms[vm].router.route(now, &call) {
            RoutingDecision::Local => self.submit(sending, vm, PoolKind::Owned, spilled),
            _ => self.submit(sending, vm, PoolKind::Shared, spilled),
        }
    }

    fn unreachable(&mut self, sending: Sending, from: usize, to: usize, spilled: bool) {
        let now = self.instant();
        let gone = self.vms[to].id.clone();
        self.vms[from].router.unreachable(now, &gone);
        let is_current = self.open.get(&sending.job).map(|open| open.number);
        if is_current != Some(sending.number) {
            return;
        }
        if spilled {
            // The home takes the request back and does not pass it on again.
            self.submit(sending, from, PoolKind::Owned, true);
        } else {
            self.route(sending, from);
        }
    }

    /// Hands a request to a pool.
    pub(crate) fn submit(&mut self, sending: Sending, vm: usize, kind: PoolKind, spilled: bool) {
        let job = self.jobs[sending.job];
        let ticket = Ticket {
            id: ticket_id(sending),
            caller: CallerId(job.caller),
            deadline: self.base + job.at + DEADLINE,
            repeatable: job.idempotent,
            spilled,
            retry: sending.number > 0,
        };
        self.pool(PoolId { vm, kind }, PoolEvent::Submit(ticket));
    }

    /// Tells a pool about an event and does what it asks for.
    pub(crate) fn pool(&mut self, pool: PoolId, event: PoolEvent) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let now = self.instant();
            self.vms[pool.vm]
                .pool(pool.kind)
                .handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.act(pool, action));
            }
        }
        self.schedule_tick(pool);
    }

    /// Schedules the next tick of a pool.
    pub(crate) fn schedule_tick(&mut self, pool: PoolId) {
        let base = self.base;
        let wakeup = self.vms[pool.vm].pool(pool.kind).wakeup();
        let Some(at) = wakeup.map(|at| at.saturating_duration_since(base)) else {
            return;
        };
        let at = at.max(self.events.now());
        let tick = self.vms[pool.vm].tick(pool.kind);
        if tick.is_none_or(|scheduled| at < scheduled) {
            *tick = Some(at);
            self.events.push_at(at, Event::Tick(pool));
        }
    }

    fn tick(&mut self, pool: PoolId) {
        let now = self.events.now();
        let tick = self.vms[pool.vm].tick(pool.kind);
        if *tick == Some(now) && self.conditions.exists(pool.vm, now) {
            *tick = None;
            self.pool(pool, PoolEvent::Tick);
        }
    }

    /// Does what a pool asks for; returns an event that follows at once.
    pub(crate) fn act(&mut self, pool: PoolId, action: PoolAction) -> Option<PoolEvent> {
        match action {
            PoolAction::Start {
                ticket,
                attempt,
                target,
            }
            | PoolAction::Hedge {
                ticket,
                attempt,
                target,
            } => {
                let sending = sending_of(ticket);
                if let Some(open) = self.open.get_mut(&sending.job) {
                    open.attempts += 1;
                }
                self.send(AttemptRef { pool, id: attempt }, &target, Some(sending));
            }
            PoolAction::Probe { attempt, target } => {
                self.costs.push((self.events.now(), self.spec.size.probe));
                self.send(AttemptRef { pool, id: attempt }, &target, None);
            }
            PoolAction::Reject { ticket, .. } => self.reject(sending_of(ticket)),
            PoolAction::Spill { ticket, vm } => {
                self.forward(sending_of(ticket), pool.vm, &vm, true);
            }
            PoolAction::Cancel { attempt: id } => {
                let attempt = AttemptRef { pool, id };
                let place = self.places.remove(&attempt)?;
                let target = place.target;
                let delay = self.spec.size.delay(pool.vm, target);
                self.events
                    .push(delay, Event::Cancelled { attempt, target });
                self.end_attempt(place.sending);
                let result = AttemptResult::Cancelled;
                return Some(PoolEvent::Finished {
                    attempt: id,
                    result,
                });
            }
        }
        None
    }

    fn send(&mut self, attempt: AttemptRef, target: &TargetId, sending: Option<Sending>) {
        let now = self.events.now();
        let Some(target) = self.target_ids.iter().position(|id| id == target) else {
            return;
        };
        self.places.insert(attempt, Place { target, sending });
        if sending.is_some() && self.conditions.is_draining(target, now) {
            let begin = self
                .conditions
                .episodes()
                .iter()
                .rev()
                .find(|episode| episode.from <= now);
            let delay = begin.map_or(Duration::ZERO, |episode| now - episode.from);
            self.result.drain_delay = self.result.drain_delay.max(delay);
        }
        if self.exists(target) {
            let delay = self.spec.size.delay(attempt.pool.vm, target);
            self.events.push(delay, Event::AtTarget(attempt));
        } else {
            let result = AttemptResult::ConnectFailed;
            self.events
                .push(CONNECT_TIMEOUT, Event::Failed { attempt, result });
        }
    }

    fn at_target(&mut self, attempt: AttemptRef) {
        let Some(place) = self.places.get(&attempt).copied() else {
            return;
        };
        self.targets[place.target].push(attempt);
        self.serve(place.target);
    }

    fn serve(&mut self, target: usize) {
        let now = self.events.now();
        while let Some(attempt) = self.targets[target].start() {
            let place = self.places.get(&attempt).copied();
            let sending = place.and_then(|place| place.sending);
            // A second copy is as much work as the first one.
            let work = sending.map_or(self.spec.size.probe, |sending| self.jobs[sending.job].work);
            let took = self.conditions.service_time(target, now, work);
            if sending.is_none() {
                self.probing.insert(attempt, self.slot_costs.len());
                self.slot_costs.push((now, took));
            }
            self.events.push(took, Event::Served(attempt));
        }
    }

    /// Notes that a probe was cancelled before its slot time was over.
    fn cut_cost(&mut self, attempt: AttemptRef) {
        let now = self.events.now();
        if let Some(at) = self.probing.remove(&attempt) {
            let (from, took) = &mut self.slot_costs[at];
            *took = (*took).min(now - *from);
        }
    }

    fn served(&mut self, attempt: AttemptRef) {
        let now = self.events.now();
        let Some(place) = self.places.get(&attempt).copied() else {
            return;
        };
        let target = place.target;
        if !self.exists(target) || !self.targets[target].finish(attempt) {
            return;
        }
        self.serve(target);
        let (in_flight, queued) = self.targets[target].load();
        let event = Event::Response {
            attempt,
            in_flight,
            queued,
            drains: self.conditions.is_draining(target, now),
        };
        self.events
            .push(self.spec.size.delay(attempt.pool.vm, target), event);
    }
}

/// Returns the ticket of a sending. Sendings of one request have different tickets, because an
/// earlier one may still be in flight.
fn ticket_id(sending: Sending) -> TicketId {
    TicketId((sending.job as u64) << 8 | u64::from(sending.number))
}

/// Returns the sending of a ticket.
fn sending_of(ticket: TicketId) -> Sending {
    Sending {
        job: (ticket.0 >> 8) as usize,
        number: ticket.0 as u8,
    }
}
