//! Guards against requests to targets that say in their answers that they are leaving or want a
//! pause, and against targets that get nothing although that is over.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::site_store::StoreFault;
use carobshore_standin::site_target::Behaviour;
use carobshore_standin::site_target::SiteTarget;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::site;
use crate::common::wait;

/// Sends requests until the target has run one.
fn call_until_run_by(gateway: &Gateway, target: &SiteTarget) {
    let before = target.runs().len();
    wait("the target gets a request", || {
        gateway.call("safe", "id", "");
        target.runs().len() > before
    });
}

/// Sends requests until the target has said that it is leaving.
fn call_until_leaving(gateway: &Gateway, target: &SiteTarget) {
    wait("the target has said so", || {
        gateway.call("safe", "id", "");
        gateway.has_line(&["target is leaving", "it says so", target.id()])
    });
}

/// Sends requests of all kinds, and asserts that they are served without the target.
fn assert_served_without(site: &Site, gateway: &Gateway, target: &SiteTarget) {
    let before = target.arrivals();
    for index in 0..30 {
        for kind in ["safe", "unsafe", "upload"] {
            let response = gateway.call(kind, &format!("{kind}-{index}-{before}"), "x");
            assert_eq!(response.head.status, 200);
        }
    }
    assert_eq!(target.arrivals(), before, "{}", target.id());
    assert!(site.targets.len() > 1);
}

#[test]
fn a_target_that_says_that_it_is_leaving_gets_no_further_request() {
    let site = site("says-leaving", 3);
    let gateway = site.gateway("edge-1");
    let target = &site.targets[0];
    target.set_leaving(true);
    call_until_leaving(&gateway, target);
    assert_served_without(&site, &gateway, target);
    assert!(gateway.dump().contains("\"unavailable\":\"leaving\""));
}

/// The announcement may be older than the answer, and may come back after an outage.
#[test]
fn an_announcement_of_the_same_start_does_not_bring_a_leaving_target_back() {
    let site = site("says-leaving-store", 2);
    let gateway = site.gateway("edge-1");
    let target = &site.targets[0];
    target.set_leaving(true);
    call_until_leaving(&gateway, target);
    target.announce(&site.store, "ready");
    thread::sleep(Duration::from_millis(800));
    assert_served_without(&site, &gateway, target);
    target.withdraw(&site.store);
    wait("the target is gone", || {
        !gateway.dump().contains(target.id())
    });
    target.announce(&site.store, "ready");
    wait("the target is back", || {
        gateway.dump().contains(target.id())
    });
    assert_served_without(&site, &gateway, target);
    site.store.set_fault(StoreFault::Status(503));
    thread::sleep(Duration::from_millis(800));
    assert_served_without(&site, &gateway, target);
}

#[test]
fn a_health_check_that_says_that_the_target_is_leaving_counts_too() {
    let site = site("check-leaving", 2);
    let gateway = site.gateway("edge-1");
    let target = &site.targets[0];
    target.set_leaving(true);
    // It is asked for its load and gets no request.
    target.set(Behaviour::HealthReportsFull);
    call_until_leaving(&gateway, target);
    assert_eq!(target.arrivals(), 0);
    target.set(Behaviour::Serve);
    assert_served_without(&site, &gateway, target);
}

/// The answer of the earlier start says that it is leaving, and arrives after the announcement of the
/// new one.
#[test]
fn a_new_start_gets_requests_again_whatever_a_late_answer_says() {
    let site = site("started-again", 1);
    let gateway = site.gateway("edge-1");
    let target = &site.targets[0];
    target.set_work(Duration::from_millis(1_000));
    thread::scope(|scope| {
        let slow = scope.spawn(|| gateway.call("safe", "slow", ""));
        wait("the target runs it", || !target.runs().is_empty());
        target.set_leaving(true);
        call_until_leaving(&gateway, target);
        target.start_again();
        target.announce(&site.store, "ready");
        wait("the new start is known", || {
            !gateway.dump().contains("leaving")
        });
        assert_eq!(slow.join().expect("an answer").head.status, 200);
    });
    target.set_leaving(false);
    target.set_work(Duration::from_millis(5));
    call_until_run_by(&gateway, target);
}

#[test]
fn a_service_whose_targets_are_all_leaving_is_refused_at_once() {
    let site = site("all-leaving", 2);
    let gateway = site.gateway("edge-1");
    site.targets
        .iter()
        .for_each(|target| target.set_leaving(true));
    wait("both have said so", || {
        gateway.call("safe", "id", "").head.status == 503
    });
    let started = Instant::now();
    let response = gateway.call("unsafe", "id-1", "x");
    assert!(started.elapsed() < Duration::from_millis(200));
    assert_eq!(response.head.status, 503);
    assert!(response.head.fields.text("Retry-After").is_some());
    assert_eq!(site.runs_of("id-1"), 0);
    gateway.wait_for_line(&["targets-unavailable", "leaving"]);
}

#[test]
fn a_target_that_wants_a_pause_gets_no_request_until_it_is_over() {
    let site = site("pause", 2);
    let gateway = site.gateway("edge-1");
    let target = &site.targets[0];
    target.set(Behaviour::Refuse);
    target.set_pauses(&["1.5"]);
    wait("it has refused a request", || {
        gateway.call("unsafe", "id", "x");
        target.arrivals() > 0
    });
    let refused = Instant::now();
    target.set(Behaviour::Serve);
    let before = target.arrivals();
    let mut calls = 0;
    while refused.elapsed() < Duration::from_millis(1_400) {
        calls += 1;
        let response = gateway.call("safe", &format!("id-{calls}"), "");
        assert_eq!(response.head.status, 200);
    }
    assert_eq!(target.arrivals(), before, "{calls} requests");
    thread::sleep(Duration::from_millis(900));
    call_until_run_by(&gateway, target);
    gateway.wait_for_line(&["target wants a pause", "1.5 s", target.id()]);
}

#[test]
fn callers_are_told_when_the_first_of_the_paused_targets_returns() {
    let site = site("all-paused", 2);
    let gateway = site.gateway("edge-1");
    for (target, pause) in site.targets.iter().zip(["40", "20"]) {
        target.set(Behaviour::Refuse);
        target.set_pauses(&[pause]);
    }
    wait("both have refused", || {
        gateway.call("unsafe", "id", "x");
        site.targets.iter().all(|target| target.arrivals() > 0)
    });
    let started = Instant::now();
    let response = gateway.call("unsafe", "id-1", "x");
    assert!(started.elapsed() < Duration::from_millis(200));
    assert_eq!(response.head.status, 503);
    let after = response.head.fields.text("Retry-After");
    let after: f64 = after.and_then(|text| text.parse().ok()).expect("a time");
    // The VMs return to it within 2 s after its pause.
    assert!((15.0..=22.0).contains(&after), "{after}");
    let arrivals: u32 = site.targets.iter().map(SiteTarget::arrivals).sum();
    for index in 0..10 {
        gateway.call("safe", &format!("id-{index}"), "");
    }
    let later: u32 = site.targets.iter().map(SiteTarget::arrivals).sum();
    assert_eq!(later, arrivals);
}

#[test]
fn malformed_pauses_are_ignored() {
    let site = site("malformed-pause", 2);
    let gateway = site.gateway("edge-1");
    let malformed: [&[&str]; 7] = [
        &["-1"],
        &["NaN"],
        &["inf"],
        &["1e300"],
        &["soon"],
        &[""],
        &["60", "60"],
    ];
    for pauses in malformed {
        site.targets[0].set(Behaviour::Refuse);
        site.targets[0].set_pauses(pauses);
        let before = site.targets[0].arrivals();
        wait("a request is refused", || {
            let response = gateway.call("unsafe", "id", "x");
            assert_eq!(response.head.status, 200, "{pauses:?}");
            site.targets[0].arrivals() > before
        });
    }
    site.targets[0].set(Behaviour::Serve);
    call_until_run_by(&gateway, &site.targets[0]);
    gateway.flush_log();
    let lines = gateway.lines();
    let warnings = lines.iter().filter(|line| line.contains("malformed pause"));
    assert_eq!(warnings.count(), 1);
}
