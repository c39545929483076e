//! Guards against targets that get more than the limit that they name to each of many VMs, against
//! limits that are hardly used, and against VMs that never learn that a limit has ended.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::limit_lenders::LimitLenders;
use carobshore_lib::limit_news::HeardLimit;
use carobshore_lib::limit_news::LimitNews;
use carobshore_lib::limit_queue::LimitQueue;
use carobshore_lib::limit_queue::LimitedSupply;
use carobshore_lib::limit_share;
use carobshore_lib::limit_share::LimitShare;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::RequestRate;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::target_limit::TargetLimit;
use carobshore_lib::vm_roster::VmRecord;
use carobshore_lib::vm_roster::VmRoster;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The time in which requests are counted against a limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window beyond one and a half times the limit that are still allowed.
const EXTRA: f64 = 5.0;
/// Time after which a limit holds for a VM that has passed it on, and for a target that has first
/// named it.
const TOLD: Duration = Duration::from_millis(500);
const NOTICE: Duration = Duration::from_secs(3);
/// Resolution of the simulation, and the time of one request.
const STEP: Duration = Duration::from_millis(25);
const WORK: Duration = Duration::from_millis(200);

/// The port of the first VM.
const FIRST_PORT: u16 = 7_000;

fn domain(vm: usize) -> DomainId {
    format!("d{}", vm % 4).parse().expect("a domain")
}

fn target_id(index: usize) -> TargetId {
    format!("i-{index}").parse().expect("an id")
}

fn roster(vms: usize) -> VmRoster {
    let record = |index: usize| VmRecord {
        name: format!("edge-{index}").into(),
        domain: domain(index),
        feed: ([127, 0, 0, 1], FIRST_PORT + index as u16).into(),
        link: 10,
        era: None,
    };
    VmRoster::new((0..vms).map(record).collect())
}

fn rate(per_second: f64) -> RequestRate {
    per_second.try_into().expect("a rate")
}

/// One limited target and the VMs that send to it.
struct Model {
    target: TargetId,
    roster: VmRoster,
    rate: f64,
    /// The limit as each VM knows it, and since when.
    vms: Vec<Option<(TargetLimit, Instant)>>,
    /// Answers on their way: when each arrives, at which VM.
    answers: Vec<(Instant, usize)>,
    /// Requests of VMs that had been told.
    counted: Vec<Instant>,
}

impl Model {
    fn new(vms: usize, rate: f64) -> Self {
        Self {
            target: "i-limited".parse().expect("an id"),
            roster: roster(vms),
            rate,
            vms: vec![None; vms],
            answers: Vec::new(),
            counted: Vec::new(),
        }
    }

    /// Sends a request from a VM if its limit allows that.
    fn send(&mut self, now: Instant, wall: Duration, vm: usize) {
        let is_allowed = match &mut self.vms[vm] {
            Some((limit, _)) => limit.take(now, wall),
            None => true,
        };
        if is_allowed {
            if self.vms[vm].is_some_and(|(_, told)| told + TOLD <= now) {
                self.counted.push(now);
            }
            self.answers.push((now + WORK, vm));
        }
    }

    fn receive(&mut self, now: Instant) {
        let arrived: Vec<_> = self.answers.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, vm) in arrived {
            let name = format!("edge-{vm}");
            let rate = rate(self.rate);
            let share = LimitShare::new(&self.roster, &name, false, &self.target, rate);
            match &mut self.vms[vm] {
                Some((limit, _)) => limit.hear(now, now, rate, share),
                None => self.vms[vm] = Some((TargetLimit::new(now, now, rate, share), now)),
            }
        }
    }

    /// Plays `time`, in which each VM has a request in each step with the given probability.
    fn play(
        &mut self,
        start: Instant,
        time: Duration,
        demand: f64,
        restarts: f64,
        rng: &mut StdRng,
    ) {
        let mut now = start;
        while now < start + time {
            self.receive(now);
            for vm in 0..self.vms.len() {
                if rng.random_bool(restarts) {
                    self.vms[vm] = None;
                    self.answers.retain(|(_, other)| *other != vm);
                }
                if rng.random_bool(demand) {
                    self.send(now, Duration::from_secs(1_800_000_000) + (now - start), vm);
                }
            }
            now += STEP;
        }
    }

    fn most_in_a_window(&self, from: Instant) -> usize {
        let counted: Vec<_> = self.counted.iter().filter(|at| **at >= from).collect();
        let within = |start: &&Instant| {
            counted
                .iter()
                .filter(|at| ***at >= **start && ***at < **start + WINDOW)
                .count()
        };
        counted.iter().map(within).max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// No deviation of one VM from what it knows makes the VMs together exceed the limit: many that
    /// are told at once, bursts after a calm, restarts.
    #[test]
    fn all_vms_together_keep_to_the_limit_in_every_window(
        vms in prop::sample::select(vec![1_usize, 2, 3, 15, 16, 92, 116]),
        limit in prop::sample::select(vec![0.0, 0.2, 0.7, 1.0, 2.5, 10.0, 80.0, 300.0]),
        demand in prop::sample::select(vec![0.002, 0.05, 0.9]),
        restarts in prop::sample::select(vec![0.0, 0.000_2]),
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut model = Model::new(vms, limit);
        let start = Instant::now();
        model.play(start, Duration::from_secs(15), demand, restarts, &mut rng);
        let calm = start + Duration::from_secs(15);
        model.play(calm, Duration::from_secs(35), 0.0, 0.0, &mut rng);
        let burst = calm + Duration::from_secs(35);
        model.play(burst, Duration::from_secs(15), 0.9, restarts, &mut rng);
        let most = model.most_in_a_window(start + NOTICE) as f64;
        let bound = 1.5 * limit * WINDOW.as_secs_f64() + EXTRA;
        prop_assert!(most <= bound, "{} requests in 4 s, at most {}", most, bound);
    }
}

/// A limit that falls holds for the VMs that have heard of it.
#[test]
fn after_a_limit_has_fallen_the_lower_one_holds() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut model = Model::new(16, 40.0);
    let start = Instant::now();
    model.play(start, Duration::from_secs(10), 0.9, 0.0, &mut rng);
    model.rate = 1.0;
    let fallen = start + Duration::from_secs(10);
    model.play(fallen, Duration::from_secs(20), 0.9, 0.0, &mut rng);
    let most = model.most_in_a_window(fallen + NOTICE) as f64;
    assert!(most <= 1.5 * 4.0 + EXTRA, "{most} requests in 4 s");
}

/// Of the rate that is allowed, most is used while callers ask for it.
#[test]
fn a_limit_is_used_while_there_is_demand() {
    for vms in [3, 16, 92] {
        for limit in [1.0, 4.0, 25.0] {
            let mut rng = StdRng::seed_from_u64(7);
            let mut model = Model::new(vms, limit);
            let start = Instant::now();
            model.play(start, Duration::from_secs(40), 0.3, 0.0, &mut rng);
            let from = start + Duration::from_secs(10);
            let used = model.counted.iter().filter(|at| **at >= from).count() as f64;
            let allowed = limit * 30.0;
            assert!(used >= 0.8 * allowed, "{vms} VMs: {used} of {allowed}");
        }
    }
}

/// A target that takes nothing must not be left out for good.
#[test]
fn each_vm_asks_a_target_again_in_its_turn() {
    for limit in [0.0, 0.05] {
        let target = "i-limited".parse().expect("an id");
        for name in ["edge-0", "edge-7", "not-listed"] {
            let share = LimitShare::new(&roster(15), name, false, &target, rate(limit));
            let start = Instant::now();
            let mut limit = TargetLimit::new(start, start, rate(limit), share);
            let asked = (0..600).any(|second| {
                let time = Duration::from_secs(second);
                limit.take(start + time, time)
            });
            assert!(asked, "{name}");
        }
    }
}

/// A VM that others may not know of takes nothing of the rate that they share.
#[test]
fn a_new_vm_has_no_part() {
    let target = "i-limited".parse().expect("an id");
    let part = |name, is_new| LimitShare::new(&roster(3), name, is_new, &target, rate(9.0)).rate;
    assert_eq!(part("edge-1", false), 3.0);
    assert_eq!(part("edge-1", true), 0.0);
    assert_eq!(part("not-listed", false), 0.0);
}

#[test]
fn the_group_is_spread_over_the_failure_domains() {
    let roster = roster(16);
    let target: TargetId = "i-limited".parse().expect("an id");
    let has_part =
        |vm: &&VmRecord| LimitShare::new(&roster, &vm.name, false, &target, rate(1.0)).rate > 0.0;
    let mut domains: Vec<_> = roster
        .iter()
        .filter(has_part)
        .map(|vm| vm.domain.as_str())
        .collect();
    domains.sort_unstable();
    assert_eq!(domains, ["d0", "d1", "d2", "d3"]);
}

#[test]
fn vms_learn_from_each_other_that_a_limit_has_changed_or_ended() {
    let start = Instant::now();
    let target: TargetId = "i-limited".parse().expect("an id");
    let heard = |rate: Option<f64>, seconds: u64| HeardLimit {
        rate: rate.map(|rate| rate.try_into().expect("a rate")),
        at: start + Duration::from_secs(seconds),
    };
    let [mut here, mut there] = [LimitNews::default(), LimitNews::default()];
    here.hear(&target, heard(Some(2.5), 1));
    let now = start + Duration::from_secs(2);
    assert_eq!(
        there.read(now, &here.message(now)),
        std::slice::from_ref(&target)
    );
    assert_eq!(there.get(&target), Some(heard(Some(2.5), 1)));
    there.hear(&target, heard(None, 3));
    let now = start + Duration::from_secs(4);
    assert!(there.read(now, &here.message(now)).is_empty(), "older news");
    assert_eq!(
        here.read(now, &there.message(now)),
        std::slice::from_ref(&target)
    );
    assert_eq!(here.get(&target), Some(heard(None, 3)));
    for malformed in [
        "",
        "=",
        "i-a",
        "i-a=1",
        "i-a=x@1",
        "i-a=NaN@1",
        "i-a=-1@1",
        "UPPER=1@1",
        "i-a=1@-1",
    ] {
        assert!(here.read(now, malformed).is_empty(), "{malformed}");
    }
    assert_eq!(here.message(now + Duration::from_secs(60)), "");
}

#[test]
fn only_proper_rates_are_limits() {
    for text in ["", "x", "-1", "NaN", "inf", "-inf", "1 2"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
    assert_eq!(
        "0.25".parse::<RequestRate>().expect("a rate").per_second(),
        0.25
    );
    assert_eq!(
        "1e300".parse::<RequestRate>().expect("a rate").per_second(),
        1e6
    );
}

/// Callers that are refused return when the limit allows them to, one after the other.
#[test]
fn refused_callers_return_as_far_apart_as_the_limit_demands() {
    let now = Instant::now();
    let supply = Some(LimitedSupply {
        rate: 2.0,
        next: Duration::from_millis(300),
    });
    let mut queue = LimitQueue::default();
    let end = now + Duration::from_millis(900);
    let entered = (0..10).filter(|_| queue.enter(now, supply, end)).count();
    assert_eq!(entered, 2, "the requests that can be sent in time wait");
    let returns = [(); 3].map(|()| queue.refuse(now, supply).as_millis());
    assert_eq!(returns, [1_300, 1_800, 2_300]);
    assert!(!queue.enter(now, None, end));
    assert!(queue.refuse(now, None) <= Duration::from_secs(1));
}

/// How long a request of the model may wait, and after how long a refused caller returns at the
/// latest, on another VM and once.
const MAX_WAIT: Duration = Duration::from_millis(300);
const MAX_RETURN: Duration = Duration::from_millis(700);

/// The VMs in front of a service whose targets are all limited.
struct LimitedService {
    /// The limit of each target, for each VM.
    limits: Vec<Vec<TargetLimit>>,
    queues: Vec<LimitQueue>,
    lenders: Vec<LimitLenders>,
    roster: VmRoster,
    /// The requests that wait at each VM, each with the end of its time.
    waiting: Vec<Vec<Instant>>,
    returning: Vec<(Instant, usize)>,
    served: u32,
}

impl LimitedService {
    fn new(start: Instant, vms: usize, targets: usize, limit: f64) -> Self {
        let roster = roster(vms);
        let limit_of = |vm: usize, target: usize| {
            let name = format!("edge-{vm}");
            let share = LimitShare::new(&roster, &name, false, &target_id(target), rate(limit));
            TargetLimit::new(start, start, rate(limit), share)
        };
        Self {
            limits: (0..vms)
                .map(|vm| (0..targets).map(|target| limit_of(vm, target)).collect())
                .collect(),
            queues: vec![LimitQueue::default(); vms],
            lenders: (0..vms).map(|_| LimitLenders::default()).collect(),
            roster: roster.clone(),
            waiting: vec![Vec::new(); vms],
            returning: Vec::new(),
            served: 0,
        }
    }

    fn send(&mut self, now: Instant, vm: usize) -> bool {
        let mut limits = self.limits[vm].iter_mut();
        let sent = limits.any(|limit| limit.take(now, Duration::ZERO)) || self.borrow(now, vm);
        self.served += u32::from(sent);
        sent
    }

    /// Asks other VMs to give up a request.
    fn borrow(&mut self, now: Instant, vm: usize) -> bool {
        let group_size = |target: usize| {
            limit_share::group_size(self.limits[vm][target].rate(), self.limits.len())
        };
        let targets: Vec<_> = (0..self.limits[vm].len())
            .map(|target| (target_id(target), group_size(target)))
            .collect();
        let (name, domain) = (format!("edge-{vm}"), domain(vm));
        let me = (&*name, &domain);
        for lender in self.lenders[vm].choose(now, &self.roster, me, &targets) {
            let other = usize::from(lender.vm.port() - FIRST_PORT);
            let target = targets.iter().position(|(id, _)| *id == lender.target);
            let limit = &mut self.limits[other][target.expect("a target")];
            if limit.take(now, Duration::ZERO) {
                return true;
            }
            let next = limit.next_in(now);
            self.lenders[vm].refused(now, lender, next);
        }
        false
    }

    fn supply(&self, now: Instant, vm: usize) -> Option<LimitedSupply> {
        let limits = self.limits[vm].iter();
        let own = limits.filter_map(|limit| {
            let (rate, next) = (limit.share().rate, limit.next_in(now)?);
            Some(LimitedSupply { rate, next })
        });
        let borrowed = self.limits[vm]
            .iter()
            .enumerate()
            .filter_map(|(target, limit)| {
                let next = self.lenders[vm].next_in(now, &target_id(target))?;
                Some(LimitedSupply::borrowed(
                    limit.rate(),
                    self.limits.len(),
                    next,
                ))
            });
        own.reduce(LimitedSupply::and)
            .or_else(|| borrowed.reduce(LimitedSupply::and))
    }

    /// Processes a request. A refused one returns if `may_return`.
    fn request(&mut self, now: Instant, vm: usize, may_return: bool) {
        if self.waiting[vm].is_empty() && self.send(now, vm) {
            return;
        }
        let supply = self.supply(now, vm);
        if self.queues[vm].enter(now, supply, now + MAX_WAIT) {
            self.waiting[vm].push(now + MAX_WAIT);
            return;
        }
        let retry = self.queues[vm].refuse(now, supply);
        if may_return {
            self.returning.push((now + retry.min(MAX_RETURN), vm));
        }
    }

    fn step(&mut self, now: Instant, rng: &mut StdRng) {
        for vm in 0..self.limits.len() {
            while !self.waiting[vm].is_empty() && self.send(now, vm) {
                self.waiting[vm].remove(0);
                self.queues[vm].leave();
            }
            let late = self.waiting[vm].extract_if(.., |end| *end < now).count();
            (0..late).for_each(|_| self.queues[vm].leave());
        }
        let back: Vec<_> = self
            .returning
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, vm) in back {
            let other = (vm + rng.random_range(0..self.limits.len())) % self.limits.len();
            self.request(now, other, false);
        }
    }
}

/// Guards against limits that are hardly used because the requests arrive at VMs without a part: the
/// share of callers per VM is uneven.
#[test]
fn limits_of_all_targets_of_a_service_are_used_although_callers_are_spread_unevenly() {
    let time = Duration::from_secs(60);
    for (vms, targets, limit) in [
        (3, 6, 1.0),
        (16, 15, 1.0),
        (16, 15, 3.0),
        (92, 100, 1.0),
        (16, 6, 1.0),
        (16, 2, 1.0),
        (92, 6, 1.0),
        (92, 28, 1.0),
        (15, 6, 0.5),
    ] {
        let mut rng = StdRng::seed_from_u64(11);
        let start = Instant::now();
        let mut service = LimitedService::new(start, vms, targets, limit);
        let weights: Vec<f64> = (0..vms)
            .map(|vm| 0.25 + 1.5 * (vm as f64 / vms as f64))
            .collect();
        let capacity = targets as f64 * limit;
        let per_weight = 1.5 * capacity * 0.01 / weights.iter().sum::<f64>();
        let mut now = start;
        while now < start + time {
            service.step(now, &mut rng);
            for (vm, weight) in weights.iter().enumerate() {
                if rng.random_bool(weight * per_weight) {
                    service.request(now, vm, true);
                }
            }
            now += Duration::from_millis(10);
        }
        let used = f64::from(service.served) / capacity / time.as_secs_f64();
        println!("{vms} VMs, {targets} targets at {limit}: {used:.2}");
        assert!(
            used >= 0.8,
            "{vms} VMs, {targets} targets: {used:.2} of the limits"
        );
    }
}
