//! Guards against cold targets that get more requests than they bear, and against limits for targets
//! of services without a rule.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::server::ANY_PORT;
use carobshore_standin::site_target::SiteTarget;
use carobshore_standin::site_wire;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::call;
use crate::common::routes;
use crate::common::site;
use crate::common::wait;

/// What a target takes while it is cold, with the bounds of the settings.
const RATE: f64 = 4.1;
const BOUND: f64 = RATE * 1.5 + 8.0;
const WARMUP: Duration = Duration::from_secs(4);

fn warming(name: &str, targets: usize, with_rule: bool) -> Site {
    let mut site = site(name, 0);
    for index in 0..targets {
        let id = format!("i-{index}");
        let target = SiteTarget::start(ANY_PORT, &id, "render", "a").expect("a target");
        target.set_cold(Duration::ZERO);
        target.announce(&site.store, "ready");
        site.targets.push(target);
    }
    let mut service = site_wire::warming_service("render", WARMUP.as_millis() as u64, RATE);
    if !with_rule {
        let spec = service["Spec"].as_object_mut().expect("an object");
        spec.retain(|name, _| !name.starts_with("Warmup"));
    }
    site.configure(2, &[routes(1_500, "render"), vec![service]].concat());
    site
}

/// Starts gateways that have each other in their lists, and warm the connections up.
fn acquainted(site: &Site, count: usize) -> Vec<Gateway> {
    let names = (0..count).map(|index| format!("edge-{index}"));
    let mut gateways: Vec<_> = names.map(|name| site.gateway(&name)).collect();
    for gateway in &mut gateways {
        gateway.restart();
        wait("it is ready again", || gateway.is_ready());
    }
    gateways
}

/// Sends requests to all gateways for a while, several at a time. Returns how many were served.
fn call_all(gateways: &[Gateway], time: Duration) -> usize {
    let until = Instant::now() + time;
    thread::scope(|scope| {
        let callers = gateways.iter().flat_map(|gateway| {
            (0..6).map(move |caller| {
                scope.spawn(move || {
                    let mut served = 0;
                    while Instant::now() < until {
                        let response = gateway.call("unsafe", &format!("id-{caller}"), "x");
                        served += usize::from(response.head.status == 200);
                        thread::sleep(Duration::from_millis(20));
                    }
                    served
                })
            })
        });
        let callers: Vec<_> = callers.collect();
        let served = callers.into_iter().map(|caller| caller.join());
        served.map(|served| served.expect("no panic")).sum()
    })
}

/// Returns the largest number of requests in any second from `from` to `until`.
fn most_in_a_second(target: &SiteTarget, from: Instant, until: Instant) -> usize {
    let times = target.arrival_times();
    let counted = times.iter().filter(|at| **at >= from && **at < until);
    let within = |start: &Instant| {
        let end = *start + Duration::from_secs(1);
        times
            .iter()
            .filter(|at| **at >= *start && **at < end.min(until))
            .count()
    };
    counted.map(within).max().unwrap_or(0)
}

#[test]
fn a_restarted_cold_target_gets_no_more_than_its_bound_from_two_gateways() {
    let site = warming("cold-restarted", 2, true);
    let gateways = acquainted(&site, 2);
    call_all(&gateways, Duration::from_secs(1));
    let target = &site.targets[0];
    let started = Instant::now();
    target.set_cold(WARMUP);
    target.start_again();
    target.reset_connections();
    target.announce(&site.store, "ready");
    for gateway in &gateways {
        wait("it is known", || {
            gateway.has_line(&["target is cold", "i-0"])
        });
    }
    let known = Instant::now();
    let served = call_all(&gateways, Duration::from_millis(2_500));
    let most = most_in_a_second(target, known, started + WARMUP);
    assert!(
        most as f64 <= BOUND,
        "{most} requests in a second, at most {BOUND}"
    );
    assert!(served > 50, "the other target serves: {served}");
    wait("it is warm", || {
        // The end is noticed when the target is looked at.
        gateways[0].dump();
        gateways[0].has_line(&["target is warm", "i-0"])
    });
    let before = target.arrivals();
    call_all(&gateways, Duration::from_secs(1));
    assert!(
        f64::from(target.arrivals() - before) > BOUND,
        "it is used again"
    );
}

/// Guards against cold targets that get more in a full service, against VMs that use them hardly at all,
/// and against a VM without a part that refuses its callers.
#[test]
fn a_service_whose_targets_are_all_cold_serves_what_the_group_may_send() {
    let site = warming("all-cold", 2, true);
    let gateways = acquainted(&site, 6);
    let started = Instant::now();
    let time = Duration::from_secs(12);
    for target in &site.targets {
        target.set_cold(time);
        target.start_again();
        target.announce(&site.store, "ready");
    }
    for gateway in &gateways {
        for id in ["i-0", "i-1"] {
            wait("it is known", || gateway.has_line(&["target is cold", id]));
        }
    }
    let known = Instant::now();
    let served = call_all(&gateways, Duration::from_secs(6));
    for target in &site.targets {
        let most = most_in_a_second(target, known, started + time);
        assert!(
            most as f64 <= BOUND,
            "{most} requests in a second, at most {BOUND}"
        );
    }
    let may = 2.0 * 0.75 * RATE * 6.0;
    assert!(served as f64 >= 0.7 * may, "{served} of {may}");
    let metrics = call(
        gateways[0].admin,
        "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
    );
    assert!(metrics.body.contains("carobshore_warmups"));
}

/// Guards against a target that names a limit while it is cold, and gets what only one of both allows.
#[test]
fn a_cold_target_that_names_a_limit_gets_what_both_allow() {
    let site = warming("cold-limited", 1, true);
    let gateways = acquainted(&site, 2);
    let target = &site.targets[0];
    target.set_limits(&["1"]);
    target.set_cold(Duration::from_secs(60));
    target.announce(&site.store, "ready");
    call_all(&gateways, Duration::from_secs(3));
    let noticed = Instant::now();
    let time = Duration::from_secs(4);
    let served = call_all(&gateways, time);
    // The warm-up alone allows 12 and what was saved, the limit 1.5 times its rate and 5.
    let arrived = target
        .arrival_times()
        .into_iter()
        .filter(|at| *at >= noticed);
    let arrived = arrived.count();
    assert!(arrived <= 11, "{arrived} in {time:?}");
    assert!(served >= 3, "{served} in {time:?}");
}

/// Guards against requests of the moment in which a target has restarted and nobody knows it yet.
#[test]
fn a_target_whose_connections_end_gets_no_more_than_its_bound_before_its_entry_tells() {
    let site = warming("cold-unannounced", 2, true);
    let gateways = acquainted(&site, 2);
    call_all(&gateways, Duration::from_secs(1));
    let target = &site.targets[0];
    target.set_cold(WARMUP);
    target.reset_connections();
    let restarted = Instant::now();
    call_all(&gateways, Duration::from_secs(2));
    let most = most_in_a_second(target, restarted, restarted + WARMUP);
    assert!(
        most as f64 <= BOUND,
        "{most} requests in a second, at most {BOUND}"
    );
    for gateway in &gateways {
        gateway.wait_for_line(&["before it has answered a health check", "i-0"]);
    }
}

/// Without a rule in the configuration, a target that says it is cold is used as before.
#[test]
fn without_a_rule_a_cold_target_has_no_limit() {
    let site = warming("no-rule", 1, false);
    let gateways = acquainted(&site, 1);
    site.targets[0].set_cold(WARMUP);
    site.targets[0].announce(&site.store, "ready");
    thread::sleep(Duration::from_millis(500));
    let from = Instant::now();
    let served = call_all(&gateways, Duration::from_secs(2));
    let most = most_in_a_second(&site.targets[0], from, from + WARMUP);
    assert!(most as f64 > BOUND, "{most} in a second, {served} served");
    gateways[0].flush_log();
    assert!(!gateways[0].has_line(&["target is cold"]));
    assert!(!gateways[0].has_line(&["before it has answered a health check"]));
}
