//! The invariants of section 2 of the design page, checked from the records.

use std::collections::BTreeMap;
use std::time::Duration;

use carobshore_lib::connection_pool::FRESH_AGE;
use carobshore_lib::prelude::*;

use crate::sim_platform::within;
use crate::sim_record::LeavingPeriod;
use crate::sim_record::RequestKind;
use crate::sim_world::World;

/// A leaving target gets no new work after this time.
const DRAIN: Duration = Duration::from_secs(3);

/// A confirmed configuration is in force after this time.
const IN_FORCE: Duration = Duration::from_secs(4);

/// The steps in which reachability is examined.
const STEP: Duration = Duration::from_millis(100);

/// Counts of a run, for tests of many requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Executions of run-once requests beyond the first.
    pub repeats: usize,
    /// "Not run" answers whose delivery ran, and requests that ran although every delivery was
    /// answered "not run".
    pub false_not_run: usize,
    /// Calls with at least one whole answer.
    pub whole: usize,
    /// Deliveries answered "not run".
    pub not_run: usize,
    /// Deliveries answered "may have run".
    pub may_have_run: usize,
    /// Deliveries whose connection broke.
    pub broken: usize,
}

/// Returns the violations of the invariants, with the number of the invariant first.
pub fn violations(world: &World) -> Vec<String> {
    let mut found = Vec::new();
    whole_answers(world, &mut found);
    let counts = count(world);
    if counts.false_not_run > 0 {
        found.push(format!("3: {} false `not run`", counts.false_not_run));
    }
    if counts.repeats > 0 {
        found.push(format!("4: {} repeated run-once requests", counts.repeats));
    }
    draining(world, &mut found);
    for delivery in &world.records.cut_by_stop {
        found.push(format!("6: a planned stop cut off delivery {delivery}"));
    }
    configuration(world, &mut found);
    // The clocks of the VMs differ by up to 1% in their rates.
    let bound = FRESH_AGE.mul_f64(1.01);
    let stale = world.records.stale_writes.iter().find(|age| **age > bound);
    if let Some(age) = stale {
        found.push(format!(
            "8: a run-once request on a connection silent for {age:?}"
        ));
    }
    found
}

/// Counts executions and answers.
pub fn count(world: &World) -> Counts {
    let records = &world.records;
    let mut counts = Counts::default();
    let mut runs: BTreeMap<usize, usize> = BTreeMap::new();
    let mut ran = vec![false; records.deliveries.len()];
    for execution in &records.executions {
        *runs.entry(execution.call).or_default() += 1;
        ran[execution.delivery] = true;
    }
    let once = |call: &usize| records.calls[*call].kind != RequestKind::Repeatable;
    let repeats = runs.iter().filter(|(call, _)| once(call));
    counts.repeats = repeats.map(|(_, runs)| runs - 1).sum();
    // Per call: whether it was delivered, only answered "not run", and answered whole.
    let mut calls = vec![(false, true, false); records.calls.len()];
    for (n, delivery) in records.deliveries.iter().enumerate() {
        let call = &mut calls[delivery.call];
        let outcome = delivery.response.as_ref().and_then(|answer| answer.outcome);
        call.0 = true;
        call.1 &= outcome == Some(Outcome::NotRun);
        call.2 |= outcome == Some(Outcome::Whole);
        match outcome {
            Some(Outcome::NotRun) => counts.not_run += 1,
            Some(Outcome::MayHaveRun) => counts.may_have_run += 1,
            Some(Outcome::Whole) => {}
            None => counts.broken += 1,
        }
        counts.false_not_run += usize::from(outcome == Some(Outcome::NotRun) && ran[n]);
    }
    for (n, (delivered, not_run, whole)) in calls.into_iter().enumerate() {
        counts.false_not_run += usize::from(delivered && not_run && runs.contains_key(&n));
        counts.whole += usize::from(whole);
    }
    counts
}

fn whole_answers(world: &World, found: &mut Vec<String>) {
    for (n, delivery) in world.records.deliveries.iter().enumerate() {
        let Some(answer) = &delivery.response else {
            continue;
        };
        let own = answer.body == Some(delivery.call) && answer.complete;
        if answer.outcome == Some(Outcome::Whole) && !own {
            found.push(format!("2: delivery {n} got {answer:?}"));
        }
    }
}

fn draining(world: &World, found: &mut Vec<String>) {
    for sign in &world.records.leaving_periods {
        for execution in &world.records.executions {
            let after = execution.at > sign.at + DRAIN;
            let before = sign.until.is_none_or(|until| execution.at < until);
            if execution.target != sign.target || !after || !before {
                continue;
            }
            if informed(world, execution.vm, sign, execution.at) {
                found.push(format!("5: {execution:?} after {sign:?}"));
            }
        }
    }
}

/// Returns whether the VM could see the sign during the last three seconds.
fn informed(world: &World, vm: usize, sign: &LeavingPeriod, at: Duration) -> bool {
    reachable(world, vm, sign.at, at, DRAIN, sign.log_only)
}

/// Returns whether, between `from` and `at`, the VM ran for a whole span and, if asked for, the log
/// answered in time.
fn reachable(
    world: &World,
    vm: usize,
    from: Duration,
    at: Duration,
    span: Duration,
    log: bool,
) -> bool {
    let pauses = world
        .records
        .pauses
        .iter()
        .filter(|(paused, _)| *paused == vm);
    let pauses: Vec<_> = pauses.map(|(_, span)| *span).collect();
    let from = from.max(world.vms[vm].started);
    let mut free = Duration::ZERO;
    let mut time = from;
    while time < at {
        let log_ok = world.log.is_up(time) && !within(&world.log.slow, time);
        let ok = !within(&pauses, time) && (log_ok || !log);
        free = if ok { free + STEP } else { Duration::ZERO };
        time += STEP;
        if free > span {
            return true;
        }
    }
    false
}

fn configuration(world: &World, found: &mut Vec<String>) {
    let mut last: BTreeMap<usize, Version> = BTreeMap::new();
    for served in &world.records.served {
        let before = last.insert(served.vm, served.version).unwrap_or_default();
        if served.version < before {
            found.push(format!("7: reverted from {before}: {served:?}"));
        }
        let confirmed = world.records.confirmed.iter();
        let mut due = confirmed.filter(|(at, version)| {
            *version > served.version && reachable(world, served.vm, *at, served.at, IN_FORCE, true)
        });
        if let Some((at, version)) = due.next_back() {
            found.push(format!("7: {version} confirmed at {at:?}, but {served:?}"));
        }
    }
}
