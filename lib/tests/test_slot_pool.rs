//! Tests of the slot pool: slots, queue, spills, limits and hedges.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use carobshore_lib::prelude::*;
use common::*;

const SECOND: Duration = Duration::from_secs(1);

fn bench(targets: usize, slots: u32) -> Bench {
    Bench::new(PoolSettings::default(), &pool_targets(targets, slots))
}

/// A pool whose targets have finished their ramp-up, at about 20 ms a request.
fn warm(targets: usize, slots: u32) -> Bench {
    let mut bench = bench(targets, slots);
    bench.serve(targets * 12 * slots as usize, |_| MS * 20);
    bench
}

/// Submits requests until none starts any more, and returns the started attempts.
fn fill(bench: &mut Bench) -> Vec<(AttemptId, TargetId)> {
    std::iter::from_fn(|| started(&bench.submit())).collect()
}

fn spilled(actions: &[PoolAction]) -> Option<(TicketId, VmId)> {
    actions.iter().find_map(|action| match action {
        PoolAction::Spill { ticket, vm } => Some((*ticket, vm.clone())),
        _ => None,
    })
}

fn peer(vm: usize, free: u32, queued: u32) -> PoolEvent {
    let vm = vm_id(vm);
    PoolEvent::Peer(PeerLoad { vm, free, queued })
}

/// Guards against a cold target that gets its full load at once.
#[test]
fn a_new_target_ramps_up_from_one_slot() {
    let mut bench = bench(1, 3);
    let mut widths = Vec::new();
    for _ in 0..4 {
        let attempts = fill(&mut bench);
        widths.push(attempts.len());
        for (attempt, _) in attempts {
            bench.now += MS * 20;
            let mut next = started(&bench.finish(attempt, AttemptResult::Done));
            while let Some((attempt, _)) = next {
                bench.now += MS * 20;
                next = started(&bench.finish(attempt, AttemptResult::Done));
            }
        }
    }
    assert_eq!(widths[0], 1);
    assert!(widths.is_sorted() && widths[3] == 3, "{widths:?}");
}

/// Guards against a target that sheds load and still gets its configured number of requests, and
/// against a lowered limit that never rises again.
#[test]
fn shedding_lowers_the_limit_which_recovers_slot_by_slot() {
    let mut bench = warm(1, 4);
    let attempts = fill(&mut bench);
    assert_eq!(attempts.len(), 4);
    bench.finish(attempts[0].0, AttemptResult::Shed);
    bench.finish(attempts[1].0, AttemptResult::Shed);
    bench.now += MS * 20;
    bench.finish(attempts[2].0, AttemptResult::Done);
    bench.finish(attempts[3].0, AttemptResult::Done);
    let width = |bench: &mut Bench| {
        let dump = bench.pool.dump(bench.now);
        dump["targets"][0]["ramp"]["limit"].as_u64().unwrap()
    };
    assert_eq!(width(&mut bench), 2);
    for expected in [2, 3, 4] {
        assert_eq!(width(&mut bench), expected);
        bench.now += SECOND;
        let due: Vec<AttemptId> = (0..200).map(AttemptId).collect();
        for attempt in due {
            bench.finish(attempt, AttemptResult::Cancelled);
        }
        bench.serve(2, |_| MS * 20);
    }
}

/// Guards against new requests on a draining target, and against aborting its requests in flight.
#[test]
fn a_drained_target_gets_no_requests_until_a_newer_generation() {
    let mut bench = warm(2, 1);
    let (attempt, target) = started(&bench.submit()).unwrap();
    let actions = bench.event(PoolEvent::Drain {
        target: target.clone(),
    });
    assert_eq!(actions, [], "the request in flight continues");
    bench.finish(attempt, AttemptResult::Done);
    let old = pool_targets(2, 1);
    for _ in 0..20 {
        bench.set_targets(&old);
        let (attempt, other) = started(&bench.submit()).unwrap();
        assert_ne!(other, target);
        bench.now += MS * 20;
        bench.finish(attempt, AttemptResult::Done);
    }
    let mut newer = old;
    for target in &mut newer.targets {
        target.generation = 2;
    }
    bench.set_targets(&newer);
    let both = fill(&mut bench);
    assert!(both.iter().any(|(_, other)| *other == target));
}

/// Guards against requests that wait although no target can ever serve them.
#[test]
fn without_usable_targets_requests_are_spilled_or_rejected() {
    let mut bench = warm(1, 1);
    fill(&mut bench);
    let target = target_id(0);
    let actions = bench.event(PoolEvent::Drain { target });
    assert_eq!(
        rejected(&actions),
        Some(ResultCode::NoTarget),
        "the queued request"
    );
    assert_eq!(rejected(&bench.submit()), Some(ResultCode::NoTarget));
    bench.event(peer(1, 1, 0));
    assert_eq!(spilled(&bench.submit()).unwrap().1, vm_id(1));
}

/// Guards against serving callers that no longer wait, and against an unbounded queue.
#[test]
fn late_requests_and_a_full_queue_are_refused() {
    let settings = PoolSettings {
        queue_limit: 2,
        ..PoolSettings::default()
    };
    let mut bench = Bench::new(settings, &pool_targets(1, 1));
    bench.serve(10, |_| MS * 20);
    let deadline = |bench: &mut Bench, after: Duration| {
        let ticket = Ticket {
            deadline: bench.now + after,
            ..bench.ticket()
        };
        bench.event(PoolEvent::Submit(ticket))
    };
    let too_close = Some(ResultCode::DeadlineTooClose);
    assert_eq!(rejected(&deadline(&mut bench, MS * 10)), too_close);
    assert!(started(&deadline(&mut bench, SECOND)).is_some());
    assert_eq!(
        rejected(&deadline(&mut bench, MS * 30)),
        too_close,
        "the wait counts"
    );
    assert_eq!(deadline(&mut bench, MS * 100), []);
    let wakeup = bench.pool.wakeup().unwrap();
    assert!(wakeup <= bench.now + MS * 80);
    assert_eq!(deadline(&mut bench, SECOND), []);
    assert_eq!(rejected(&bench.submit()), Some(ResultCode::QueueFull));
    let actions = bench.tick_after(MS * 81);
    assert_eq!(
        rejected(&actions),
        too_close,
        "only the request that is too late"
    );
    assert_eq!(actions.len(), 1);
}

/// Guards against a caller with long requests that starves one with short requests: in a saturated
/// pool each gets its share of the slot time, and the second waits for a few requests at most.
#[test]
fn a_heavy_caller_does_not_starve_a_light_one() {
    let mut bench = warm(1, 1);
    let (mut running, _) = started(&bench.submit()).unwrap();
    let mut owners = BTreeMap::new();
    let mut submit = |bench: &mut Bench, caller: &str, heavy: bool| {
        let ticket = Ticket {
            caller: CallerId::of(caller),
            deadline: bench.now + SECOND * 600,
            ..bench.ticket()
        };
        owners.insert(ticket.id, heavy);
        bench.event(PoolEvent::Submit(ticket));
    };
    for _ in 0..300 {
        submit(&mut bench, "uploads", true);
    }
    for _ in 0..100 {
        submit(&mut bench, "reads", false);
    }
    let (mut served, mut time) = ([0, 0], [Duration::ZERO, Duration::ZERO]);
    let mut heavy = false;
    while served[0] < 60 {
        bench.now += if heavy { MS * 80 } else { MS * 20 };
        let actions = bench.finish(running, AttemptResult::Done);
        let (ticket, attempt) = actions
            .iter()
            .find_map(|action| match action {
                PoolAction::Start {
                    ticket, attempt, ..
                } => Some((*ticket, *attempt)),
                _ => None,
            })
            .expect("requests wait");
        running = attempt;
        heavy = owners[&ticket];
        served[usize::from(heavy)] += 1;
        time[usize::from(heavy)] += if heavy { MS * 80 } else { MS * 20 };
    }
    assert!(
        time[1] <= time[0] * 2,
        "reads {:?}, uploads {:?}",
        time[0],
        time[1]
    );
    assert!(
        time[0] <= time[1] * 2,
        "reads {:?}, uploads {:?}",
        time[0],
        time[1]
    );
}

/// Guards against requests that are forwarded back and forth between homes, and against spills on
/// outdated reports.
#[test]
fn a_request_is_spilled_once_and_only_on_a_fresh_report() {
    let mut bench = warm(10, 2);
    for _ in 0..20 {
        assert!(started(&bench.submit()).is_some());
    }
    bench.event(peer(1, 2, 0));
    for _ in 0..3 {
        let ticket = Ticket {
            spilled: true,
            ..bench.ticket()
        };
        assert_eq!(
            bench.event(PoolEvent::Submit(ticket)),
            [],
            "it has been spilled before"
        );
    }
    for _ in 0..2 {
        assert_eq!(spilled(&bench.submit()).unwrap().1, vm_id(1));
    }
    assert_eq!(
        spilled(&bench.submit()),
        None,
        "the report had two free slots"
    );
    bench.now += MS * 100;
    assert!(
        spilled(&bench.submit()).is_some(),
        "one request is spilled to get a new report"
    );
    assert_eq!(spilled(&bench.submit()), None, "and only one");
    let actions = bench.event(peer(2, 1, 0));
    let oldest = spilled(&actions).expect("a queued request").0;
    assert_eq!(
        oldest.0,
        bench.next - 2,
        "the oldest one that may be spilled"
    );
}

fn hedge(actions: &[PoolAction]) -> Option<AttemptId> {
    actions.iter().find_map(|action| match action {
        PoolAction::Hedge { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

/// Guards against hedges of run-once requests, hedges that are sent too early, and losing copies
/// that are not cancelled.
#[test]
fn slow_idempotent_requests_are_hedged_and_the_loser_is_cancelled() {
    let mut bench = warm(4, 2);
    let (once, _) = started(&bench.submit()).unwrap();
    let (first, _) = started(&bench.submit_repeatable()).unwrap();
    assert_eq!(hedge(&bench.tick_after(MS * 15)), None);
    let tail = bench.pool.dump(bench.now)["hedge_after_us"]
        .as_u64()
        .unwrap();
    let tail = Duration::from_micros(tail);
    assert_eq!(
        hedge(&bench.tick_after(tail)),
        None,
        "there is no evidence against the target"
    );
    let second = hedge(&bench.tick_after(tail)).expect("twice the p95 has passed");
    assert_eq!(
        hedge(&bench.tick_after(MS * 50)),
        None,
        "one hedge per request"
    );
    let actions = bench.event(PoolEvent::FirstByte { attempt: second });
    assert_eq!(actions, [PoolAction::Cancel { attempt: first }]);
    bench.finish(first, AttemptResult::Cancelled);
    assert_eq!(bench.finish(second, AttemptResult::Done), []);
    bench.finish(once, AttemptResult::Done);
}

/// Guards against a late hedge when there is already evidence against the target.
#[test]
fn a_request_on_a_suspect_target_is_hedged_after_the_p95() {
    let mut bench = warm(4, 2);
    let suspected = loop {
        let (attempt, target) = started(&bench.submit()).unwrap();
        if target == target_id(0) {
            bench.finish(attempt, AttemptResult::Broken);
            break target;
        }
        bench.now += MS * 20;
        bench.finish(attempt, AttemptResult::Done);
    };
    let mut others = Vec::new();
    loop {
        let (attempt, target) = started(&bench.submit_repeatable()).unwrap();
        if target == suspected {
            break;
        }
        others.push(attempt);
    }
    for attempt in others {
        bench.finish(attempt, AttemptResult::Done);
    }
    let tail = bench.pool.dump(bench.now)["hedge_after_us"]
        .as_u64()
        .unwrap();
    let actions = bench.tick_after(Duration::from_micros(tail) + MS);
    assert!(hedge(&actions).is_some());
}

/// Guards against unbounded extra load from hedges when all targets are slow.
#[test]
fn hedges_stay_within_their_budget() {
    let mut bench = warm(10, 4);
    let attempts: Vec<_> = (0..20)
        .map(|_| started(&bench.submit_repeatable()).unwrap())
        .collect();
    let mut hedges = 0;
    for _ in 0..100 {
        hedges += usize::from(hedge(&bench.tick_after(MS * 10)).is_some());
    }
    assert_eq!(attempts.len(), 20);
    // 20 thousandths of 40 slots are 800 ms of slot time, and a copy costs the mean of 20 ms.
    assert!((1..=40).contains(&hedges), "{hedges} hedges");
}

/// Guards against retries that exceed the budget.
#[test]
fn retries_are_refused_when_the_budget_is_spent() {
    let mut bench = warm(1, 1);
    let mut codes = Vec::new();
    for _ in 0..5 {
        let ticket = Ticket {
            retry: true,
            ..bench.ticket()
        };
        let actions = bench.event(PoolEvent::Submit(ticket));
        if let Some((attempt, _)) = started(&actions) {
            bench.finish(attempt, AttemptResult::Done);
        }
        codes.push(rejected(&actions));
    }
    assert_eq!(codes[0], None);
    assert_eq!(codes[4], Some(ResultCode::RetryBudgetSpent));
}

/// Guards against a disconnected caller's request that keeps its slot or is still decided on.
#[test]
fn a_cancelled_request_is_removed() {
    let mut bench = warm(1, 1);
    let (attempt, _) = started(&bench.submit()).unwrap();
    let running = TicketId(bench.next);
    bench.submit();
    let queued = TicketId(bench.next);
    assert_eq!(bench.event(PoolEvent::Cancel(queued)), []);
    let actions = bench.event(PoolEvent::Cancel(running));
    assert_eq!(actions, [PoolAction::Cancel { attempt }]);
    assert_eq!(bench.finish(attempt, AttemptResult::Cancelled), []);
}
