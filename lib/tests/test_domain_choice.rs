//! Simulates VMs in three failure domains that decide for themselves how many requests leave their
//! domain. Each VM sees only samples of the targets' load. Guards against requests that cross domains
//! without need, against a domain that stays overloaded beside one with room, and against many VMs that
//! flood the same domain.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::crowding::Crowding;
use carobshore_lib::domain_choice::crossing_demand::CrossingDemand;
use carobshore_lib::domain_choice::crossing_mode::CrossingMode;
use carobshore_lib::domain_choice::crossing_price::CrossingPrice;
use carobshore_lib::domain_choice::domain_chooser::DomainChooser;
use carobshore_lib::domain_choice::search_scope::SearchScope;
use carobshore_lib::domain_choice::spill_share::SpillShare;
use carobshore_lib::load_report::LoadReport;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::TargetId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 11;
const DOMAINS: usize = 3;
const VMS: usize = 16;
const TARGETS: usize = 30;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(430);
const STEP: Duration = Duration::from_millis(10);
/// Targets that report their load with each request.
const SAMPLE: usize = 3;
/// The noise of shared machines: work that starts on a slow one takes this much longer. A machine stays
/// slow for 150 ms, and is slow for a tenth of the time.
const NOISE_FACTOR: u64 = 5;
const NOISE_TIME: Duration = Duration::from_millis(150);

/// A target: when each of its requests ends, and until when its machine is slow.
#[derive(Clone, Default)]
struct Target {
    ends: Vec<Instant>,
    slow_until: Option<Instant>,
}

struct Site {
    now: Instant,
    rng: StdRng,
    /// The targets in use of each domain.
    targets: Vec<Vec<Target>>,
    vms: Vec<Vec<DomainChooser>>,
    noise: bool,
    /// Requests that arrived in each domain, and those that each domain got from others, in this step.
    arrived: [usize; DOMAINS],
    crossed: [usize; DOMAINS],
}

fn domain(index: usize) -> DomainId {
    format!("d{index}").parse().expect("an id")
}

fn target(domain: usize, index: usize) -> TargetId {
    format!("t{domain}-{index}").parse().expect("an id")
}

fn demand(bytes: usize) -> CrossingDemand {
    CrossingDemand {
        work: WORK,
        bytes,
        price: CrossingPrice::default(),
        slots: SLOTS,
        crowding: Crowding::default(),
    }
}

impl Site {
    fn new(targets: [usize; DOMAINS]) -> Self {
        let vms = |index: usize| {
            let seeds = (0..VMS).map(|vm| SEED + (index * VMS + vm) as u64);
            seeds
                .map(|seed| DomainChooser::new(domain(index), seed))
                .collect()
        };
        Self {
            now: Instant::now(),
            rng: StdRng::seed_from_u64(SEED),
            targets: targets.map(|count| vec![Target::default(); count]).to_vec(),
            vms: (0..DOMAINS).map(vms).collect(),
            noise: false,
            arrived: [0; DOMAINS],
            crossed: [0; DOMAINS],
        }
    }

    fn load(&self, domain: usize) -> f64 {
        let targets = &self.targets[domain];
        let held: usize = targets.iter().map(|target| target.ends.len()).sum();
        held as f64 / (targets.len().max(1) as f64 * f64::from(SLOTS))
    }

    fn mean_share(&self, domain: usize) -> f64 {
        let shares = self.vms[domain].iter().map(DomainChooser::share);
        shares.sum::<f64>() / VMS as f64
    }

    fn plan_all(&mut self) {
        let (now, targets) = (self.now, &self.targets);
        let ids: Vec<DomainId> = (0..DOMAINS).map(domain).collect();
        let mut checks = Vec::new();
        for (at, vms) in self.vms.iter_mut().enumerate() {
            for (vm, chooser) in vms.iter_mut().enumerate() {
                if !chooser.is_plan_due(now) {
                    continue;
                }
                let usable = targets.iter().zip(&ids);
                let usable =
                    usable.flat_map(|(targets, id)| targets.iter().map(move |_| (id, SLOTS)));
                let all_vms = ids.iter().flat_map(|id| std::iter::repeat_n(id, VMS));
                let unknown = chooser.plan(now, usable, all_vms);
                let index = |id| ids.iter().position(|other| *other == id).expect("known");
                checks.extend(unknown.into_iter().map(|id| (at, vm, index(id))));
            }
        }
        for (at, vm, other) in checks {
            self.sample(at, vm, other, 1);
        }
    }

    /// Gives the reports of some targets of a domain to a VM.
    fn sample(&mut self, at: usize, vm: usize, other: usize, count: usize) {
        for _ in 0..count.min(self.targets[other].len()) {
            let index = self.rng.random_range(0..self.targets[other].len());
            let running = self.targets[other][index].ends.len() as u32;
            let report = LoadReport {
                running: running.min(SLOTS),
                waiting: running.saturating_sub(SLOTS),
                slots: SLOTS,
                pace: 100,
            };
            self.vms[at][vm].observe_load(self.now, &domain(other), &target(other, index), report);
        }
    }

    fn arrive(&mut self, at: usize) {
        let vm = self.rng.random_range(0..VMS);
        self.sample(at, vm, at, SAMPLE);
        let drawn = self.vms[at][vm].draw(self.now, &demand(2 << 10));
        let to = drawn.map_or(at, |(id, _)| {
            (0..DOMAINS).find(|d| domain(*d) == id).expect("known")
        });
        self.arrived[at] += 1;
        if to != at {
            self.crossed[to] += 1;
            self.vms[at][vm].observe_departure(true);
            self.sample(at, vm, to, SAMPLE);
        }
        let tries: Vec<usize> = (0..SAMPLE)
            .map(|_| self.rng.random_range(0..self.targets[to].len()))
            .collect();
        let targets = &mut self.targets[to];
        let best = tries
            .into_iter()
            .min_by_key(|index| targets[*index].ends.len());
        let best = &mut targets[best.expect("a target")];
        let slow = best.slow_until.is_some_and(|until| self.now < until);
        let factor = if slow { NOISE_FACTOR } else { 1 };
        best.ends.push(self.now + WORK * factor as u32);
    }

    /// Runs one step. `demand` is the requests that each domain has in work, per slot of a full domain.
    fn step(&mut self, demand: [f64; DOMAINS]) {
        self.now += STEP;
        (self.arrived, self.crossed) = Default::default();
        let now = self.now;
        let slow_part = 0.1 * STEP.as_secs_f64() / NOISE_TIME.as_secs_f64();
        for target in self.targets.iter_mut().flatten() {
            target.ends.retain(|end| now < *end);
            if self.noise && self.rng.random_bool(slow_part) {
                target.slow_until = Some(now + NOISE_TIME);
            }
        }
        self.plan_all();
        let per_unit = (TARGETS as u32 * SLOTS) as f64 * STEP.as_secs_f64() / WORK.as_secs_f64();
        for (at, demand) in demand.into_iter().enumerate() {
            let expected = demand * per_unit;
            let count = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
            (0..count).for_each(|_| self.arrive(at));
        }
    }

    /// Runs for a time, and calls `check` after each step.
    fn run(
        &mut self,
        time: Duration,
        demand: impl Fn(f64) -> [f64; DOMAINS],
        mut check: impl FnMut(&Self, f64),
    ) {
        let start = self.now;
        while self.now < start + time {
            let passed = (self.now - start).as_secs_f64();
            self.step(demand(passed));
            check(self, passed);
        }
    }
}

/// Load: each domain at 0.6 of its own slots, with the noise of shared machines of 150 ms, which makes
/// the mean work 1.4 times as long at the worst. Guards against requests that leave a domain with
/// capacity of its own.
#[test]
fn nothing_crosses_while_the_own_domain_has_capacity() {
    for (noise, level) in [(false, 0.65), (true, 0.45)] {
        let mut site = Site::new([TARGETS; DOMAINS]);
        site.noise = noise;
        let mut crossed = 0;
        site.run(
            Duration::from_secs(15),
            |_| [level; 3],
            |site, _| {
                crossed += site.crossed.iter().sum::<usize>();
            },
        );
        assert_eq!(crossed, 0, "noise {noise}");
    }
}

/// Load: one domain has half of its targets, all have 0.5 of a full domain's demand. Guards against a
/// domain that stays full beside two with room, and against a share that never settles.
#[test]
fn a_domain_with_half_of_its_targets_is_relieved() {
    let mut site = Site::new([TARGETS / 2, TARGETS, TARGETS]);
    let mut shares = Vec::new();
    site.run(
        Duration::from_secs(20),
        |_| [0.5, 0.5, 0.5],
        |site, passed| {
            if passed >= 10.0 {
                shares.push(site.mean_share(0));
            }
            assert!(
                passed < 3.0 || site.load(1) < 0.75,
                "{passed}: {}",
                site.load(1)
            );
            assert!(site.mean_share(1) + site.mean_share(2) < 0.02);
        },
    );
    let low = shares.iter().copied().fold(f64::INFINITY, f64::min);
    let high = shares.iter().copied().fold(0.0, f64::max);
    assert!(low > 0.15 && high - low < 0.2, "{low} to {high}");
    assert!(site.load(0) < 0.9, "{}", site.load(0));
}

/// Load: two domains at 1.1 of their slots, the third at 0.4. Guards against the VMs of two domains that
/// fill the third one together, each of which knows a sample only.
#[test]
fn two_short_domains_do_not_flood_the_third() {
    let mut site = Site::new([TARGETS; DOMAINS]);
    let mut highest: f64 = 0.0;
    let mut crossed = 0;
    site.run(
        Duration::from_secs(10),
        |_| [1.1, 1.1, 0.4],
        |site, _| {
            highest = highest.max(site.load(2));
            crossed += site.crossed[2];
            assert_eq!(site.crossed[0] + site.crossed[1], 0);
        },
    );
    assert!(crossed > 0, "nothing crossed");
    assert!(highest < 0.75, "{highest}");
}

/// Load: demand that swings by half with a period of 13 s, a third of it apart in each domain, around 0.65
/// of the slots. Guards against a share that lags by more than 2 s, and against one that turns back within a wave.
#[test]
fn the_share_follows_waves() {
    let wave = |passed: f64| {
        std::array::from_fn(|at| {
            let phase = passed / 13.0 + at as f64 / 3.0;
            0.65 * (1.0 + 0.5 * (std::f64::consts::TAU * phase).sin())
        })
    };
    let mut site = Site::new([TARGETS; DOMAINS]);
    let mut above_since: [Option<f64>; DOMAINS] = [None; DOMAINS];
    let mut highest: f64 = 0.0;
    let mut rises = 0;
    let mut leaving = false;
    site.run(Duration::from_secs(39), wave, |site, passed| {
        for (at, since) in above_since.iter_mut().enumerate() {
            let above: [f64; DOMAINS] = wave(passed);
            *since = (above[at] > 0.85).then(|| since.unwrap_or(passed));
            let late = since.is_some_and(|since| passed > since + 2.0);
            assert!(!late || site.mean_share(at) > 0.05, "{passed}: {at}");
            highest = highest.max(site.load(at));
        }
        let share = site.mean_share(0);
        if !leaving && share > 0.05 {
            (leaving, rises) = (true, rises + 1);
        }
        leaving = leaving && share > 0.01;
    });
    assert!((3..=4).contains(&rises), "{rises} rises in three waves");
    assert!(highest < 1.0, "{highest}");
}

/// Load: all domains at 0.6; one loses its targets, and its callers come to the others, which have 0.9 each
/// then. Guards against requests for a domain that has gone, and against two full domains that exchange
/// requests. While the load rises, samples of a few targets may differ by more than the limits.
#[test]
fn after_the_loss_of_a_domain_the_others_do_not_exchange_requests() {
    let mut site = Site::new([TARGETS; DOMAINS]);
    site.run(Duration::from_secs(2), |_| [0.6; 3], |_, _| {});
    site.targets[2].clear();
    let (mut rising, mut risen) = (0, 0);
    let demand = |_| [0.9, 0.9, 0.0];
    site.run(Duration::from_secs(10), demand, |site, passed| {
        assert_eq!(site.crossed[2], 0);
        let crossed = site.crossed.iter().sum::<usize>();
        *if passed < 2.0 {
            &mut rising
        } else {
            &mut risen
        } += crossed;
    });
    assert_eq!(risen, 0);
    assert!(rising < 10, "{rising} of some 1,500 requests");
}

/// Guards against a share that moves faster than the others can see the effect.
#[test]
fn the_share_rises_by_a_quarter_and_falls_by_half_in_a_second() {
    let mut now = Instant::now();
    let mut share = SpillShare::default();
    share.follow(now, 1.0);
    let mut shares = Vec::new();
    for wanted in [1.0, 1.0, 0.0, 0.0] {
        for _ in 0..10 {
            now += Duration::from_millis(100);
            share.follow(now, wanted);
        }
        shares.push((share.get() * 1_000.0).round());
    }
    assert_eq!(shares, [250.0, 500.0, 0.0, 0.0]);
    now += Duration::from_secs(60);
    share.follow(now, 1.0);
    assert_eq!(share.get(), 0.25);
}

/// Guards against large bodies that leave although that costs more than it saves.
#[test]
fn a_gain_pays_for_the_round_trip_and_the_bytes() {
    let round_trip = Duration::from_millis(2);
    assert!(demand(2 << 10).gain_ms(0.95, 0.3, round_trip) > 0.0);
    assert!(demand(2 << 10).gain_ms(0.3, 0.3, round_trip) < 0.0);
    let small = demand(2 << 10).gain_ms(0.95, 0.3, round_trip);
    let large = demand(300 << 10).gain_ms(0.95, 0.3, round_trip);
    assert!((small - large - 146.0).abs() < 0.01, "{small}, {large}");
}

/// Guards against settings that silently mean something else.
#[test]
fn settings_out_of_range_are_refused() {
    for text in ["-1", "1001", "NaN", "inf", "", "2ms"] {
        assert!(text.parse::<CrossingPrice>().is_err(), "{text}");
    }
    assert_eq!(
        "0.5".parse::<CrossingPrice>().expect("a price").to_string(),
        "0.5"
    );
    assert!("Share".parse::<CrossingMode>().is_err());
    assert_eq!(CrossingMode::default(), CrossingMode::Cost);
}

/// Guards against a search that brings back a target of a domain that the request may not use, or that
/// finds none because the own domain has none.
#[test]
fn a_scope_only_removes_targets() {
    let kept = |scope: &SearchScope, targets: Vec<&'static str>| {
        let place = |name: &'static str| (name, domain(usize::from(name.starts_with('f'))));
        let mut targets: Vec<_> = targets.into_iter().map(place).collect();
        let is_local = |target: &(&str, DomainId)| target.0.starts_with('n');
        scope.retain(&mut targets, is_local, |target| &target.1);
        let names = targets.into_iter().map(|(name, _)| name);
        names.collect::<Vec<_>>()
    };
    assert_eq!(kept(&SearchScope::Own, vec!["n1", "f1"]), ["n1"]);
    assert_eq!(kept(&SearchScope::Own, vec!["f1"]), ["f1"]);
    assert_eq!(
        kept(&SearchScope::Domain(domain(1)), vec!["n1", "f1"]),
        ["f1"]
    );
    assert!(kept(&SearchScope::Domain(domain(2)), vec!["n1", "f1"]).is_empty());
    assert_eq!(kept(&SearchScope::Elsewhere, vec!["n1", "f1"]), ["f1"]);
    assert_eq!(kept(&SearchScope::All, vec!["n1", "f1"]), ["n1", "f1"]);
}
