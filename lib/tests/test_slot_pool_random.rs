//! Random runs of the slot pool with fixed seeds, which check its invariants after every step.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use carobshore_lib::prelude::*;
use common::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

#[derive(Default)]
struct Model {
    in_flight: BTreeMap<AttemptId, (Option<TicketId>, TargetId)>,
    decided: BTreeMap<TicketId, u32>,
    cancelled: BTreeSet<TicketId>,
    drained: BTreeSet<TargetId>,
    probes: Vec<(std::time::Instant, AttemptId)>,
}

impl Model {
    fn apply(&mut self, now: std::time::Instant, actions: &[PoolAction], slots: u32) {
        for action in actions {
            match action {
                PoolAction::Start {
                    ticket,
                    attempt,
                    target,
                } => {
                    *self.decided.entry(*ticket).or_default() += 1;
                    self.begin(*attempt, Some(*ticket), target, slots);
                }
                PoolAction::Hedge {
                    ticket,
                    attempt,
                    target,
                } => {
                    assert_eq!(self.decided[ticket], 1, "only a started request is hedged");
                    self.begin(*attempt, Some(*ticket), target, slots);
                }
                PoolAction::Probe { attempt, target } => {
                    self.probes.push((now, *attempt));
                    self.begin(*attempt, None, target, slots);
                }
                PoolAction::Reject { ticket, .. } | PoolAction::Spill { ticket, .. } => {
                    *self.decided.entry(*ticket).or_default() += 1;
                }
                PoolAction::Cancel { attempt } => {
                    assert!(
                        self.in_flight.contains_key(attempt),
                        "cancel of an attempt that is not in flight"
                    );
                }
            }
        }
    }

    fn begin(&mut self, id: AttemptId, ticket: Option<TicketId>, target: &TargetId, slots: u32) {
        assert!(
            !self.drained.contains(target),
            "new request on drained {target}"
        );
        self.in_flight.insert(id, (ticket, target.clone()));
        let on_target = self.in_flight.values().filter(|(_, t)| t == target);
        assert!(
            on_target.count() <= slots as usize,
            "more requests than slots on {target}"
        );
    }
}

/// Guards against more requests on a target than its slots, new requests on drained targets, lost
/// tickets and tickets that are decided twice, under random events in random order.
#[test]
fn every_ticket_is_decided_once_within_slots() {
    for seed in 0..60 {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (count, slots) = (rng.random_range(1..8), rng.random_range(1..4));
    let mut targets = pool_targets(count, slots);
    let settings = PoolSettings {
        seed,
        queue_limit: 12,
        ..PoolSettings::default()
    };
    let mut bench = Bench::new(settings, &targets);
    let mut model = Model::default();
    let mut tickets = Vec::new();
    for _ in 0..3_000 {
        bench.now += Duration::from_micros(rng.random_range(0..8_000));
        let event = match rng.random_range(0..100) {
            0..40 => {
                let ticket = Ticket {
                    deadline: bench.now + Duration::from_millis(rng.random_range(1..800)),
                    repeatable: rng.random_bool(0.5),
                    spilled: rng.random_bool(0.2),
                    retry: rng.random_bool(0.1),
                    ..bench.ticket()
                };
                tickets.push(ticket.id);
                PoolEvent::Submit(ticket)
            }
            40..80 => {
                let at = rng.random_range(0..model.in_flight.len().max(1));
                let Some(attempt) = model.in_flight.keys().nth(at).copied() else {
                    continue;
                };
                model.in_flight.remove(&attempt);
                let results = [
                    AttemptResult::Done,
                    AttemptResult::Done,
                    AttemptResult::Done,
                    AttemptResult::Shed,
                    AttemptResult::Broken,
                    AttemptResult::ConnectFailed,
                    AttemptResult::Cancelled,
                ];
                let result = results[rng.random_range(0..results.len())];
                PoolEvent::Finished { attempt, result }
            }
            80..82 if rng.random_bool(0.2) => {
                let target = target_id(rng.random_range(0..count));
                model.drained.insert(target.clone());
                PoolEvent::Drain { target }
            }
            82..84 => {
                if rng.random_bool(0.5) {
                    for target in &mut targets.targets {
                        target.generation += 1;
                    }
                    model.drained.clear();
                }
                let actions = bench.set_targets(&targets);
                model.apply(bench.now, &actions, slots);
                continue;
            }
            84..88 => match tickets.get(rng.random_range(0..tickets.len().max(1))) {
                Some(ticket) => {
                    model.cancelled.insert(*ticket);
                    PoolEvent::Cancel(*ticket)
                }
                None => continue,
            },
            88..91 => PoolEvent::Peer(PeerLoad {
                vm: vm_id(1),
                free: rng.random_range(0..4),
                queued: 0,
            }),
            91..93 => PoolEvent::Lease {
                until: bench.now + Duration::from_secs(10),
            },
            _ => PoolEvent::Tick,
        };
        let actions = bench.event(event);
        model.apply(bench.now, &actions, slots);
    }
    // After this time every queued request is past its deadline.
    let actions = bench.tick_after(Duration::from_secs(10));
    model.apply(bench.now, &actions, slots);
    for ticket in &tickets {
        let decided = model.decided.get(ticket).copied().unwrap_or(0);
        let valid = decided == 1 || (decided == 0 && model.cancelled.contains(ticket));
        assert!(valid, "seed {seed}: {ticket:?} was decided {decided} times");
    }
}
