//! Guards against requests that leave their failure domain without need, and against requests that are
//! refused although another domain has room. The tests run a gateway process in the domain `a`, and
//! simulated targets in `a` and `b`.

mod common;

use std::thread;
use std::time::Duration;

use carobshore_standin::server::ANY_PORT;
use carobshore_standin::site_target::Behaviour;
use carobshore_standin::site_target::SiteTarget;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::site;
use crate::common::wait;

/// Starts and announces targets in the domain `b`.
fn remote_targets(site: &Site, count: usize) -> Vec<SiteTarget> {
    let targets = (0..count).map(|index| {
        let id = format!("r-{index}");
        let target = SiteTarget::start(ANY_PORT, &id, "status", "b").expect("a target");
        target.announce(&site.store, "ready");
        target
    });
    targets.collect()
}

fn runs(targets: &[SiteTarget]) -> usize {
    targets.iter().map(|target| target.runs().len()).sum()
}

fn wait_for_targets(gateway: &Gateway, ids: &[&str], known: bool) {
    wait("the targets are known", || {
        let dump = gateway.dump();
        let listed = |id: &&str| dump.contains(&format!("\"{id}\""));
        !dump.is_empty() && ids.iter().all(|id| listed(id) == known)
    });
}

fn checks(gateway: &Gateway) -> u32 {
    let metrics = gateway.metrics();
    let counts = metrics
        .lines()
        .filter(|line| line.starts_with("carobshore_health_checks_total{"));
    let count = |line: &str| {
        line.rsplit(' ')
            .next()
            .and_then(|count| count.parse::<u32>().ok())
    };
    counts.filter_map(count).sum()
}

fn call_all(gateway: &Gateway, name: &str, count: usize) {
    for index in 0..count {
        let response = gateway.call("safe", &format!("{name}-{index}"), "");
        assert_eq!(response.head.status, 200, "{}", response.body);
    }
}

/// Load: single requests while all targets are idle. With the lowest cost, the random part of the cost
/// is larger than the price of a small request, so that half of them cross. Guards against checks of targets
/// that have just reported, too.
#[test]
fn with_idle_local_targets_nothing_crosses_by_share_but_requests_cross_by_cost() {
    let site = site("crossing-idle", 2);
    let remote = remote_targets(&site, 2);
    let by_share = site.sharing_gateway("share");
    wait_for_targets(&by_share, &["i-0", "i-1", "r-0", "r-1"], true);
    call_all(&by_share, "share", 60);
    assert_eq!(runs(&remote), 0);
    assert!(!by_share.metrics().contains("carobshore_crossings"));
    let by_cost = site.gateway("cost");
    wait_for_targets(&by_cost, &["i-0", "i-1", "r-0", "r-1"], true);
    call_all(&by_cost, "cost", 60);
    let (shared, costed) = (checks(&by_share), checks(&by_cost));
    assert!(
        shared < costed,
        "{shared} checks by share, {costed} by cost"
    );
    let mut calls = 0;
    wait("requests cross by cost", || {
        calls += 1;
        call_all(&by_cost, &format!("cost-{calls}"), 10);
        runs(&remote) > 0
    });
    assert!(!by_cost.metrics().contains("carobshore_crossings"));
}

/// Load: the targets of the own domain leave. Guards against refusals while other domains serve.
#[test]
fn without_local_targets_requests_cross_and_return_with_them() {
    let site = site("crossing-none", 1);
    let remote = remote_targets(&site, 2);
    let gateway = site.sharing_gateway("edge-1");
    wait_for_targets(&gateway, &["i-0", "r-0", "r-1"], true);
    site.targets[0].withdraw(&site.store);
    wait_for_targets(&gateway, &["i-0"], false);
    call_all(&gateway, "none", 10);
    assert_eq!(runs(&remote), 10);
    let metrics = gateway.metrics();
    let counted = |line: &str| {
        line.starts_with("carobshore_crossings_total{")
            && line.contains("reason=\"no-local-target\"")
            && line.ends_with(" 10")
    };
    assert!(metrics.lines().any(counted), "{metrics}");
    gateway.wait_for_line(&["\"left\":\"no-local-target\"", "attempt"]);
    site.targets[0].announce(&site.store, "ready");
    wait_for_targets(&gateway, &["i-0"], true);
    call_all(&gateway, "back", 10);
    assert_eq!(runs(&remote), 10);
}

/// Load: all local targets are full. Guards against requests that are refused although a check finds a
/// free slot elsewhere, and against a share that stays zero beside a domain with room.
#[test]
fn full_local_targets_send_requests_away() {
    let site = site("crossing-full", 3);
    let remote = remote_targets(&site, 3);
    let full = Behaviour::HealthReportsFull;
    site.targets.iter().for_each(|target| target.set(full));
    let gateway = site.sharing_gateway("edge-1");
    wait_for_targets(&gateway, &["i-0", "r-0", "r-1", "r-2"], true);
    let metrics = || {
        thread::scope(|scope| {
            for index in 0..8 {
                let gateway = &gateway;
                scope.spawn(move || gateway.try_call("safe", &format!("full-{index}")));
            }
        });
        gateway.metrics()
    };
    wait("requests leave as the last resort", || {
        metrics().contains("reason=\"last-resort\"")
    });
    wait("requests leave by the share", || {
        thread::sleep(Duration::from_millis(20));
        metrics().contains("reason=\"share\"")
    });
    assert!(runs(&remote) > 0);
}
