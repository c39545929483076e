//! Tests of the budgets for probes and retries.

mod common;

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::measuring_budget::MeasuringBudget;
use carobshore_lib::measuring_budget::TRANSITION;
use carobshore_lib::prelude::*;
use carobshore_lib::retry_budget::RetryBudget;
use common::MS;
use proptest::prelude::*;

const BUDGET: TargetTime = TargetTime(30_000);
const COST: Duration = Duration::from_millis(6);
const VMS: u32 = 5;
const STEPS: u64 = 1_200;
const STEP: Duration = Duration::from_millis(50);

/// Changes of the set of homes: the step, and the homes with one bit per VM.
fn changes() -> impl Strategy<Value = Vec<(u64, u32)>> {
    prop::collection::vec((0..STEPS, 1_u32..1 << VMS), 0..8).prop_map(|mut changes| {
        changes.push((0, 0b00111));
        changes.sort_unstable();
        changes
    })
}

/// The pauses between one VM's reads of the log, in steps. Some are longer than a lease.
fn pauses() -> impl Strategy<Value = Vec<u64>> {
    let pause = prop_oneof![8 => 5..15_u64, 2 => 50..180_u64, 1 => 200..500_u64];
    prop::collection::vec(pause, 10)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against probes of all VMs together that exceed the budget in any second, while VMs
    /// that probe as often as they may learn of changed homes at different times.
    #[test]
    fn sum_over_vms_stays_within_budget(
        changes in changes(),
        pauses in prop::collection::vec(pauses(), VMS as usize),
    ) {
        let base = Instant::now();
        let mut budgets = vec![MeasuringBudget::default(); VMS as usize];
        let mut reads = vec![0; VMS as usize];
        let mut applied = vec![0; VMS as usize];
        let mut probes = Vec::new();
        for step in 0..STEPS {
            let now = base + STEP * step as u32;
            for vm in 0..VMS as usize {
                if step == reads[vm] {
                    let known = changes.iter().filter(|(at, _)| *at <= step).count();
                    for (_, homes) in &changes[applied[vm]..known] {
                        let member = homes & (1 << vm) != 0;
                        let sharers = if member { homes.count_ones() } else { 0 };
                        budgets[vm].set_share(now, BUDGET, sharers);
                    }
                    applied[vm] = known;
                    budgets[vm].set_lease(now + Duration::from_secs(10));
                    reads[vm] = step + pauses[vm][step as usize % pauses[vm].len()];
                }
                while let Some((charge, _)) = budgets[vm].charge(now, COST, COST) {
                    budgets[vm].settle(now + COST, charge, COST);
                    probes.push(now);
                }
            }
            let second = probes.iter().rev().take_while(|at| now - **at < Duration::from_secs(1));
            let used = COST * second.count() as u32;
            prop_assert!(used <= BUDGET.per_second(), "{used:?} in the second before step {step}");
        }
    }
}

/// Guards against a new home that spends its share at once, and against homes that never probe.
#[test]
fn a_share_starts_after_the_transition_and_ends_with_the_lease() {
    let start = Instant::now();
    let mut budget = MeasuringBudget::default();
    budget.set_share(start, BUDGET, 3);
    budget.set_lease(start + TRANSITION + Duration::from_secs(10));
    assert!(budget.charge(start + TRANSITION - MS, COST, COST).is_none());
    let started = start + TRANSITION;
    let (first, _) = budget
        .charge(started, COST, COST)
        .expect("the share has started");
    assert!(
        budget.charge(started, COST, COST).is_none(),
        "10 ms/s allow one probe of 6 ms"
    );
    budget.settle(started + COST, first, COST);
    assert!(
        budget
            .charge(started + Duration::from_secs(1), COST, COST)
            .is_none()
    );
    let later = started + COST + Duration::from_secs(1);
    assert!(
        budget.charge(later, COST, COST).is_some(),
        "tokens are released one second after the probe"
    );
    let lapsed = start + TRANSITION + Duration::from_secs(10);
    assert_eq!(budget.limit(lapsed), Duration::ZERO);
}

/// Guards against retries that multiply the load when everything fails, and against no retries at
/// all in a service with few requests.
#[test]
fn retries_are_limited_to_three_percent_with_a_floor() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(start);
    assert!(budget.retry(start), "the floor allows one");
    assert!(!budget.retry(start));
    assert!(
        budget.retry(start + Duration::from_secs(1)),
        "one per second"
    );
    let mut retries = 0;
    for request in 0..10_000_u32 {
        budget.first_attempt();
        let now = start + Duration::from_secs(2) + MS * request;
        retries += u32::from(budget.retry(now));
    }
    // 300 are 3% of the requests; the floor adds at most 10 in 10 s.
    assert!((290..=310).contains(&retries), "{retries} retries");
}

/// Guards against a probe of a straggler that takes more target time than the share: the probe gets
/// what is left of it, and time used in excess is held, too.
#[test]
fn a_probe_gets_the_remaining_time_and_holds_what_it_used() {
    let start = Instant::now();
    let mut budget = MeasuringBudget::default();
    budget.set_share(start, BUDGET, 3);
    let started = start + TRANSITION;
    budget.set_lease(started + Duration::from_secs(10));
    let (first, granted) = budget
        .charge(started, COST, COST * 4)
        .expect("the share has started");
    assert_eq!(granted, MS * 10, "the whole share of 10 ms/s");
    budget.settle(started + MS * 2, first, MS * 2);
    assert_eq!(
        budget.held(started + MS * 2),
        MS * 2,
        "unused time is released at once"
    );
    let (second, granted) = budget
        .charge(started + MS * 2, COST, COST * 4)
        .expect("8 ms are left");
    assert_eq!(granted, MS * 8);
    budget.settle(started + MS * 22, second, MS * 20);
    assert_eq!(
        budget.held(started + MS * 22),
        MS * 22,
        "the time until a late cancellation is held in full"
    );
    assert!(budget.charge(started + MS * 900, COST, COST).is_none());
}
