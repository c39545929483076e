//! Tests of routes that operators set by intent, plan and confirm. They guard against a route that
//! comes into force without being shown, that leads to a service that does not exist, or that two
//! operators overwrite.

mod config_support;

use std::time::Duration;

use carobshore_lib::history::Verdict;
use carobshore_lib::prelude::*;
use carobshore_lib::record::Confirm;
use carobshore_lib::route_table::RouteTable;
use carobshore_lib::routing_config::RoutingConfig;
use carobshore_lib::snapshot::Snapshot;
use config_support::*;
use expect_test::Expect;
use expect_test::expect;

fn rule(prefix: &str, parts: &[(&str, u32)]) -> RouteRule {
    let part = |(service, weight): &(&str, u32)| RoutePart {
        service: id(service),
        weight: *weight,
    };
    RouteRule {
        host: "desk.example".into(),
        prefix: prefix.into(),
        kind: CallKind::Unsafe,
        timeout: Duration::from_millis(1_500),
        latency: Duration::from_millis(1_500),
        priority: 0,
        attempts: 2,
        parts: parts.iter().map(part).collect(),
    }
}

fn set(route: &str, rule: RouteRule) -> Change {
    let route = id(route);
    Change::SetRoute { route, rule }
}

fn remove(route: &str) -> Change {
    Change::RemoveRoute { route: id(route) }
}

fn remove_service(service: &str) -> Change {
    let service = id(service);
    Change::RemoveService { service }
}

/// Returns a log with two services and the route `seats` to one of them, and its state.
fn base() -> (TestLog, ReplicatedState) {
    let (mut log, mut state) = (TestLog::default(), ReplicatedState::default());
    let mut changes = service_with_targets("booking", 3);
    changes.extend(service_with_targets("gallery", 3));
    changes.push(set("seats", rule("/seats/", &[("booking", 1)])));
    confirm_changes(&mut log, &mut state, 1, changes);
    (log, state)
}

fn check(changes: Vec<Change>, expected: &Expect) {
    let Body::Intent(intent) = intent(1, "gwen", changes).body else {
        panic!("an intent was built");
    };
    let text = match Plan::new(base().1.config(), &intent) {
        Ok(plan) => [plan.lines(), vec!["--".to_owned()], plan.warnings()].concat(),
        Err(error) => vec![error.to_string()],
    };
    expected.assert_eq(&text.join("\n"));
}

#[test]
fn a_plan_shows_changes_of_routes_and_warnings() {
    let mut seats = rule("/seats/", &[("booking", 90), ("gallery", 10)]);
    seats.kind = CallKind::Safe;
    check(
        vec![
            set("seats", seats),
            set("looks", rule("/looks/", &[("gallery", 1), ("new", 3)])),
            add_service("new"),
        ],
        &expect![[r#"
            + service new
              + measuring budget 30000us/s
              + connection budget 240 per target
              = capacity: 0 slots on 0 targets
              = measuring: 30000us/s, no serving target
            + route looks for desk.example/looks/
              + services gallery:1,new:3
              + kind unsafe
              + timeout 1.5s
              + attempts 2
            ~ route seats, version 1 -> 2
              ~ services booking:1 -> booking:90,gallery:10
              ~ kind unsafe -> safe
            --
            service new has no serving target; its calls will be refused
            route looks sends 3 of 4 requests to new, which has no serving target
            requests of route seats run at most once now; after the plan they may run more than once"#]],
    );
    check(
        vec![remove("seats")],
        &expect![[r#"
        - route seats for desk.example/seats/
        --
        without route seats, its requests go to the service that they name, or are refused"#]],
    );
}

#[test]
fn an_invalid_route_is_rejected_with_the_reason() {
    let to_booking = |prefix: &str| rule(prefix, &[("booking", 1)]);
    let mut no_host = to_booking("/a/");
    no_host.host = "".into();
    let mut long_timeout = to_booking("/a/");
    long_timeout.timeout = Duration::from_secs(601);
    let mut no_attempts = to_booking("/a/");
    no_attempts.attempts = 0;
    let errors: Vec<_> = [
        vec![set("a", to_booking("/a"))],
        vec![set("a", no_host)],
        vec![set("a", long_timeout)],
        vec![set("a", no_attempts)],
        vec![set("a", rule("/a/", &[]))],
        vec![set("a", rule("/a/", &[("booking", 0)]))],
        vec![set("a", rule("/a/", &[("booking", 1), ("booking", 2)]))],
        vec![set("a", rule("/a/", &[("nobody", 1)]))],
        vec![set("a", to_booking("/seats/"))],
        vec![remove("a")],
        vec![remove_service("booking")],
        vec![set("seats", to_booking("/seats/"))],
    ]
    .into_iter()
    .map(|changes| {
        let Body::Intent(intent) = intent(1, "gwen", changes).body else {
            panic!("an intent was built");
        };
        let error = Plan::new(base().1.config(), &intent).unwrap_err();
        error.message.to_string()
    })
    .collect();
    expect![[r#"
        change 1: route `a` has the prefix `/a`
        change 1: route `a` has the host ``
        change 1: route `a` has a timeout of 601s
        change 1: route `a` allows 0 attempts
        change 1: route `a` has 0 services
        change 1: route `a` gives `booking` the weight 0
        change 1: route `a` names the service `booking` twice
        route `a` sends requests to `nobody`, which does not exist after the plan
        the routes `seats` and `a` both match desk.example/seats/
        change 1: there is no route `a`
        route `seats` sends requests to `booking`, which does not exist after the plan
        the intent changes nothing"#]]
    .assert_eq(&errors.join("\n"));
}

/// A service may be removed if its routes are removed in the same intent, in any order.
#[test]
fn a_service_and_its_routes_can_be_removed_together() {
    let (mut log, mut state) = base();
    let changes = vec![remove_service("booking"), remove("seats")];
    confirm_changes(&mut log, &mut state, 10, changes);
    assert!(state.config().routes.is_empty());
}

/// The plan of a route is checked again at its confirm, because the service may have been removed
/// meanwhile.
#[test]
fn a_route_to_a_service_removed_meanwhile_does_not_come_into_force() {
    let (mut log, mut state) = base();
    let looks = set("looks", rule("/looks/", &[("gallery", 1)]));
    let proposed = intent(10, "gwen", vec![looks]);
    let confirmed = confirm(11, "gwen", state.config(), &proposed);
    state.apply(log.append(&proposed), &proposed);
    confirm_changes(&mut log, &mut state, 20, vec![remove_service("gallery")]);
    let applied = state.apply(log.append(&confirmed), &confirmed);
    let code = ResultCode::BadIntent;
    assert_eq!(applied, ApplyOutcome::Rejected { code, by: None });
    assert_eq!(state.config().routes.len(), 1);
}

#[test]
fn a_conflicting_change_of_a_route_is_rejected_and_names_the_first() {
    let (mut log, mut state) = base();
    let mut records = Vec::new();
    for (number, operator, weight) in [(10, "gwen", 10), (20, "salma", 20)] {
        let split = rule("/seats/", &[("booking", 100), ("gallery", weight)]);
        let proposed = intent(number, operator, vec![set("seats", split)]);
        let confirmed = confirm(number + 1, operator, state.config(), &proposed);
        state.apply(log.append(&proposed), &proposed);
        records.push(confirmed);
    }
    for record in &records {
        state.apply(log.append(record), record);
    }
    let entries = [record_id(11), record_id(21)].map(|id| state.entry_of(id).unwrap().clone());
    assert!(entries[0].is_in_force());
    let (code, by) = (
        ResultCode::StalePlan.number(),
        Some(entries[0].confirm.clone()),
    );
    assert_eq!(entries[1].verdict, Verdict::Rejected { code, by });
    assert_eq!(state.config().routes[&id("seats")].version, Version(2));
}

/// Changes of a route and of its service do not conflict.
#[test]
fn a_route_and_its_service_have_separate_versions() {
    let (mut log, mut state) = base();
    let route = intent(10, "gwen", vec![set("all", rule("/", &[("booking", 1)]))]);
    let service = intent(20, "salma", vec![set_slots("booking", 1, 4)]);
    let confirms = [
        confirm(11, "gwen", state.config(), &route),
        confirm(21, "salma", state.config(), &service),
    ];
    for record in [&route, &service].into_iter().chain(&confirms) {
        assert_eq!(
            state.apply(log.append(record), record),
            ApplyOutcome::Applied
        );
    }
    assert_eq!(
        state
            .config()
            .version(&ItemId::from(&id::<ServiceId>("booking"))),
        Version(2)
    );
}

#[test]
fn versions_of_routes_never_repeat() {
    let (mut log, mut state) = base();
    let seats = || set("seats", rule("/seats/", &[("booking", 1)]));
    confirm_changes(&mut log, &mut state, 10, vec![remove("seats")]);
    confirm_changes(&mut log, &mut state, 20, vec![seats()]);
    assert_eq!(state.config().routes[&id("seats")].version, Version(2));
    let restored = Snapshot::decode(&Snapshot::encode(&state)).unwrap();
    assert_eq!(restored, state);
    assert_eq!(log.replay(u64::MAX), state);
}

/// Releases that do not support routes must be able to read the records and snapshots of sites
/// without routes.
#[test]
fn without_routes_no_route_fields_are_written() {
    let (mut log, mut state) = (TestLog::default(), ReplicatedState::default());
    confirm_changes(&mut log, &mut state, 1, service_with_targets("status", 1));
    let texts = [log.texts.concat(), serde_json::to_string(&state).unwrap()];
    for text in &texts {
        assert!(!text.contains("route"), "{text}");
    }
    assert!(texts[0].contains(r#""bases":{"status":0}"#), "{}", texts[0]);
}

#[test]
fn a_confirm_distinguishes_routes_from_services() {
    let (log, _) = base();
    let Body::Confirm(Confirm { bases, .. }) = Record::parse(&log.texts[1]).unwrap().body else {
        panic!("the second record is a confirm");
    };
    let names: Vec<_> = bases.keys().map(ToString::to_string).collect();
    assert_eq!(names, ["booking", "gallery", "route/seats"]);
}

/// Confirmed routes are matched like those that the users' platform configures.
#[test]
fn confirmed_routes_decide_where_requests_go() {
    let (mut log, mut state) = base();
    let split = rule("/seats/", &[("booking", 3), ("gallery", 1)]);
    confirm_changes(&mut log, &mut state, 10, vec![set("seats", split)]);
    let mut table = RouteTable::new(0);
    table.apply(RoutingConfig::confirmed(
        state.config(),
        Version(state.applied().0),
    ));
    let route = table
        .find("Desk.Example:8080", "/seats/7?x")
        .expect("a route");
    assert_eq!(&*route.name, "seats");
    let to_gallery = (0..40).filter(|_| table.assign(&route).as_str() == "gallery");
    assert_eq!(to_gallery.count(), 10);
}
