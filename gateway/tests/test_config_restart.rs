//! Guards against a VM that goes on at its old offset after the store has come back from an older copy, where
//! that offset stands for another record, and so never reads the new configuration (CONFIG).

mod common;

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::fault_proxy::FaultProxy;
use carobshore_standin::fault_proxy::ProxyFault;
use carobshore_standin::server::ANY_PORT;
use carobshore_standin::site_store::OPERATORS;
use carobshore_standin::site_store::StoreFault;
use carobshore_standin::site_target::SiteTarget;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::VmPlan;
use crate::common::routes;
use crate::common::site;
use crate::common::wait;

/// `ConfigApply`, and `MaxSkew`, by which an unstable store stretches it.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
const MAX_SKEW: Duration = Duration::from_secs(5);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// How long after the return the operator changes the configuration, and for how much longer the store turns
/// one VM away.
const CHANGE_AFTER: Duration = Duration::from_secs(1);
const TURNED_AWAY: Duration = Duration::from_secs(1);
/// The VM that the store turns away.
const TURNED_AWAY_VM: usize = 1;
/// Requests to each VM after the bound.
const REQUESTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(50);

/// Writes a version of the configuration, in which all routes lead to the service.
fn configure(site: &Site, version: u64, service: &str) {
    site.configure(version, &routes(1_500, service));
}

fn wait_for_version(gateways: &[Gateway], version: u64) {
    let text = format!("\"version\":{version},");
    for gateway in gateways {
        wait("the version is in force", || gateway.dump().contains(&text));
    }
}

/// Returns the ids of the requests that the targets of a service have run.
fn runs_of(site: &Site, service: &str) -> BTreeSet<Box<str>> {
    let targets = site
        .targets
        .iter()
        .filter(|target| target.id().starts_with(service));
    let runs = targets.flat_map(SiteTarget::runs);
    runs.map(|run| run.id).collect()
}

#[test]
fn a_vm_that_was_turned_away_reads_what_now_stands_at_its_old_offset() {
    let mut site = site("config-restart", 0);
    for (index, service) in ["status", "rack", "status", "rack"].into_iter().enumerate() {
        let id = format!("{service}-{index}");
        let target = SiteTarget::start(ANY_PORT, &id, service, "a").expect("a target");
        target.announce(&site.store, "ready");
        site.targets.push(target);
    }
    let paths = [(); 3].map(|()| FaultProxy::start(site.store.addr()).expect("a proxy"));
    let vms = paths.iter().zip(["a", "b", "c"]);
    let gateways: Vec<Gateway> = vms
        .map(|(path, domain)| {
            site.start_planned(VmPlan {
                name: &format!("edge-{domain}"),
                domain,
                store: path.addr(),
                seeds: &[],
                control: None,
                first_start: false,
            })
        })
        .collect();
    wait_for_version(&gateways, 1);
    let copy = site.store.copy();
    configure(&site, 2, "status");
    configure(&site, 3, "status");
    wait_for_version(&gateways, 3);
    let known = site.store.end(OPERATORS);
    paths[TURNED_AWAY_VM].set_fault(ProxyFault::Reset);
    site.store.set_fault(StoreFault::Reset);
    thread::sleep(AWAY);
    site.store.restart_from(&copy);
    // What the operator wrote is written again: the newest configuration, which is whole.
    configure(&site, 3, "status");
    site.store.set_fault(StoreFault::None);
    thread::sleep(CHANGE_AFTER);
    configure(&site, 4, "rack");
    let acknowledged = Instant::now();
    assert_eq!(
        site.store.end(OPERATORS),
        known,
        "the topic is as long again"
    );
    thread::sleep(TURNED_AWAY);
    paths[TURNED_AWAY_VM].set_fault(ProxyFault::None);
    let bound = acknowledged + CONFIG_APPLY + MAX_SKEW;
    thread::sleep(bound.saturating_duration_since(Instant::now()));
    for number in 0..REQUESTS {
        for (vm, gateway) in gateways.iter().enumerate() {
            let response = gateway.call("safe", &format!("late-{vm}-{number}"), "");
            assert_eq!(response.head.status, 200, "VM {vm}: {}", response.body);
        }
        thread::sleep(PAUSE);
    }
    let late: Vec<_> = runs_of(&site, "status")
        .into_iter()
        .filter(|id| id.starts_with("late-"))
        .collect();
    assert!(late.is_empty(), "run by the old service: {late:?}");
}
