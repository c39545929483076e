//! Routes that operators set by intent, plan and confirm. Guards against a route that comes into
//! force unseen, that leads to a service which does not exist, or that two operators overwrite.

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

/// Two services, and the route `seats` to one of them.
fn base() -> (TestLog, Fold) {
    let (mut log, mut fold) = (TestLog::default(), Fold::default());
    let mut changes = whole_service("booking", 3);
    changes.extend(whole_service("gallery", 3));
    changes.push(set("seats", rule("/seats/", &[("booking", 1)])));
    put(&mut log, &mut fold, 1, changes);
    (log, fold)
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
fn a_plan_shows_what_becomes_of_routes_and_what_to_consider() {
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
            requests of route seats ran at most once so far and may run more than once then"#]],
    );
    check(
        vec![remove("seats")],
        &expect![[r#"
        - route seats for desk.example/seats/
        --
        requests of route seats go to the service that they name, or are refused"#]],
    );
}

#[test]
fn a_route_that_cannot_work_is_refused_with_the_reason() {
    let to_booking = |prefix: &str| rule(prefix, &[("booking", 1)]);
    let mut hostless = to_booking("/a/");
    hostless.host = "".into();
    let mut endless = to_booking("/a/");
    endless.timeout = Duration::from_secs(601);
    let mut tireless = to_booking("/a/");
    tireless.attempts = 0;
    let errors: Vec<_> = [
        vec![set("a", to_booking("/a"))],
        vec![set("a", hostless)],
        vec![set("a", endless)],
        vec![set("a", tireless)],
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
        route `a` sends requests to `nobody`, which is no service after the plan
        the routes `seats` and `a` both take desk.example/seats/
        change 1: there is no route `a`
        route `seats` sends requests to `booking`, which is no service after the plan
        the intent changes nothing"#]]
    .assert_eq(&errors.join("\n"));
}

/// A service may go when its routes go in the same intent, in any order.
#[test]
fn a_service_and_its_routes_leave_together() {
    let (mut log, mut fold) = base();
    let changes = vec![remove_service("booking"), remove("seats")];
    put(&mut log, &mut fold, 10, changes);
    assert!(fold.config().routes.is_empty());
}

/// The plan of a route is checked again at its confirm: the service may have gone meanwhile.
#[test]
fn a_route_to_a_service_that_went_meanwhile_does_not_come_into_force() {
    let (mut log, mut fold) = base();
    let looks = set("looks", rule("/looks/", &[("gallery", 1)]));
    let wanted = intent(10, "gwen", vec![looks]);
    let confirmed = confirm(11, "gwen", fold.config(), &wanted);
    fold.apply(log.append(&wanted), &wanted);
    put(&mut log, &mut fold, 20, vec![remove_service("gallery")]);
    let applied = fold.apply(log.append(&confirmed), &confirmed);
    let code = ResultCode::BadIntent;
    assert_eq!(applied, Applied::Rejected { code, by: None });
    assert_eq!(fold.config().routes.len(), 1);
}

#[test]
fn of_two_operators_who_change_one_route_the_second_is_told_of_the_first() {
    let (mut log, mut fold) = base();
    let mut records = Vec::new();
    for (number, operator, weight) in [(10, "gwen", 10), (20, "salma", 20)] {
        let split = rule("/seats/", &[("booking", 100), ("gallery", weight)]);
        let wanted = intent(number, operator, vec![set("seats", split)]);
        let confirmed = confirm(number + 1, operator, fold.config(), &wanted);
        fold.apply(log.append(&wanted), &wanted);
        records.push(confirmed);
    }
    for record in &records {
        fold.apply(log.append(record), record);
    }
    let judged = [record_id(11), record_id(21)].map(|id| fold.judged(id).unwrap().clone());
    assert!(judged[0].is_in_force());
    let (code, by) = (
        ResultCode::StalePlan.number(),
        Some(judged[0].confirm.clone()),
    );
    assert_eq!(judged[1].verdict, Verdict::Rejected { code, by });
    assert_eq!(fold.config().routes[&id("seats")].version, Version(2));
}

/// Changes of a route and of its service do not hinder each other.
#[test]
fn a_route_and_its_service_have_versions_of_their_own() {
    let (mut log, mut fold) = base();
    let route = intent(10, "gwen", vec![set("all", rule("/", &[("booking", 1)]))]);
    let service = intent(20, "salma", vec![set_slots("booking", 1, 4)]);
    let confirms = [
        confirm(11, "gwen", fold.config(), &route),
        confirm(21, "salma", fold.config(), &service),
    ];
    for record in [&route, &service].into_iter().chain(&confirms) {
        assert_eq!(fold.apply(log.append(record), record), Applied::Applied);
    }
    assert_eq!(
        fold.config()
            .version(&ItemId::from(&id::<ServiceId>("booking"))),
        Version(2)
    );
}

#[test]
fn versions_of_routes_never_repeat() {
    let (mut log, mut fold) = base();
    let seats = || set("seats", rule("/seats/", &[("booking", 1)]));
    put(&mut log, &mut fold, 10, vec![remove("seats")]);
    put(&mut log, &mut fold, 20, vec![seats()]);
    assert_eq!(fold.config().routes[&id("seats")].version, Version(2));
    let restored = Snapshot::decode(&Snapshot::encode(&fold)).unwrap();
    assert_eq!(restored, fold);
    assert_eq!(log.fold(u64::MAX), fold);
}

/// Releases that know no routes read the records and snapshots of sites without routes.
#[test]
fn without_routes_nothing_is_written_about_them() {
    let (mut log, mut fold) = (TestLog::default(), Fold::default());
    put(&mut log, &mut fold, 1, whole_service("status", 1));
    let texts = [log.texts.concat(), serde_json::to_string(&fold).unwrap()];
    for text in &texts {
        assert!(!text.contains("route"), "{text}");
    }
    assert!(texts[0].contains(r#""bases":{"status":0}"#), "{}", texts[0]);
}

#[test]
fn a_confirm_names_routes_apart_from_services() {
    let (log, _) = base();
    let Body::Confirm(Confirm { bases, .. }) = Record::parse(&log.texts[1]).unwrap().body else {
        panic!("the second record is a confirm");
    };
    let names: Vec<_> = bases.keys().map(ToString::to_string).collect();
    assert_eq!(names, ["booking", "gallery", "route/seats"]);
}

/// The routes of operators and those of the users' platform are found in the same way.
#[test]
fn confirmed_routes_decide_where_requests_go() {
    let (mut log, mut fold) = base();
    let split = rule("/seats/", &[("booking", 3), ("gallery", 1)]);
    put(&mut log, &mut fold, 10, vec![set("seats", split)]);
    let mut table = RouteTable::new(0);
    table.apply(RoutingConfig::confirmed(
        fold.config(),
        Version(fold.applied().0),
    ));
    let route = table
        .find("Desk.Example:8080", "/seats/7?x")
        .expect("a route");
    assert_eq!(&*route.name, "seats");
    let to_gallery = (0..40).filter(|_| table.assign(&route).as_str() == "gallery");
    assert_eq!(to_gallery.count(), 10);
}
