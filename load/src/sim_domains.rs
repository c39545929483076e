//! Compares ways to choose among failure domains in virtual time, on the same arrivals.
//!
//! Three domains have as many targets. The demand of each swings by half, a third of a wave apart. A
//! target starts requests in the order of their arrival. Work that starts with more than four fifths of
//! the slots in use takes longer.

use std::f64::consts::TAU;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::crowding::Crowding;
use carobshore_lib::domain_choice::crossing_demand::CrossingDemand;
use carobshore_lib::domain_choice::crossing_price::CrossingPrice;
use carobshore_lib::domain_choice::domain_chooser::DomainChooser;
use carobshore_lib::load_report::LoadReport;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::target_estimator::TargetEstimator;
use carobshore_lib::target_selector::Candidate;
use carobshore_lib::target_selector::Demand;
use carobshore_lib::target_selector::TargetSelector;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

use crate::tally::Latencies;

/// Failure domains.
const DOMAINS: usize = 3;
/// Targets in each domain, and slots of each target.
const TARGETS: usize = 40;
const SLOTS: usize = 6;
/// VMs in each domain.
const VMS: usize = 18;
/// Targets that a request asks at most.
const ASKED: usize = 16;
/// Size of a request and its response, in bytes.
const BYTES: usize = 2 << 10;
/// Length of a wave of demand, and by how much of its mean it swings.
const WAVE: Duration = Duration::from_secs(13);
const SWING: f64 = 0.5;
/// How much longer work takes that starts with more than [`CROWDED`] of the slots in use.
const SLOWDOWN: f64 = 1.7;
const CROWDED: f64 = 0.8;
/// The time to another domain and back.
const ROUND_TRIP: Duration = Duration::from_micros(1_400);
/// Time before latencies count.
const WARM_UP: Duration = Duration::from_secs(3);

/// How a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainRouting {
    /// One queue in front of all targets, without any delay or price of a crossing.
    Central,
    /// A random target.
    Random,
    /// The less loaded one of two random targets.
    TwoChoices,
    /// The first idle target in the order of the expected cost, or else the least loaded one.
    Cost,
    /// The same in the own domain, which a share of the requests leaves.
    Share,
}

impl DomainRouting {
    /// All ways.
    pub const ALL: [Self; 5] = [
        Self::Central,
        Self::Random,
        Self::TwoChoices,
        Self::Cost,
        Self::Share,
    ];

    /// Returns the name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Central => "central queue",
            Self::Random => "random",
            Self::TwoChoices => "two choices",
            Self::Cost => "least cost",
            Self::Share => "share",
        }
    }
}

impl fmt::Display for DomainRouting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct DomainSpec {
    /// Mean load as a share of the slots.
    pub load: f64,
    /// Mean work of a request.
    pub mean: Duration,
    /// Sigma of the log-normal work.
    pub sigma: f64,
    /// How long requests arrive.
    pub length: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// What one simulation shows.
#[derive(Clone, Debug, Default)]
pub struct DomainResult {
    /// Latencies of all requests.
    pub latencies: Latencies,
    /// Bytes that crossed domains.
    pub crossed: u64,
}

/// A request: when it arrives in which domain, and its work.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    domain: usize,
    work: Duration,
}

/// Runs one way on the arrivals of the spec.
pub fn run(spec: &DomainSpec, routing: DomainRouting) -> DomainResult {
    let mut world = World::new(spec, routing);
    for arrival in arrivals(spec) {
        world.serve(arrival);
    }
    world.result
}

/// Returns the requests in the order of their arrival, which depend on the spec only.
fn arrivals(spec: &DomainSpec) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(spec.seed);
    let mean = spec.mean.as_secs_f64();
    let location = mean.ln() - spec.sigma * spec.sigma / 2.0;
    let works = LogNormal::new(location, spec.sigma).expect("a valid sigma");
    let highest = spec.load * (1.0 + SWING) * (TARGETS * SLOTS) as f64 / mean;
    let mut all = Vec::new();
    for domain in 0..DOMAINS {
        let mut at = 0.0;
        loop {
            // A Poisson process at the highest rate, thinned to the rate of the moment.
            at -= (1.0 - rng.random_range(0.0..1.0_f64)).ln() / highest;
            if at >= spec.length.as_secs_f64() {
                break;
            }
            let phase = at / WAVE.as_secs_f64() + domain as f64 / DOMAINS as f64;
            let rate = (1.0 + SWING * (TAU * phase).sin()) / (1.0 + SWING);
            if rng.random_bool(rate) {
                let work = Duration::from_secs_f64(works.sample(&mut rng));
                let at = Duration::from_secs_f64(at);
                all.push(Arrival { at, domain, work });
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

struct World {
    spec: DomainSpec,
    routing: DomainRouting,
    rng: StdRng,
    start: Instant,
    /// The ends of the requests that each target holds, and when each of its slots is free.
    held: Vec<Vec<Duration>>,
    free: Vec<[Duration; SLOTS]>,
    selector: TargetSelector,
    choosers: Vec<DomainChooser>,
    domains: Vec<DomainId>,
    ids: Vec<TargetId>,
    result: DomainResult,
}

impl World {
    fn new(spec: &DomainSpec, routing: DomainRouting) -> Self {
        let id = |at: usize| format!("d-{at}").parse().expect("an id");
        let domains: Vec<DomainId> = (0..DOMAINS).map(id).collect();
        let choosers = (0..DOMAINS * VMS)
            .map(|vm| DomainChooser::new(domains[vm / VMS].clone(), spec.seed + vm as u64));
        let targets = 0..DOMAINS * TARGETS;
        Self {
            spec: *spec,
            routing,
            rng: StdRng::seed_from_u64(spec.seed + 1),
            start: Instant::now(),
            held: vec![Vec::new(); targets.len()],
            free: vec![[Duration::ZERO; SLOTS]; targets.len()],
            selector: TargetSelector::new(spec.seed),
            choosers: choosers.collect(),
            ids: targets
                .map(|at| format!("t-{at}").parse().expect("an id"))
                .collect(),
            domains,
            result: DomainResult::default(),
        }
    }

    fn serve(&mut self, arrival: Arrival) {
        let target = match self.routing {
            DomainRouting::Central => self.first_free(),
            DomainRouting::Random => self.random_target(None),
            DomainRouting::TwoChoices => {
                let two = [self.random_target(None), self.random_target(None)];
                self.least_held(arrival.at, &two)
            }
            DomainRouting::Cost => self.by_cost(arrival),
            DomainRouting::Share => self.by_share(arrival),
        };
        let central = self.routing == DomainRouting::Central;
        let crosses = target / TARGETS != arrival.domain && !central;
        let mut latency = self.start_on(target, arrival);
        if crosses {
            latency += ROUND_TRIP;
        }
        if arrival.at >= WARM_UP {
            self.result.latencies.record(latency);
            self.result.crossed += if crosses { BYTES as u64 } else { 0 };
        }
    }

    /// Starts a request on a target, and returns how long it takes.
    fn start_on(&mut self, target: usize, arrival: Arrival) -> Duration {
        let running = self.holds(target, arrival.at) as f64;
        let slot = self.free[target].iter_mut().min().expect("a slot");
        let slow = (running + 1.0) / SLOTS as f64 > CROWDED;
        let work = arrival.work.mul_f64(if slow { SLOWDOWN } else { 1.0 });
        let end = (*slot).max(arrival.at) + work;
        *slot = end;
        self.held[target].push(end);
        end - arrival.at
    }

    fn holds(&mut self, target: usize, now: Duration) -> usize {
        self.held[target].retain(|end| now < *end);
        self.held[target].len()
    }

    fn random_target(&mut self, domain: Option<usize>) -> usize {
        match domain {
            Some(domain) => domain * TARGETS + self.rng.random_range(0..TARGETS),
            None => self.rng.random_range(0..DOMAINS * TARGETS),
        }
    }

    fn first_free(&self) -> usize {
        let earliest = |target: &usize| self.free[*target].iter().min().copied();
        let held = |target: &usize| self.held[*target].len();
        let all = 0..self.free.len();
        let first = all.min_by_key(|target| (earliest(target), held(target)));
        first.expect("a target")
    }

    fn least_held(&mut self, now: Duration, among: &[usize]) -> usize {
        let least = among.iter().copied();
        let least = least.min_by_key(|target| self.holds(*target, now));
        least.expect("a target")
    }

    /// Asks targets in order, until one is idle.
    fn ask(&mut self, arrival: Arrival, vm: usize, order: &[usize]) -> usize {
        for (count, target) in order.iter().enumerate() {
            let running = self.holds(*target, arrival.at);
            self.report(arrival.at, vm, *target);
            if running == 0 {
                return order[count];
            }
        }
        self.least_held(arrival.at, order)
    }

    fn report(&mut self, now: Duration, vm: usize, target: usize) {
        let held = self.holds(target, now) as u32;
        let slots = SLOTS as u32;
        let report = LoadReport {
            running: held.min(slots),
            waiting: held.saturating_sub(slots),
            slots,
            pace: 100,
        };
        let (at, domain) = (self.start + now, &self.domains[target / TARGETS]);
        self.choosers[vm].observe_load(at, domain, &self.ids[target], report);
    }

    fn sample(&mut self, domain: Option<usize>) -> Vec<usize> {
        (0..ASKED).map(|_| self.random_target(domain)).collect()
    }

    fn by_cost(&mut self, arrival: Arrival) -> usize {
        let sample = self.sample(None);
        let unknown = TargetEstimator::default();
        let candidate = |target: &usize| Candidate {
            estimator: &unknown,
            slots: SLOTS as u32,
            local: target / TARGETS == arrival.domain,
            round_trip: Duration::ZERO,
            connected: true,
            preferred: true,
            missing: false,
        };
        let candidates: Vec<_> = sample.iter().map(candidate).collect();
        let demand = Demand {
            work: self.spec.mean,
            bytes: BYTES,
            price: CrossingPrice::default(),
        };
        let order = self.selector.order(self.start, demand, &candidates);
        let order: Vec<usize> = order.iter().map(|(_, index)| sample[*index]).collect();
        self.ask(arrival, arrival.domain * VMS, &order)
    }

    fn by_share(&mut self, arrival: Arrival) -> usize {
        let vm = arrival.domain * VMS + self.rng.random_range(0..VMS);
        let now = self.start + arrival.at;
        if self.choosers[vm].is_plan_due(now) {
            self.plan(arrival.at, vm);
        }
        let demand = CrossingDemand {
            work: self.spec.mean,
            bytes: BYTES,
            price: CrossingPrice::default(),
            slots: SLOTS as u32,
            crowding: Crowding::default(),
        };
        let drawn = self.choosers[vm].draw(now, &demand);
        let index = |id| self.domains.iter().position(|known| *known == id);
        let domain = drawn.and_then(|(id, _)| index(id));
        if domain.is_some() {
            self.choosers[vm].observe_departure(true);
        }
        let order = self.sample(Some(domain.unwrap_or(arrival.domain)));
        self.ask(arrival, vm, &order)
    }

    fn plan(&mut self, now: Duration, vm: usize) {
        let domains = &self.domains;
        let targets = (0..DOMAINS * TARGETS).map(|at| (&domains[at / TARGETS], SLOTS as u32));
        let vms = (0..DOMAINS * VMS).map(|at| &domains[at / VMS]);
        let unknown = self.choosers[vm].plan(self.start + now, targets, vms);
        for id in unknown {
            let domain = self.domains.iter().position(|known| *known == id);
            let target = self.random_target(domain);
            self.report(now, vm, target);
        }
    }
}
