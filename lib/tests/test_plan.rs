//! Tests of plans: their report, warnings and digest.

mod config_support;

use carobshore_lib::prelude::*;
use config_support::*;
use expect_test::Expect;
use expect_test::expect;

fn config() -> Config {
    let (mut log, mut state) = (TestLog::default(), ReplicatedState::default());
    confirm_changes(&mut log, &mut state, 1, service_with_targets("status", 6));
    state.config().clone()
}

fn plan(changes: Vec<Change>) -> Result<Plan> {
    let Body::Intent(intent) = intent(1, "gwen", changes).body else {
        panic!("an intent was built");
    };
    Plan::new(&config(), &intent)
}

fn check(changes: Vec<Change>, expect: &Expect) {
    let text = match plan(changes) {
        Ok(plan) => [plan.lines(), vec!["--".to_owned()], plan.warnings()].concat(),
        Err(error) => vec![error.to_string()],
    };
    expect.assert_eq(&text.join("\n"));
}

/// Guards against a plan that hides a change or its cost from the operator.
#[test]
fn a_plan_shows_each_change_and_the_remaining_capacity() {
    let remove = Change::RemoveTarget {
        service: id("status"),
        target: id("status-6"),
    };
    let measuring = Change::SetMeasuring {
        service: id("status"),
        measuring: TargetTime(60_000),
    };
    let connections = Change::SetConnections {
        service: id("status"),
        connections: 200,
    };
    let mut changes = vec![
        set_slots("status", 1, 4),
        mark_leaving("status", 2),
        remove,
        measuring,
        connections,
        add_target("status", 7),
    ];
    changes.extend(service_with_targets("rack", 3));
    check(
        changes,
        &expect![[r#"
        + service rack
          + measuring budget 30000us/s
          + connection budget 240 per target
          + target rack-1 at 10.0.0.2:80 in domain-1, 2 slots
          + target rack-2 at 10.0.0.3:80 in domain-2, 2 slots
          + target rack-3 at 10.0.0.4:80 in domain-0, 2 slots
          = capacity: 6 slots on 3 targets; 4 left if domain-0 is lost
          = measuring: 30000us/s, 0.50% of the slots' time
        ~ service status, version 1 -> 2
          ~ measuring budget 30000us/s -> 60000us/s
          ~ connection budget 240 -> 200 per target
          ~ target status-1 slots 2 -> 4
          ~ target status-2 is leaving and gets no new work
          - target status-6 at 10.0.0.7:80 in domain-0, 2 slots
          + target status-7 at 10.0.0.8:80 in domain-1, 2 slots
          = capacity: 12 slots on 6 targets -> 12 slots on 5 targets; 4 left if domain-1 is lost
          = measuring: 60000us/s, 0.50% of the slots' time
        --
        service status keeps 4 of 12 slots if domain-1 is lost; add targets in other domains"#]],
    );
}

/// Guards against an operator confirming, without a warning, a service that the loss of one failure
/// domain would stop, and against missing warnings about other risks of a service.
#[test]
fn a_plan_warns_of_capacity_and_budget_risks() {
    let leave = |numbers: &[usize]| {
        let numbers = numbers.iter();
        numbers
            .map(|n| mark_leaving("status", *n))
            .collect::<Vec<_>>()
    };
    check(
        leave(&[1, 4]),
        &expect![[r#"
        ~ service status, version 1 -> 2
          ~ target status-1 is leaving and gets no new work
          ~ target status-4 is leaving and gets no new work
          = capacity: 12 slots on 6 targets -> 8 slots on 4 targets; 4 left if domain-0 is lost
          = measuring: 30000us/s, 0.37% of the slots' time
        --
        service status loses 4 of 12 slots at once; consider smaller steps"#]],
    );
    check(
        leave(&[1, 4, 2, 5]),
        &expect![[r#"
        ~ service status, version 1 -> 2
          ~ target status-1 is leaving and gets no new work
          ~ target status-2 is leaving and gets no new work
          ~ target status-4 is leaving and gets no new work
          ~ target status-5 is leaving and gets no new work
          = capacity: 12 slots on 6 targets -> 4 slots on 2 targets; 0 left if domain-0 is lost
          = measuring: 30000us/s, 0.75% of the slots' time
        --
        service status serves from domain-0 only; the loss of this domain stops it
        service status loses 8 of 12 slots at once; consider smaller steps"#]],
    );
    check(
        leave(&[1, 2, 3, 4, 5, 6]),
        &expect![[r#"
        ~ service status, version 1 -> 2
          ~ target status-1 is leaving and gets no new work
          ~ target status-2 is leaving and gets no new work
          ~ target status-3 is leaving and gets no new work
          ~ target status-4 is leaving and gets no new work
          ~ target status-5 is leaving and gets no new work
          ~ target status-6 is leaving and gets no new work
          = capacity: 12 slots on 6 targets -> 0 slots on 0 targets
          = measuring: 30000us/s, no serving target
        --
        service status has no serving target; its calls will be refused"#]],
    );
    check(
        vec![set_slots("status", 1, 300)],
        &expect![[r#"
        ~ service status, version 1 -> 2
          ~ target status-1 slots 2 -> 300
          = capacity: 12 slots on 6 targets -> 310 slots on 6 targets; 8 left if domain-1 is lost
          = measuring: 30000us/s, 0.00% of the slots' time
        --
        service status keeps 8 of 310 slots if domain-1 is lost; add targets in other domains
        service status allows 240 connections per target, but a target has 300 slots"#]],
    );
    check(
        vec![Change::RemoveService {
            service: id("status"),
        }],
        &expect![[r#"
            - service status with 6 targets and 12 serving slots
            --
            service status still has serving targets; its calls will be refused"#]],
    );
    let same_addr = Change::AddTarget {
        service: id("status"),
        target: id("status-9"),
        addr: "10.0.0.2:80".parse().unwrap(),
        domain: id("domain-1"),
        slots: Slots::try_from(2).unwrap(),
    };
    let measuring = Change::SetMeasuring {
        service: id("status"),
        measuring: TargetTime(900_000),
    };
    check(
        vec![same_addr, measuring],
        &expect![[r#"
        ~ service status, version 1 -> 2
          ~ measuring budget 30000us/s -> 900000us/s
          + target status-9 at 10.0.0.2:80 in domain-1, 2 slots
          = capacity: 12 slots on 6 targets -> 14 slots on 7 targets; 8 left if domain-1 is lost
          = measuring: 900000us/s, 6.42% of the slots' time
        --
        service status may spend more than 5% of the slots' time on measuring
        service status has two serving targets at 10.0.0.2:80: status-1 and status-9"#]],
    );
}

/// Guards against a partial plan for an intent that cannot be applied.
#[test]
fn an_intent_that_cannot_be_applied_is_an_error() {
    check(
        vec![],
        &expect![
            "[2003] the intent has 0 changes; give 1 to 1024 changes; split larger ones into several intents"
        ],
    );
    check(
        vec![add_service("status")],
        &expect![
            "[2003] change 1: service `status` already exists; change it with `set-measuring`, `set-connections` or the target changes"
        ],
    );
    check(
        vec![add_target("rack", 1)],
        &expect![
            "[2003] change 1: there is no service `rack`; add it with `add-service` in the same intent, or look up its name with `carobshore status`"
        ],
    );
    check(
        vec![add_target("status", 1)],
        &expect![
            "[2003] change 1: service `status` already has the serving target `status-1`; change its slots with `set-slots`, or mark it as leaving before it is added again"
        ],
    );
    check(
        vec![set_slots("status", 1, 2)],
        &expect![
            "[2003] the intent changes nothing; compare it with the present configuration in `carobshore status`; there is nothing to confirm"
        ],
    );
    check(
        vec![set_slots("status", 1, 3), mark_leaving("status", 8)],
        &expect![
            "[2003] change 2: service `status` has no target `status-8`; look up the target with `carobshore status`, or add it with `add-target`"
        ],
    );
    let connections = Change::SetConnections {
        service: id("status"),
        connections: 0,
    };
    check(
        vec![connections],
        &expect![
            "[2003] change 1: 0 is not a valid connection budget; use a whole number from 1 to 65535"
        ],
    );
}

/// Guards against an unnoticed change of the encoding, which would make VMs and clients of
/// different releases reject each other's plans.
#[test]
fn the_digest_is_stable_and_covers_every_change() {
    let first = plan(vec![set_slots("status", 1, 4)]).unwrap();
    expect!["b0ed9af0c2c2599b1a14fd49ef7901b30521f0ec035ce07f7d73d0481e0d58df"]
        .assert_eq(&first.digest().to_string());
    let mut digests = vec![
        first.digest(),
        plan(vec![set_slots("status", 1, 5)]).unwrap().digest(),
        plan(vec![set_slots("status", 2, 4)]).unwrap().digest(),
        plan(vec![mark_leaving("status", 1)]).unwrap().digest(),
        plan(vec![mark_leaving("status", 1), set_slots("status", 1, 4)])
            .unwrap()
            .digest(),
        plan(vec![set_slots("status", 1, 4), mark_leaving("status", 1)])
            .unwrap()
            .digest(),
    ];
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), 6);
    let elsewhere = {
        let (mut log, mut state) = (TestLog::default(), ReplicatedState::default());
        confirm_changes(&mut log, &mut state, 1, service_with_targets("rack", 2));
        confirm_changes(&mut log, &mut state, 3, service_with_targets("status", 6));
        state.config().clone()
    };
    let Body::Intent(same) = intent(9, "salma", vec![set_slots("status", 1, 4)]).body else {
        panic!("an intent was built");
    };
    let same = Plan::new(&elsewhere, &same).unwrap();
    assert_eq!(
        same.digest(),
        first.digest(),
        "other services and the operator do not matter"
    );
}
