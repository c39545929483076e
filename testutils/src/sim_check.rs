//! The invariants of section 2 of the design page, checked from the records.

use std::collections::BTreeMap;
use std::time::Duration;

use carobshore_lib::connection_pool::FRESH_AGE;
use carobshore_lib::prelude::*;

use crate::sim_platform::within;
use crate::sim_record::LeavingPeriod;
use crate::sim_record::RequestKind;
use crate::sim_world::World;

/// A leaving target gets no new work later than this after the first valid sign of its leaving.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// A confirmed configuration is in force on every VM within this time.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// The interval at which `was_reachable` samples pauses and log outages.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Counts of executions and responses in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Executions of run-once requests beyond the first.
    pub repeats: usize,
    /// "Not run" responses whose delivery ran, and requests that ran although every delivery was
    /// answered "not run".
    pub false_not_run: usize,
    /// Calls with at least one complete response.
    pub whole: usize,
    /// Deliveries answered "not run".
    pub not_run: usize,
    /// Deliveries answered "may have run".
    pub may_have_run: usize,
    /// Deliveries whose connection broke.
    pub broken: usize,
}

/// Returns the violations of the invariants. Each text starts with the invariant's number.
pub fn violations(world: &World) -> Vec<String> {
    let mut found = Vec::new();
    check_responses(world, &mut found);
    let counts = count(world);
    if counts.false_not_run > 0 {
        found.push(format!("3: {} false `not run`", counts.false_not_run));
    }
    if counts.repeats > 0 {
        found.push(format!("4: {} repeated run-once requests", counts.repeats));
    }
    check_draining(world, &mut found);
    for delivery in &world.records.cut_by_stop {
        found.push(format!("6: a planned stop cut off delivery {delivery}"));
    }
    check_configuration(world, &mut found);
    // The clocks of the VMs differ by up to 1% in their rates.
    let bound = FRESH_AGE.mul_f64(1.01);
    let stale = world.records.stale_writes.iter().find(|age| **age > bound);
    if let Some(age) = stale {
        found.push(format!(
            "8: a run-once request on a connection that last responded {age:?} ago"
        ));
    }
    found
}

/// Counts executions and responses.
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
    // Per call: whether it was delivered, only answered "not run", and answered completely.
    let mut calls = vec![(false, true, false); records.calls.len()];
    for (n, delivery) in records.deliveries.iter().enumerate() {
        let call = &mut calls[delivery.call];
        let outcome = delivery
            .response
            .as_ref()
            .and_then(|response| response.outcome);
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

fn check_responses(world: &World, found: &mut Vec<String>) {
    for (n, delivery) in world.records.deliveries.iter().enumerate() {
        let Some(response) = &delivery.response else {
            continue;
        };
        let own = response.body == Some(delivery.call) && response.complete;
        if response.outcome == Some(Outcome::Whole) && !own {
            found.push(format!("2: delivery {n} got {response:?}"));
        }
    }
}

fn check_draining(world: &World, found: &mut Vec<String>) {
    for period in &world.records.leaving_periods {
        for execution in &world.records.executions {
            let after = execution.at > period.at + DRAIN_LIMIT;
            let before = period.until.is_none_or(|until| execution.at < until);
            if execution.target != period.target || !after || !before {
                continue;
            }
            if knew_of_leaving(world, execution.vm, period, execution.at) {
                found.push(format!("5: {execution:?} after {period:?}"));
            }
        }
    }
}

/// Returns whether the VM ran for more than three seconds without a break after the sign, with the
/// log in reach where only the log shows it, so that it must have learnt of the leaving.
fn knew_of_leaving(world: &World, vm: usize, period: &LeavingPeriod, at: Duration) -> bool {
    was_reachable(world, vm, period.at, at, DRAIN_LIMIT, period.log_only)
}

/// Returns whether, between `from` and `at`, the VM ran without a break for longer than `span` and,
/// if `log` is set, the log answered in time all that while.
fn was_reachable(
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
    let mut uninterrupted = Duration::ZERO;
    let mut time = from;
    while time < at {
        let log_ok = world.log.is_up(time) && !within(&world.log.slow, time);
        let ok = !within(&pauses, time) && (log_ok || !log);
        uninterrupted = if ok {
            uninterrupted + SAMPLE_INTERVAL
        } else {
            Duration::ZERO
        };
        time += SAMPLE_INTERVAL;
        if uninterrupted > span {
            return true;
        }
    }
    false
}

fn check_configuration(world: &World, found: &mut Vec<String>) {
    let mut last: BTreeMap<usize, Version> = BTreeMap::new();
    for served in &world.records.served {
        let before = last.insert(served.vm, served.version).unwrap_or_default();
        if served.version < before {
            found.push(format!("7: reverted from {before}: {served:?}"));
        }
        let confirmed = world.records.confirmed.iter();
        let mut due = confirmed.filter(|(at, version)| {
            *version > served.version
                && was_reachable(world, served.vm, *at, served.at, IN_FORCE_LIMIT, true)
        });
        if let Some((at, version)) = due.next_back() {
            found.push(format!("7: {version} confirmed at {at:?}, but {served:?}"));
        }
    }
}
