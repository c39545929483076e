//! Guards against cold targets that get more requests than they bear from all VMs together, and
//! against cold targets that are not used at all.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::limit_lenders::LimitLenders;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::RequestRate;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::vm_roster::VmRecord;
use carobshore_lib::vm_roster::VmRoster;
use carobshore_lib::warmup::cold_limit::ColdLimit;
use carobshore_lib::warmup::cold_share::ColdShare;
use carobshore_lib::warmup::cold_target::ColdTarget;
use carobshore_lib::warmup::cold_target::WarmupChange;
use carobshore_lib::warmup::warmup_rule::WarmupRule;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// The bounds of the settings.
const OVER: f64 = 1.5;
const SLACK: f64 = 8.0;
/// Resolution of the simulation, and the longest time of an answer of another VM.
const STEP: Duration = Duration::from_millis(10);
const LATEST_ANSWER_MS: u64 = 40;
const FIRST_PORT: u16 = 7_000;

fn target() -> TargetId {
    "i-cold".parse().expect("an id")
}

fn rate(per_second: f64) -> RequestRate {
    per_second.try_into().expect("a rate")
}

fn limit(per_second: f64) -> ColdLimit {
    ColdLimit::new(rate(per_second), OVER, SLACK)
}

fn domain(vm: usize) -> DomainId {
    format!("d{}", vm % 3).parse().expect("a domain")
}

fn roster(vms: impl Iterator<Item = usize>) -> VmRoster {
    let record = |index: usize| VmRecord {
        name: format!("edge-{index}").into(),
        domain: domain(index),
        feed: ([127, 0, 0, 1], FIRST_PORT + index as u16).into(),
        link: 10,
        era: None,
    };
    VmRoster::new(vms.map(record).collect())
}

fn cold_for(now: Instant, started: Instant, per_second: f64) -> ColdTarget {
    let mut cold = ColdTarget::new(started);
    cold.set_limit(Some(limit(per_second)));
    cold.set_entry(Some(now + Duration::from_secs(3_600)));
    cold
}

/// One VM: what it knows, and whether others reach it.
struct Vm {
    cold: ColdTarget,
    roster: VmRoster,
    lenders: LimitLenders,
    cut_off: bool,
}

/// A cold target and the VMs that send to it, which may have one of two lists of VMs and change it.
struct Model {
    rate: f64,
    vms: Vec<Vm>,
    /// The lists of VMs that are in use.
    lists: Vec<VmRoster>,
    rng: StdRng,
    /// Share of questions whose answer is lost, after a request was given up.
    lost: f64,
    /// Requests that were given up, on their way to the VM that sends them.
    late: Vec<Instant>,
    sent: Vec<Instant>,
}

impl Model {
    fn new(now: Instant, vms: usize, per_second: f64, two_lists: bool, seed: u64) -> Self {
        let start = now - Duration::from_secs(60);
        let vm = |_| Vm {
            cold: cold_for(now, start, per_second),
            roster: roster(0..vms),
            lenders: LimitLenders::default(),
            cut_off: false,
        };
        let mut model = Self {
            rate: per_second,
            vms: (0..vms).map(vm).collect(),
            lists: vec![roster(0..vms)],
            rng: StdRng::seed_from_u64(seed),
            lost: 0.0,
            late: Vec::new(),
            sent: Vec::new(),
        };
        if two_lists {
            // Groups without common members send most: each VM begins with the list that has it.
            model.lists = vec![roster(0..vms / 2), roster(vms / 2..vms)];
            for (index, vm) in model.vms.iter_mut().enumerate() {
                vm.roster = model.lists[usize::from(index >= vms / 2)].clone();
            }
        }
        (0..vms).for_each(|index| model.set_share(now, index));
        model
    }

    fn set_share(&mut self, now: Instant, index: usize) {
        let vm = &mut self.vms[index];
        let name = format!("edge-{index}");
        let share = ColdShare::new(&vm.roster, &name, false, &target(), limit(self.rate));
        vm.cold.set_share(now, share);
    }

    fn change_list(&mut self, now: Instant, index: usize) {
        let list = self.rng.random_range(0..self.lists.len());
        self.vms[index].roster = self.lists[list].clone();
        self.set_share(now, index);
    }

    fn restart(&mut self, now: Instant, index: usize) {
        self.vms[index].cold = cold_for(now, now, self.rate);
        self.vms[index].lenders = LimitLenders::default();
        self.set_share(now, index);
    }

    fn request(&mut self, now: Instant, index: usize) {
        if self.vms[index].cold.take(now) {
            self.sent.push(now);
            return;
        }
        let name = format!("edge-{index}");
        let own = domain(index);
        let vm = &mut self.vms[index];
        let members = limit(self.rate).members(vm.roster.len().unwrap_or(0));
        let groups = [(target(), members)];
        let me = (&*name, &own);
        for lender in vm.lenders.choose(now, &vm.roster, me, &groups) {
            let other = usize::from(lender.vm.port() - FIRST_PORT);
            if self.vms[index].cut_off || self.vms[other].cut_off {
                self.vms[index].lenders.refused(now, lender, None);
                continue;
            }
            if self.vms[other].cold.give_up(now) {
                if self.rng.random_bool(self.lost) {
                    continue;
                }
                let delay = self.rng.random_range(0..=LATEST_ANSWER_MS);
                self.late.push(now + Duration::from_millis(delay));
                self.vms[index].cold.borrowed(now);
                return;
            }
            let next = self.vms[other].cold.next_in(now);
            self.vms[index].lenders.refused(now, lender, next);
        }
    }

    fn play(&mut self, start: Instant, time: Duration, demand: f64, faults: f64) {
        let mut now = start;
        while now < start + time {
            let arrived = self.late.extract_if(.., |at| *at <= now);
            self.sent.extend(arrived);
            for index in 0..self.vms.len() {
                if self.rng.random_bool(faults) {
                    self.restart(now, index);
                }
                if self.rng.random_bool(faults) {
                    self.vms[index].cut_off ^= true;
                }
                if self.rng.random_bool(faults / 4.0) {
                    self.change_list(now, index);
                }
                if self.rng.random_bool(demand) {
                    self.request(now, index);
                }
            }
            now += STEP;
        }
        self.sent.append(&mut self.late);
        self.sent.sort_unstable();
    }

    fn most_in_a_window(&self) -> usize {
        let within = |(index, start): (usize, &Instant)| {
            let end = *start + WINDOW;
            self.sent[index..].partition_point(|at| *at < end)
        };
        self.sent.iter().enumerate().map(within).max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Restarts, VMs that are cut off, two lists of VMs, and lost or late answers of other VMs must
    /// not add up to more than the bound in any second.
    #[test]
    fn all_vms_together_keep_to_the_bound_in_every_second(
        vms in prop::sample::select(vec![1_usize, 2, 3, 8, 56, 112]),
        per_second in prop::sample::select(vec![0.0, 0.5, 4.1, 7.3, 40.0]),
        demand in prop::sample::select(vec![0.002, 0.05, 0.3]),
        faults in prop::sample::select(vec![0.0, 0.002, 0.02]),
        lost in prop::sample::select(vec![0.0, 0.3]),
        two_lists in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let start = Instant::now() + Duration::from_secs(600);
        let mut model = Model::new(start, vms, per_second, two_lists, seed);
        model.lost = lost;
        model.play(start, Duration::from_secs(4), demand, faults);
        // What was saved in a calm goes out at once.
        let burst = start + Duration::from_secs(20);
        model.play(burst, Duration::from_secs(3), 0.3, faults);
        let most = model.most_in_a_window() as f64;
        let bound = per_second * OVER + SLACK;
        prop_assert!(most <= bound, "{} requests in a second, at most {}", most, bound);
    }
}

/// Guards against cold targets that are hardly used, because the VMs that get the requests have no
/// part.
#[test]
fn a_cold_target_gets_most_of_what_one_group_may_send() {
    for vms in [1, 4, 56, 112] {
        for per_second in [4.1, 7.3] {
            let start = Instant::now() + Duration::from_secs(600);
            let mut model = Model::new(start, vms, per_second, false, 3);
            let time = Duration::from_secs(20);
            model.play(start, time, (8.0 / vms as f64).min(0.9), 0.0);
            let may = limit(per_second).rate() * time.as_secs_f64();
            let sent = model.sent.len() as f64;
            println!("{vms} VMs at {per_second}/s: {sent} of {may}");
            assert!(sent >= 0.9 * may, "{vms} VMs: {sent} of {may}");
        }
    }
}

#[test]
fn a_process_that_has_just_started_sends_nothing_to_a_cold_target() {
    let now = Instant::now();
    let list = roster(0..1);
    let share = ColdShare::new(&list, "edge-0", false, &target(), limit(7.3));
    assert!(share.burst >= 1.0);
    let mut cold = cold_for(now, now, 7.3);
    cold.set_share(now, share);
    assert!(!cold.take(now + Duration::from_millis(900)));
    assert!(cold.take(now + WINDOW));
    for (name, list, is_new) in [
        ("edge-0", &list, true),
        ("edge-1", &list, false),
        ("edge-0", &VmRoster::default(), false),
    ] {
        let none = ColdShare::new(list, name, is_new, &target(), limit(7.3));
        assert_eq!(none, ColdShare::default(), "{name} {is_new}");
    }
}

/// Guards against a burst at the moment when a target turns cold: requests of the same second that
/// were sent before count.
#[test]
fn a_target_that_turns_cold_gets_nothing_within_a_second_of_the_last_request() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut cold = ColdTarget::new(start);
    cold.set_limit(Some(limit(7.3)));
    let share = ColdShare::new(&roster(0..1), "edge-0", false, &target(), limit(7.3));
    cold.set_share(now, share);
    assert!(cold.take(now) && cold.take(now), "it is warm");
    let left = Some(Duration::from_secs(3));
    cold.answered(now, now, left);
    assert_eq!(cold.take_change(now), Some(WarmupChange::Cold));
    assert!(!cold.take(now + Duration::from_millis(500)));
    assert!(cold.take(now + WINDOW));
    let end = now + Duration::from_secs(3);
    assert!((0..100).all(|_| cold.take(end)), "it is warm again");
    assert_eq!(cold.take_change(end), Some(WarmupChange::Warm));
}

#[test]
fn a_target_that_may_have_restarted_gets_nothing_before_it_answers_a_health_check() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut cold = ColdTarget::new(start);
    cold.set_limit(Some(limit(7.3)));
    assert!(cold.doubt(now) && !cold.doubt(now));
    assert!(!cold.take(now + Duration::from_secs(9)));
    assert!(cold.is_answer_likely());
    assert!(cold.start_check(now, || true) && !cold.start_check(now, || true));
    cold.check_failed();
    assert!(!cold.is_answer_likely() && cold.is_unverified());
    let later = now + Duration::from_secs(1);
    cold.answered(later, now - STEP, None);
    assert!(!cold.take(later), "the check was sent before the doubt");
    cold.answered(later, later - STEP, Some(Duration::ZERO));
    assert!(cold.take(later));
    // Services without a rule are not affected.
    cold.set_limit(None);
    assert!(!cold.doubt(later) && cold.take(later));
}

#[test]
fn a_new_generation_is_cold_for_the_time_of_the_rule_unless_it_says_otherwise() {
    let start = Instant::now();
    let rule = WarmupRule {
        time: Duration::from_secs(3),
        rate: rate(4.1),
    };
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut cold = ColdTarget::new(start);
    cold.set_limit(Some(limit(4.1)));
    cold.announced(after(10), 1, None);
    assert!(!cold.is_cold(after(10)), "it may have started long ago");
    cold.announced(after(20), 2, Some(rule));
    cold.announced(after(22), 2, Some(rule));
    assert_eq!(cold.cold_until(after(20)), Some(after(23)));
    cold.answered(after(21), after(21), Some(Duration::ZERO));
    assert!(!cold.is_cold(after(21)));
    cold.announced(after(30), 3, Some(rule));
    cold.set_entry(Some(after(31)));
    assert_eq!(cold.cold_until(after(30)), Some(after(31)));
    // The longer one of the entry and the health check counts.
    cold.answered(after(30), after(30), Some(Duration::from_secs(5)));
    assert_eq!(cold.cold_until(after(30)), Some(after(35)));
}

#[test]
fn an_answer_of_an_earlier_process_does_not_warm_a_restarted_target() {
    let start = Instant::now();
    let mut cold = ColdTarget::new(start);
    cold.set_limit(Some(limit(4.0)));
    let rule = WarmupRule {
        time: Duration::from_secs(3),
        rate: rate(4.0),
    };
    let sent = start + Duration::from_secs(1);
    let announced = sent + STEP;
    cold.announced(announced, 2, Some(rule));
    cold.answered(announced + STEP, sent, Some(Duration::ZERO));
    assert!(cold.is_cold(announced + STEP));
    cold.answered(announced + STEP, announced, Some(Duration::ZERO));
    assert!(!cold.is_cold(announced + STEP));
}
