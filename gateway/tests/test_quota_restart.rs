//! Guards against quotas that two sets of owners grant after the store has come back from an older copy,
//! because some VMs take a list without the others for the whole one (QUOTA). What counts is what targets
//! run, over all VMs.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::quota::owner_pools::OwnerPools;
use carobshore_lib::vm_roster::VmRecord;
use carobshore_lib::vm_roster::VmRoster;
use carobshore_standin::fault_proxy::FaultProxy;
use carobshore_standin::fault_proxy::ProxyFault;
use carobshore_standin::site_store::StoreCopy;
use carobshore_standin::site_store::StoreFault;
use carobshore_standin::site_target::SiteTarget;
use carobshore_standin::site_wire;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::VmPlan;
use crate::common::free_port;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::try_call;
use crate::common::wait;

/// The settings that bound what is sent over a quota.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;
/// The quota: requests per second, and those that may have been saved.
const RATE: f64 = 100.0;
const BURST: f64 = 10.0;
/// Requests per second to each VM, which are 3.6 times the quota.
const SENT_PER_VM: u32 = 40;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// VMs that join in each failure domain after the copy was made.
const JOINING: usize = 2;
/// All of these VMs.
const VMS: usize = DOMAINS.len() * (1 + JOINING);
const TARGETS: usize = 8;
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time within which VMs that reach the store are registered again.
const REGISTER: Duration = Duration::from_secs(2);
/// How long VMs that a new list makes owners of a quota grant nothing, with time to learn of the list.
const HANDOVER: Duration = Duration::from_secs(17);

/// How long the store turns VMs away.
const TURNED_AWAY: Duration = Duration::from_secs(14);

/// The VMs of a deployment. The first one of each failure domain is on the list of VMs in the copy of the
/// store, and the others have joined since.
struct QuotaSite {
    site: Site,
    /// The VMs in the order of their start.
    vms: Vec<Vm>,
    copy: StoreCopy,
    /// The organisation that has a quota.
    organisation: String,
}

struct Vm {
    gateway: Gateway,
    store_path: FaultProxy,
}

impl QuotaSite {
    /// Starts the VMs, and waits until each of them has the list of all.
    fn start(name: &str, seeds: Seeds, organisation: String) -> Self {
        let site = site(name, TARGETS);
        let mut resources = routes(1_500, "status");
        let limited = site_wire::organisation(&organisation, &["key"]);
        resources.push(site_wire::with_quota(limited, RATE, BURST));
        site.configure(2, &resources);
        let addrs: Vec<SocketAddr> = DOMAINS.iter().map(|_| free_port()).collect();
        let mut deployment = Self {
            copy: site.store.copy(),
            site,
            vms: Vec::new(),
            organisation,
        };
        for index in 0..DOMAINS.len() {
            let control = (seeds == Seeds::First).then_some(addrs[index]);
            deployment.add(index, &addrs, control);
        }
        deployment.restart_all();
        deployment.copy = deployment.site.store.copy();
        for index in DOMAINS.len()..VMS {
            deployment.add(index, &addrs, None);
        }
        deployment.restart_all();
        deployment
    }

    /// Starts the VMs again one after the other, so that each reads the list of all and does not count as
    /// new.
    fn restart_all(&mut self) {
        for vm in &mut self.vms {
            vm.gateway.restart();
            wait("it is ready again", || vm.gateway.is_ready());
        }
        self.wait_for_list();
    }

    fn add(&mut self, index: usize, seeds: &[SocketAddr], control: Option<SocketAddr>) {
        let (name, domain) = vm_name(index);
        let store_path = FaultProxy::start(self.site.store.addr()).expect("a proxy");
        let mut gateway = self.site.start_planned(VmPlan {
            name: &name,
            domain,
            store: store_path.addr(),
            seeds,
            control,
            first_start: false,
        });
        gateway.bound_quotas(OVER, SLACK);
        gateway.restart();
        wait("the gateway is ready", || gateway.is_ready());
        self.vms.push(Vm {
            gateway,
            store_path,
        });
    }

    /// Waits until each VM has the list of all.
    fn wait_for_list(&self) {
        let all = self.vms.len();
        for vm in &self.vms {
            wait("it has the list of all VMs", || {
                vm.gateway.listed_vms() == all
            });
        }
    }

    fn go_away(&self) {
        self.site.store.set_fault(StoreFault::Reset);
        thread::sleep(AWAY);
    }

    /// Lets the store come back from the copy. What the operators and the targets wrote is written again.
    fn come_back(&self) {
        let lost = self.site.store.restart_from(&self.copy);
        self.site.store.set_fault(StoreFault::None);
        for write in lost {
            let value = write.value.as_deref();
            self.site.store.put(&write.topic, &write.key, value);
        }
    }

    fn traffic(&self) -> Traffic {
        let ended = Arc::new(AtomicBool::new(false));
        let threads = self.vms.iter().enumerate().map(|(vm, to)| {
            let (ended, callers) = (Arc::clone(&ended), to.gateway.callers);
            thread::spawn(move || send_requests(vm, callers, &ended))
        });
        Traffic {
            threads: threads.collect(),
            ended,
        }
    }

    /// Checks the bound in each window, by what the targets have run for the organisation.
    fn assert_bound(&self) {
        let runs = self.site.targets.iter().flat_map(SiteTarget::runs);
        let mut began: Vec<Instant> = runs
            .filter(|run| run.organisation.as_deref() == Some(&*self.organisation))
            .map(|run| run.began)
            .collect();
        began.sort_unstable();
        let in_window = |first: usize| {
            let end = began[first] + WINDOW;
            began[first..].partition_point(|at| *at < end)
        };
        let most = (0..began.len()).map(in_window).max().unwrap_or(0);
        let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVER) + SLACK;
        println!("at most {most} requests in {WINDOW:?}, {allowed} are allowed");
        assert!(most > 100, "{most} requests were served in the best window");
        assert!(most as f64 <= allowed, "{most} of {allowed} requests run");
    }
}

/// Which VMs the settings name, for others to ask first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seeds {
    /// The first one of each failure domain.
    First,
    /// VMs that are gone for good.
    Gone,
}

struct Traffic {
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    fn stop(self) {
        self.ended.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("a client");
        }
    }
}

/// Sends requests to a VM at a steady rate.
fn send_requests(vm: usize, callers: SocketAddr, ended: &AtomicBool) {
    let mut number = 0;
    let mut next = Instant::now();
    while !ended.load(Ordering::SeqCst) {
        number += 1;
        let text = request("safe", &format!("q-{vm}-{number}"), 1_500, "");
        let text = text.replacen("Host:", "Authorization: Bearer key\r\nHost:", 1);
        let _ = try_call(callers, &text);
        next = (next + Duration::from_secs(1) / SENT_PER_VM).max(Instant::now());
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Returns the name and the failure domain of a VM. The first ones are in different domains.
fn vm_name(index: usize) -> (String, &'static str) {
    let domain = DOMAINS[index % DOMAINS.len()];
    (format!("edge-{domain}-{}", index / DOMAINS.len()), domain)
}

/// Returns an organisation whose owners, by the list of the first `vms` VMs, are of those that joined after the
/// first `earlier` ones.
fn owned_by_later(vms: usize, earlier: usize) -> String {
    let record = |index| {
        let (name, domain) = vm_name(index);
        VmRecord {
            name: name.into(),
            domain: domain.parse::<DomainId>().expect("a domain"),
            feed: ([127, 0, 0, 1], 1).into(),
            link: 0,
            era: None,
        }
    };
    let pools = OwnerPools::new(&VmRoster::new((0..vms).map(record).collect()));
    let later: Vec<String> = (earlier..vms).map(|index| vm_name(index).0).collect();
    let is_owned = |name: &String| {
        let organisation: OrganisationId = name.parse().expect("an organisation");
        let owners = pools.owners(&organisation);
        owners
            .iter()
            .all(|owner| later.contains(&owner.name.to_string()))
    };
    let mut names = (0..).map(|number| format!("org-{number}"));
    names.find(is_owned).expect("an organisation")
}

/// Guards against registrations that a drill of the store has lost and that nobody writes again: VMs that are
/// restarted later take the short list for the whole one, and two sets of owners grant one quota (QUOTA).
#[test]
fn a_quota_holds_when_vms_are_restarted_after_a_drill() {
    let mut deployment = QuotaSite::start(
        "quota-restart",
        Seeds::First,
        owned_by_later(VMS, DOMAINS.len()),
    );
    deployment.go_away();
    deployment.come_back();
    thread::sleep(REGISTER);
    let traffic = deployment.traffic();
    thread::sleep(REGISTER);
    for vm in &mut deployment.vms[..DOMAINS.len()] {
        vm.gateway.restart();
        wait("it is ready again", || vm.gateway.is_ready());
    }
    thread::sleep(WINDOW + REGISTER);
    traffic.stop();
    deployment.assert_bound();
}

/// Guards against VMs that start while a list of the store lacks the others, and grant a quota by that list
/// beside the owners by the whole one (QUOTA). The store turns the others away meanwhile.
#[test]
fn a_quota_holds_when_vms_start_before_the_others_are_registered_again() {
    let mut deployment = QuotaSite::start(
        "quota-short-list",
        Seeds::Gone,
        owned_by_later(VMS, DOMAINS.len()),
    );
    let traffic = deployment.traffic();
    deployment.go_away();
    for vm in &deployment.vms[DOMAINS.len()..] {
        vm.store_path.set_fault(ProxyFault::Reset);
    }
    let first = &mut deployment.vms[..DOMAINS.len()];
    Gateway::kill_all(first.iter_mut().map(|vm| &mut vm.gateway));
    deployment.come_back();
    for vm in &mut deployment.vms[..DOMAINS.len()] {
        vm.gateway.start_again();
    }
    thread::sleep(WINDOW + REGISTER);
    for vm in &deployment.vms {
        vm.store_path.set_fault(ProxyFault::None);
    }
    thread::sleep(HANDOVER);
    traffic.stop();
    deployment.assert_bound();
    deployment.wait_for_list();
}

/// Guards against VMs that join while the store turns the others away, and grant a quota before these know them
/// (QUOTA).
#[test]
fn a_quota_holds_when_vms_join_while_the_store_turns_the_others_away() {
    let vms = VMS + DOMAINS.len();
    let organisation = owned_by_later(vms, VMS);
    let mut deployment = QuotaSite::start("quota-joined", Seeds::Gone, organisation);
    for vm in &deployment.vms {
        vm.store_path.set_fault(ProxyFault::Reset);
    }
    let gone: Vec<SocketAddr> = DOMAINS.iter().map(|_| free_port()).collect();
    for index in VMS..vms {
        deployment.add(index, &gone, None);
    }
    let traffic = deployment.traffic();
    thread::sleep(TURNED_AWAY);
    for vm in &deployment.vms {
        vm.store_path.set_fault(ProxyFault::None);
    }
    thread::sleep(HANDOVER);
    traffic.stop();
    deployment.assert_bound();
    deployment.wait_for_list();
}
