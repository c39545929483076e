//! Tests of the ejection and readmission of slow and failing targets.

mod common;

use std::time::Duration;

use carobshore_lib::measuring_budget::TRANSITION;
use carobshore_lib::prelude::*;
use common::*;

const SECOND: Duration = Duration::from_secs(1);

fn warm(targets: usize, slots: u32) -> Bench {
    let mut bench = Bench::new(PoolSettings::default(), &pool_targets(targets, slots));
    bench.serve(targets * 20, |_| MS * 20);
    bench
}

fn ejected(bench: &Bench) -> Vec<String> {
    let dump = bench.pool.dump(bench.now);
    let targets = dump["targets"].as_array().unwrap().clone();
    let out = targets
        .iter()
        .filter(|target| target["health"] != "serving");
    out.map(|target| target["id"].as_str().unwrap().to_owned())
        .collect()
}

/// Keeps every slot in use for `time`; requests on `slow` targets stay in flight, all others finish
/// in 20 ms. Returns the attempts that stay in flight.
fn stall(bench: &mut Bench, slow: &[usize], time: Duration) -> Vec<AttemptId> {
    let is_slow = |target: &TargetId| slow.iter().any(|index| target_id(*index) == *target);
    let mut stalled = Vec::new();
    let end = bench.now + time;
    while bench.now < end {
        let mut quick = Vec::new();
        while bench.pool.load().0 > 0 {
            let (attempt, target) = started(&bench.submit()).unwrap();
            let list = if is_slow(&target) {
                &mut stalled
            } else {
                &mut quick
            };
            list.push(attempt);
        }
        bench.tick_after(MS * 20);
        for attempt in quick {
            bench.finish(attempt, AttemptResult::Done);
        }
    }
    stalled
}

/// Guards against detecting a straggler only when its responses arrive, or never.
#[test]
fn a_stopped_target_is_ejected_by_the_age_of_its_requests() {
    let mut bench = warm(6, 2);
    stall(&mut bench, &[3], MS * 400);
    assert_eq!(ejected(&bench), ["t3"]);
}

/// Guards against a slow target that stays in service, and against ejection for a single slow
/// response.
#[test]
fn a_slow_target_is_ejected_after_a_few_responses() {
    let mut bench = warm(6, 2);
    let slow = |target: &TargetId| {
        if *target == target_id(2) {
            MS * 200
        } else {
            MS * 20
        }
    };
    let mut slow_responses = 0;
    for _ in 0..5_000 {
        if !ejected(&bench).is_empty() {
            break;
        }
        let (attempt, target) = started(&bench.submit()).unwrap();
        slow_responses += u32::from(target == target_id(2));
        bench.now += slow(&target);
        bench.finish(attempt, AttemptResult::Done);
        assert!(slow_responses < 12, "not ejected");
    }
    assert_eq!(ejected(&bench), ["t2"]);
    assert!(
        slow_responses > 1,
        "one slow response is not enough evidence"
    );
}

/// Guards against a target that fails fast, therefore always has free slots, and attracts all
/// requests.
#[test]
fn a_failing_target_is_ejected() {
    let mut bench = warm(6, 2);
    let mut failures = 0;
    for _ in 0..200 {
        let (attempt, target) = started(&bench.submit()).unwrap();
        if target == target_id(1) {
            failures += 1;
            bench.now += MS / 10;
            bench.finish(attempt, AttemptResult::ConnectFailed);
        } else {
            bench.now += MS * 20;
            bench.finish(attempt, AttemptResult::Done);
        }
    }
    assert!(failures < 20, "{failures} of 200 requests failed");
}

/// Guards against the ejection of more than one third of the targets.
#[test]
fn at_most_one_third_is_ejected_and_others_are_on_standby() {
    let mut bench = warm(7, 2);
    stall(&mut bench, &[0, 1, 2, 3], SECOND);
    let dump = bench.pool.dump(bench.now);
    let targets = dump["targets"].as_array().unwrap();
    let out = targets
        .iter()
        .filter(|t| t["health"] != "serving" && t["standby"] == false);
    assert_eq!(out.count(), 2);
}

/// Guards against an outage caused by ejecting all targets when all are slow.
#[test]
fn when_all_targets_are_slow_none_is_ejected() {
    let mut bench = warm(6, 2);
    for _ in 0..300 {
        let mut attempts = Vec::new();
        while let Some((attempt, _)) = started(&bench.submit()) {
            attempts.push(attempt);
        }
        assert!(!attempts.is_empty() || bench.pool.load().1 > 0);
        bench.tick_after(MS * 400);
        for attempt in attempts {
            let mut next = Some(attempt);
            while let Some(attempt) = next {
                next = started(&bench.finish(attempt, AttemptResult::Done)).map(|s| s.0);
                bench.now += MS * 30;
            }
        }
    }
    assert_eq!(ejected(&bench), [""; 0]);
    let before = bench.pool.counters().started;
    bench.submit();
    assert_eq!(
        bench.pool.counters().started,
        before + 1,
        "requests are served"
    );
}

fn probe(actions: &[PoolAction]) -> Option<(AttemptId, TargetId)> {
    actions.iter().find_map(|action| match action {
        PoolAction::Probe { attempt, target } => Some((*attempt, target.clone())),
        _ => None,
    })
}

/// Stalls a target until it is ejected, then ends its requests.
fn eject(bench: &mut Bench, index: usize) {
    for attempt in stall(bench, &[index], MS * 400) {
        bench.finish(attempt, AttemptResult::Done);
    }
    assert_eq!(ejected(bench), [target_id(index).to_string()]);
}

/// Guards against an ejected target that is never readmitted, and against readmission after a
/// failed probe.
#[test]
fn one_probe_readmits_a_target() {
    let mut bench = warm(6, 2);
    bench.now += TRANSITION;
    eject(&mut bench, 4);
    // The lease is granted last, so that no probes are sent before the loop that finishes them.
    let until = bench.now + SECOND * 60;
    let mut actions = bench.event(PoolEvent::Lease { until });
    let mut results = vec![MS * 6, MS * 60];
    for _ in 0..400 {
        if let Some((attempt, target)) = probe(&actions) {
            let time = if target == target_id(4) {
                results.pop().unwrap()
            } else {
                MS * 6
            };
            bench.now += time;
            bench.finish(attempt, AttemptResult::Done);
        }
        if ejected(&bench).is_empty() {
            break;
        }
        actions = bench.tick_after(MS * 10);
    }
    assert_eq!(
        results,
        [],
        "the slow probe must not readmit the target and the fast one must"
    );
    assert_eq!(ejected(&bench), [""; 0]);
}

/// Guards against probes by a VM that does not know its share of the budget.
#[test]
fn without_a_lease_an_idempotent_request_is_the_trial() {
    let mut bench = warm(6, 2);
    bench.now += TRANSITION;
    eject(&mut bench, 4);
    bench.tick_after(SECOND);
    for _ in 0..30 {
        let (attempt, target) = started(&bench.submit()).unwrap();
        assert_ne!(
            target,
            target_id(4),
            "a run-once request must not be a trial"
        );
        bench.now += MS;
        bench.finish(attempt, AttemptResult::Done);
    }
    let (trial, target) = started(&bench.submit_repeatable()).unwrap();
    assert_eq!(target, target_id(4));
    let (other, target) = started(&bench.submit_repeatable()).unwrap();
    assert_ne!(target, target_id(4), "one trial at a time");
    bench.now += MS * 20;
    bench.finish(other, AttemptResult::Done);
    bench.finish(trial, AttemptResult::Done);
    assert_eq!(ejected(&bench), [""; 0]);
    assert_eq!(bench.pool.counters().probes, 0);
}

/// Guards against a probe that uses more of a straggler's time than the budget of the service
/// allows: it is cancelled when its target time is used up, and counts as failed.
#[test]
fn a_probe_is_cancelled_when_its_target_time_is_used_up() {
    let mut bench = warm(6, 2);
    bench.now += TRANSITION;
    eject(&mut bench, 4);
    let until = bench.now + SECOND * 60;
    let mut actions = bench.event(PoolEvent::Lease { until });
    let mut straggler = None;
    for _ in 0..400 {
        match probe(&actions) {
            Some((attempt, target)) if target == target_id(4) => {
                straggler = Some(attempt);
                break;
            }
            Some((attempt, _)) => {
                bench.now += MS * 6;
                bench.finish(attempt, AttemptResult::Done);
            }
            None => {}
        }
        actions = bench.tick_after(MS * 10);
    }
    let attempt = straggler.expect("the ejected target is probed");
    let cancelled_after = (1..=100).find(|_| {
        let actions = bench.tick_after(MS);
        actions.contains(&PoolAction::Cancel { attempt })
    });
    // The only home has the whole budget of 30 ms/s.
    assert!(
        cancelled_after.is_some_and(|millis| millis <= 30),
        "{cancelled_after:?}"
    );
    bench.finish(attempt, AttemptResult::Cancelled);
    assert_eq!(ejected(&bench), [target_id(4).to_string()]);
}
