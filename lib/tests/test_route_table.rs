//! Guards against requests that go to the wrong service: by a shorter prefix, by an older
//! configuration, or in shares that do not match the weights.

use std::time::Duration;

use carobshore_lib::call_kind::CallKind;
use carobshore_lib::prelude::Version;
use carobshore_lib::route::Route;
use carobshore_lib::route_access::RouteAccess;
use carobshore_lib::route_part::RoutePart;
use carobshore_lib::route_rule::RouteRule;
use carobshore_lib::route_table::ConfigUpdate;
use carobshore_lib::route_table::RouteTable;
use carobshore_lib::routing_config::RoutingConfig;
use carobshore_lib::weighted_split::WeightedSplit;

fn route(name: &str, host: &str, prefix: &str, parts: &[(&str, u32)]) -> Route {
    let part = |(service, weight): &(&str, u32)| RoutePart {
        service: service.parse().expect("a service id"),
        weight: *weight,
    };
    Route {
        name: name.into(),
        access: RouteAccess::default(),
        rule: RouteRule {
            host: host.into(),
            prefix: prefix.into(),
            kind: CallKind::Safe,
            timeout: Duration::from_secs(1),
            latency: Duration::from_millis(600),
            priority: 0,
            attempts: 2,
            parts: parts.iter().map(part).collect(),
        },
    }
}

fn table(version: u64, routes: Vec<Route>) -> RouteTable {
    let mut table = RouteTable::new(0);
    let config = RoutingConfig {
        version: Version(version),
        routes,
        ..RoutingConfig::default()
    };
    assert_eq!(table.apply(config), ConfigUpdate::InForce);
    table
}

fn found(table: &RouteTable, host: &str, target: &str) -> Option<Box<str>> {
    table.find(host, target).map(|route| route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(
        1,
        vec![
            route("short", "a.example", "/x/", &[("one", 1)]),
            route("long", "a.example", "/x/y/", &[("two", 1)]),
            route("other", "b.example", "/x/", &[("three", 1)]),
        ],
    );
    assert_eq!(
        found(&table, "a.example", "/x/y/z").as_deref(),
        Some("long")
    );
    assert_eq!(
        found(&table, "a.example", "/x/yy").as_deref(),
        Some("short")
    );
    assert_eq!(
        found(&table, "B.Example:8080", "/x/?q=/y/").as_deref(),
        Some("other")
    );
    assert_eq!(found(&table, "a.example", "/x"), None);
    assert_eq!(found(&table, "c.example", "/x/"), None);
}

#[test]
fn a_query_is_not_part_of_the_path() {
    let table = table(1, vec![route("r", "a", "/x/y/", &[("one", 1)])]);
    assert_eq!(found(&table, "a", "/x/?/x/y/"), None);
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut table = table(7, vec![route("new", "a", "/", &[("one", 1)])]);
    for version in [0, 6, 7] {
        let config = RoutingConfig {
            version: Version(version),
            ..RoutingConfig::default()
        };
        assert_eq!(table.apply(config), ConfigUpdate::NotNewer);
    }
    assert_eq!(found(&table, "a", "/p").as_deref(), Some("new"));
}

#[test]
fn a_split_has_its_shares_after_few_requests() {
    let route = route("r", "a", "/", &[("one", 70), ("two", 25), ("three", 5)]);
    for skip in 0..40 {
        let mut split = WeightedSplit::new(&route.rule.parts, skip);
        let mut counts = [0_u32; 3];
        for _ in 0..40 {
            counts[split.assign()] += 1;
        }
        for (count, weight) in counts.iter().zip([70, 25, 5]) {
            let share = f64::from(*count) / 40.0;
            let off = (share - f64::from(weight) / 100.0).abs();
            assert!(
                off <= 0.05,
                "skip {skip}: share {share} for weight {weight}"
            );
        }
    }
}

#[test]
fn a_part_without_weight_gets_nothing() {
    let mut table = table(1, vec![route("r", "a", "/", &[("none", 0), ("all", 3)])]);
    let route = table.find("a", "/p").expect("a route");
    for _ in 0..20 {
        assert_eq!(table.assign(&route).as_str(), "all");
    }
}

#[test]
fn a_split_with_unchanged_weights_keeps_its_position_across_versions() {
    let parts = [("one", 1), ("two", 1)];
    let mut table = table(1, vec![route("r", "a", "/", &parts)]);
    let mut counts = [0, 0];
    for version in 2..102 {
        let route = table.find("a", "/p").expect("a route");
        counts[usize::from(table.assign(&route).as_str() == "two")] += 1;
        let config = RoutingConfig {
            version: Version(version),
            routes: vec![self::route("r", "a", "/", &parts)],
            ..RoutingConfig::default()
        };
        table.apply(config);
    }
    // Frequent updates must not send the first request after each update to the same part.
    assert_eq!(counts, [50, 50]);
}
