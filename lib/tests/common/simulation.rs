//! A discrete-event simulation that drives routers and slot pools in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

pub use super::scenario::*;

use super::ideal_queue::quantiles;
use super::ideal_queue::run_central;
use super::*;

pub const VMS: usize = 15;
pub const DOMAINS: usize = 3;
pub const SLOTS: u32 = 2;
pub const MEAN: f64 = 0.020;
const NEAR: Duration = Duration::from_micros(100);
const FAR: Duration = Duration::from_millis(1);
const PROBE: f64 = 0.006;
pub const SLOWDOWN: f64 = 10.0;
/// The measurement budget is closed for 11.5 s after the start.
pub const WARM_UP: Duration = Duration::from_secs(13);
pub const SHIFT: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    AtPool {
        request: u64,
        vm: usize,
        via: Option<usize>,
    },
    AtTarget {
        vm: usize,
        attempt: AttemptId,
        target: usize,
        request: Option<u64>,
    },
    Served {
        target: usize,
        job: u64,
    },
    Response {
        vm: usize,
        attempt: AttemptId,
        request: Option<u64>,
        target: usize,
        load: (u32, u32),
    },
    Returned {
        request: u64,
        vm: usize,
        load: (usize, u32, u32),
        hops: u8,
    },
    Heartbeat {
        vm: usize,
        from: usize,
        load: (u32, u32),
    },
    CancelAt {
        vm: usize,
        attempt: AttemptId,
        target: usize,
    },
    Tick {
        vm: usize,
    },
    Second,
    Weather,
    Shift,
}

#[derive(Clone, Debug)]
struct Job {
    id: u64,
    vm: usize,
    attempt: AttemptId,
    request: Option<u64>,
}

#[derive(Default)]
struct TargetModel {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    slow: bool,
}

struct Request {
    arrived: Duration,
    entry: usize,
    via: Option<usize>,
    work: f64,
    repeatable: bool,
    done: bool,
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    work: LogNormal<f64>,
    base: Instant,
    now: Duration,
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    order: u64,
    pools: Vec<SlotPool>,
    routers: Vec<Router>,
    homes: Vec<usize>,
    ticks: Vec<Option<Duration>>,
    targets: Vec<TargetModel>,
    requests: HashMap<u64, Request>,
    next: u64,
    weights: Vec<f64>,
    places: HashMap<(usize, AttemptId), usize>,
    times: Vec<f64>,
    rejected: usize,
}

fn delay(a: usize, b: usize) -> Duration {
    if a % DOMAINS == b % DOMAINS {
        NEAR
    } else {
        FAR
    }
}

pub fn run(scenario: &Scenario) -> Figures {
    if scenario.policy.is_none() {
        return run_central(scenario);
    }
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    simulation.figures()
}

/// Draws arrivals and work as the simulation of the policies does.
pub fn work(sigma: f64) -> LogNormal<f64> {
    LogNormal::new(MEAN.ln() - sigma * sigma / 2.0, sigma).unwrap()
}

impl Simulation {
    fn new(scenario: &Scenario) -> Self {
        let policy = scenario.policy.unwrap();
        let base = Instant::now();
        let service = service(scenario.targets, DOMAINS, SLOTS);
        let homes = Homes::assign(
            &service_id(),
            &service,
            &roster(VMS, DOMAINS),
            &HomesSettings::default(),
        );
        let make_pool = |vm: usize| {
            let settings = PoolSettings {
                policy,
                seed: scenario.seed * 100 + vm as u64,
                hedge_permille: scenario.hedge_permille,
                ..PoolSettings::default()
            };
            let targets = if policy.owns_slots() {
                PoolTargets::owned(&service, &homes, &vm_id(vm))
            } else {
                PoolTargets::shared(&service, VMS as u32, VMS as u32)
            };
            let mut pool = SlotPool::new(service_id(), settings, base);
            pool.set_targets(base, &targets, &mut Vec::new());
            pool
        };
        let make_router = |vm: usize| {
            let settings = RouterSettings {
                policy,
                ..RouterSettings::default()
            };
            let mut router = Router::new(vm_id(vm), domain(vm % DOMAINS), settings);
            router.set_homes(homes.clone());
            router
        };
        Self {
            rng: StdRng::seed_from_u64(scenario.seed),
            work: work(scenario.sigma),
            base,
            now: Duration::ZERO,
            heap: BinaryHeap::new(),
            order: 0,
            pools: (0..VMS).map(make_pool).collect(),
            routers: (0..VMS).map(make_router).collect(),
            homes: (0..VMS).filter(|vm| homes.contains(&vm_id(*vm))).collect(),
            ticks: vec![None; VMS],
            targets: (0..scenario.targets)
                .map(|_| TargetModel::default())
                .collect(),
            requests: HashMap::new(),
            next: 0,
            weights: vec![1.0; VMS],
            places: HashMap::new(),
            times: Vec::new(),
            rejected: 0,
            scenario: scenario.clone(),
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.heap
            .push(Reverse((self.now + after, self.order, event)));
    }

    fn run(&mut self) {
        self.push(Duration::ZERO, Event::Arrival);
        self.push(Duration::ZERO, Event::Second);
        match self.scenario.weather {
            Weather::Quiet => {}
            Weather::Straggler => self.push(Duration::ZERO, Event::Weather),
            Weather::Shifting => self.push(Duration::ZERO, Event::Shift),
        }
        let end = WARM_UP + self.scenario.time;
        while let Some(Reverse((at, _, event))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.apply(event);
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::AtPool { request, vm, via } => self.at_pool(request, vm, via),
            Event::AtTarget {
                vm,
                attempt,
                target,
                request,
            } => {
                self.next += 1;
                let job = Job {
                    id: self.next,
                    vm,
                    attempt,
                    request,
                };
                self.targets[target].waiting.push_back(job);
                self.serve(target);
            }
            Event::Served { target, job } => self.served(target, job),
            Event::Response {
                vm,
                attempt,
                request,
                target,
                load,
            } => {
                self.response(vm, attempt, request, target, load);
            }
            Event::Returned {
                request,
                vm,
                load,
                hops,
            } => self.returned(request, vm, load, hops),
            Event::Heartbeat { vm, from, load } => self.peer(vm, from, load),
            Event::CancelAt {
                vm,
                attempt,
                target,
            } => {
                let same = |job: &Job| job.vm == vm && job.attempt == attempt;
                self.targets[target].waiting.retain(|job| !same(job));
                self.targets[target].running.retain(|job| !same(job));
                self.serve(target);
            }
            Event::Tick { vm } => {
                if self.ticks[vm] == Some(self.now) {
                    self.ticks[vm] = None;
                    self.pool(vm, PoolEvent::Tick);
                }
            }
            Event::Second => self.second(),
            Event::Weather => self.change_weather(),
            Event::Shift => {
                self.weights = (0..VMS).map(|_| self.rng.random_range(0.0..2.0)).collect();
                self.push(SHIFT, Event::Shift);
            }
        }
    }

    fn arrive(&mut self) {
        let rate = self.scenario.load * f64::from(SLOTS) * self.scenario.targets as f64 / MEAN;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.push(Duration::from_secs_f64(gap), Event::Arrival);
        // Thinning: an arrival at a VM counts with half of the VM's weight, at twice the rate.
        let entry = self.rng.random_range(0..VMS);
        let copies = if self.scenario.weather == Weather::Shifting {
            let weight = self.weights[entry];
            weight as usize + usize::from(self.rng.random_bool(weight.fract()))
        } else {
            1
        };
        for _ in 0..copies {
            self.submit(entry);
        }
    }

    fn submit(&mut self, entry: usize) {
        self.next += 1;
        let id = self.next;
        let request = Request {
            arrived: self.now,
            entry,
            via: None,
            work: self.work.sample(&mut self.rng),
            repeatable: self.rng.random_bool(self.scenario.repeatable),
            done: false,
        };
        self.requests.insert(id, request);
        let at = self.base + self.now;
        match self.routers[entry].route(at, &Call::default()) {
            Route::Local | Route::Fallback => self.at_pool(id, entry, None),
            Route::Forward { vm } => {
                let vm = self.index(&vm);
                self.push(
                    delay(entry, vm),
                    Event::AtPool {
                        request: id,
                        vm,
                        via: None,
                    },
                );
            }
            Route::Refuse { .. } => unreachable!("requests without a key are not refused"),
        }
    }

    fn index(&self, vm: &VmId) -> usize {
        (0..VMS).find(|at| vm_id(*at) == *vm).unwrap()
    }

    fn at_pool(&mut self, id: u64, vm: usize, via: Option<usize>) {
        let request = self.requests.get_mut(&id).unwrap();
        request.via = via;
        let ticket = Ticket {
            id: TicketId(id),
            caller: CallerId(id % 40),
            deadline: self.base + request.arrived + Duration::from_secs(10),
            repeatable: request.repeatable,
            spilled: via.is_some(),
            retry: false,
        };
        self.pool(vm, PoolEvent::Submit(ticket));
    }

    fn pool(&mut self, vm: usize, event: PoolEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            let at = self.base + self.now;
            self.pools[vm].handle(at, event, &mut actions);
            for action in actions {
                if let Some(event) = self.act(vm, action) {
                    events.push_back(event);
                }
            }
        }
        let wakeup = self.pools[vm].wakeup();
        if let Some(wakeup) = wakeup.map(|at| (at - self.base).max(self.now))
            && self.ticks[vm].is_none_or(|at| wakeup < at)
        {
            self.ticks[vm] = Some(wakeup);
            self.push(wakeup - self.now, Event::Tick { vm });
        }
    }

    fn act(&mut self, vm: usize, action: PoolAction) -> Option<PoolEvent> {
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
                self.send(vm, attempt, &target, Some(ticket.0));
            }
            PoolAction::Probe { attempt, target } => self.send(vm, attempt, &target, None),
            PoolAction::Reject { ticket, .. } => {
                self.requests.remove(&ticket.0);
                self.rejected += 1;
            }
            PoolAction::Spill { ticket, vm: to } => {
                let to = self.index(&to);
                let event = Event::AtPool {
                    request: ticket.0,
                    vm: to,
                    via: Some(vm),
                };
                self.push(delay(vm, to), event);
            }
            PoolAction::Cancel { attempt } => {
                let target = self.places.remove(&(vm, attempt))?;
                self.push(
                    delay(vm, target),
                    Event::CancelAt {
                        vm,
                        attempt,
                        target,
                    },
                );
                let result = AttemptResult::Cancelled;
                return Some(PoolEvent::Finished { attempt, result });
            }
        }
        None
    }

    fn send(&mut self, vm: usize, attempt: AttemptId, target: &TargetId, request: Option<u64>) {
        let target = target.as_str()[1..].parse().unwrap();
        self.places.insert((vm, attempt), target);
        let event = Event::AtTarget {
            vm,
            attempt,
            target,
            request,
        };
        self.push(delay(vm, target), event);
    }

    fn serve(&mut self, at: usize) {
        while self.targets[at].running.len() < SLOTS as usize {
            let Some(job) = self.targets[at].waiting.pop_front() else {
                return;
            };
            // A second copy is as much work as the first one.
            let work = match job.request {
                Some(request) => self.requests.get(&request).map_or(MEAN, |r| r.work),
                None => PROBE,
            };
            let factor = if self.targets[at].slow { SLOWDOWN } else { 1.0 };
            let event = Event::Served {
                target: at,
                job: job.id,
            };
            self.push(Duration::from_secs_f64(work * factor), event);
            self.targets[at].running.push(job);
        }
    }

    fn served(&mut self, at: usize, id: u64) {
        let target = &mut self.targets[at];
        let Some(position) = target.running.iter().position(|job| job.id == id) else {
            return;
        };
        let job = target.running.remove(position);
        self.serve(at);
        let target = &self.targets[at];
        let load = (target.running.len() as u32, target.waiting.len() as u32);
        let event = Event::Response {
            vm: job.vm,
            attempt: job.attempt,
            request: job.request,
            target: at,
            load,
        };
        self.push(delay(job.vm, at), event);
    }

    fn response(
        &mut self,
        vm: usize,
        attempt: AttemptId,
        request: Option<u64>,
        target: usize,
        load: (u32, u32),
    ) {
        if self.places.remove(&(vm, attempt)).is_none() {
            return;
        }
        let result = AttemptResult::Done;
        self.pool(vm, PoolEvent::Finished { attempt, result });
        let load = TargetLoad {
            in_flight: load.0,
            queued: load.1,
        };
        let target = target_id(target);
        self.pool(vm, PoolEvent::Report { target, load });
        if let Some(id) = request {
            self.hand_back(id, vm, 0);
        }
    }

    fn hand_back(&mut self, id: u64, vm: usize, hops: u8) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if hops == 0 {
            if request.done {
                return;
            }
            request.done = true;
        }
        let to = match request.via {
            Some(via) if hops == 0 => via,
            _ => request.entry,
        };
        let (free, queued) = self.pools[vm].load();
        let load = (vm, free, queued);
        let after = if to == vm {
            Duration::ZERO
        } else {
            delay(vm, to)
        };
        self.push(
            after,
            Event::Returned {
                request: id,
                vm: to,
                load,
                hops,
            },
        );
    }

    fn returned(&mut self, id: u64, vm: usize, load: (usize, u32, u32), hops: u8) {
        if load.0 != vm {
            self.peer(vm, load.0, (load.1, load.2));
        }
        let request = &self.requests[&id];
        if hops == 0 && request.via.is_some() {
            return self.hand_back(id, vm, 1);
        }
        if request.arrived >= WARM_UP {
            self.times.push((self.now - request.arrived).as_secs_f64());
        }
        self.requests.remove(&id);
    }

    fn peer(&mut self, vm: usize, from: usize, load: (u32, u32)) {
        let load = PeerLoad {
            vm: vm_id(from),
            free: load.0,
            queued: load.1,
        };
        let at = self.base + self.now;
        self.routers[vm].observe(at, &load);
        self.pool(vm, PoolEvent::Peer(load));
    }

    fn second(&mut self) {
        let until = self.base + self.now + Duration::from_secs(10);
        for vm in 0..VMS {
            self.pool(vm, PoolEvent::Lease { until });
        }
        for from in self.homes.clone() {
            let load = self.pools[from].load();
            for vm in (0..VMS).filter(|vm| *vm != from) {
                let event = Event::Heartbeat { vm, from, load };
                self.push(delay(from, vm), event);
            }
        }
        self.push(Duration::from_secs(1), Event::Second);
    }

    fn change_weather(&mut self) {
        let slow = self.targets.iter().any(|target| target.slow);
        for target in &mut self.targets {
            target.slow = false;
        }
        if !slow {
            let at = self.rng.random_range(0..self.scenario.targets);
            self.targets[at].slow = true;
        }
        let seconds = if slow { 1 } else { 2 };
        self.push(Duration::from_secs(seconds), Event::Weather);
    }

    fn figures(self) -> Figures {
        let sum = |f: fn(&SlotPool) -> u64| self.pools.iter().map(f).sum();
        Figures {
            rejected: self.rejected,
            spilled: sum(|pool| pool.counters().spilled),
            hedges: sum(|pool| pool.counters().hedges),
            probes: sum(|pool| pool.counters().probes),
            ejections: sum(|pool| pool.counters().ejections),
            ..quantiles(self.times)
        }
    }
}
