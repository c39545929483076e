//! A deployment as the users run it: 15 VMs in three failure domains, each with its own path to the store.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod traffic;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::vm_roster::VmRecord;
use carobshore_lib::vm_roster::VmRoster;
use carobshore_standin::fault_proxy::FaultProxy;
use carobshore_standin::fault_proxy::ProxyFault;
use carobshore_standin::raw_server::lock;
use carobshore_standin::server::ANY_PORT;
use carobshore_standin::site_store::LostWrite;
use carobshore_standin::site_store::OPERATORS;
use carobshore_standin::site_store::StoreCopy;
use carobshore_standin::site_store::StoreFault;
use carobshore_standin::site_target::SiteTarget;
use carobshore_standin::site_wire;
use serde_json::Value;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::VmPlan;
use crate::common::free_port;
use crate::common::routes;
use crate::common::site;
use crate::common::wait;

/// `Contact` of the deployment: a VM is in touch if nothing has been wrong for this long.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
/// `ConfigApply` of the deployment.
pub(crate) const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// The failure domains.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// VMs in a failure domain, unless the variable says otherwise, for runs by hand.
const VMS: usize = 5;
const VMS_VARIABLE: &str = "CAROBSHORE_RESTART_VMS";
/// Targets of each service in a failure domain.
const TARGETS: usize = 2;
/// The services; routes move between them.
const SERVICES: [&str; 2] = ["status", "rack"];
/// The number of added routes that a configuration keeps.
const KEPT_ROUTES: u64 = 3;

/// The VMs of a deployment with a store, targets and an operator.
pub(crate) struct Deployment {
    pub(crate) site: Site,
    pub(crate) vms: Vec<Vm>,
    pub(crate) targets: Vec<SiteTarget>,
    pub(crate) record: Arc<Record>,
    /// A copy of the store from before the VMs have started.
    pub(crate) first_copy: StoreCopy,
}

/// What the operator has written, and since when each VM has been without trouble.
#[derive(Default)]
pub(crate) struct Record {
    /// The versions of the configuration, each with when the store acknowledged it.
    acks: Mutex<Vec<(u64, Instant)>>,
    /// When the last trouble of each VM has ended; nothing if it has had none.
    troubles: Mutex<BTreeMap<usize, Instant>>,
    /// VMs whose process is started again.
    restarted: Mutex<BTreeSet<usize>>,
}

impl Record {
    /// Returns the newest version that the operator has written.
    pub(crate) fn newest(&self) -> u64 {
        self.acknowledged_before(Instant::now())
    }

    /// Returns the newest version that the store had acknowledged before `at`.
    pub(crate) fn acknowledged_before(&self, at: Instant) -> u64 {
        let acks = lock(&self.acks);
        let earlier = acks.iter().filter(|(_, ack)| *ack < at);
        earlier
            .map(|(version, _)| *version)
            .max()
            .unwrap_or_default()
    }

    /// Returns whether a VM has been in touch with a sound store for all of [`CONTACT`].
    pub(crate) fn is_in_touch(&self, vm: usize) -> bool {
        let troubles = lock(&self.troubles);
        troubles
            .get(&vm)
            .is_none_or(|end| Instant::now() > *end + CONTACT)
    }

    /// Records that the trouble of a VM lasts until `end` at least.
    pub(crate) fn in_trouble(&self, vm: usize, end: Instant) {
        let mut troubles = lock(&self.troubles);
        let known = troubles.entry(vm).or_insert(end);
        *known = end.max(*known);
    }

    /// Records that the process of a VM is started again, and knows nothing of before.
    pub(crate) fn restarts(&self, vm: usize) {
        lock(&self.restarted).insert(vm);
    }

    /// Returns whether the process of a VM has been the same all the time.
    pub(crate) fn is_same_process(&self, vm: usize) -> bool {
        !lock(&self.restarted).contains(&vm)
    }

    /// Returns when the last trouble of any VM has ended.
    pub(crate) fn calm_since(&self) -> Option<Instant> {
        lock(&self.troubles).values().max().copied()
    }

    fn acknowledged(&self, version: u64) {
        lock(&self.acks).push((version, Instant::now()));
    }
}

/// A VM with its path to the store.
pub(crate) struct Vm {
    pub(crate) gateway: Gateway,
    pub(crate) store_path: FaultProxy,
}

/// Returns the name of a VM by the number of its failure domain and its own there.
fn vm_name(domain: usize, number: usize) -> String {
    format!("edge-{}-{number}", DOMAINS[domain])
}

/// Returns the service to which a version leads the route `/moved/`.
pub(crate) fn moved_to(version: u64) -> &'static str {
    SERVICES[version as usize % SERVICES.len()]
}

/// Returns the resources of a version: some fixed routes, one that moves with each version, and those that
/// this version and the ones before it have added.
fn resources(version: u64) -> Vec<Value> {
    let mut resources = routes(1_500, "status");
    resources.push(site_wire::named_route("moved", moved_to(version)));
    for added in version.saturating_sub(KEPT_ROUTES - 1).max(1)..=version {
        let name = format!("added-{added}");
        resources.push(site_wire::named_route(&name, "status"));
    }
    resources.push(site_wire::service("rack"));
    resources
}

impl Deployment {
    /// Starts all VMs for the first time, and waits until they are ready.
    pub(crate) fn start(name: &str) -> Self {
        let site = site(name, 0);
        let mut targets = Vec::new();
        for service in SERVICES {
            for (domain, number) in DOMAINS
                .iter()
                .flat_map(|domain| (0..TARGETS).map(move |number| (domain, number)))
            {
                let id = format!("i-{service}-{domain}-{number}");
                let target = SiteTarget::start(ANY_PORT, &id, service, domain).expect("a target");
                target.announce(&site.store, "ready");
                targets.push(target);
            }
        }
        let first_copy = site.store.copy();
        let controls: Vec<SocketAddr> = DOMAINS.iter().map(|_| free_port()).collect();
        let mut vms = Vec::new();
        let count = std::env::var(VMS_VARIABLE);
        let count = count.map_or(VMS, |text| text.parse().expect("a number of VMs"));
        for (index, domain) in DOMAINS.iter().enumerate() {
            for number in 0..count {
                let store_path = FaultProxy::start(site.store.addr()).expect("a proxy");
                let gateway = site.start_planned(VmPlan {
                    name: &vm_name(index, number),
                    domain,
                    store: store_path.addr(),
                    seeds: &controls,
                    control: (number == 0).then_some(controls[index]),
                    first_start: true,
                });
                vms.push(Vm {
                    gateway,
                    store_path,
                });
            }
        }
        let deployment = Self {
            site,
            vms,
            targets,
            record: Arc::default(),
            first_copy,
        };
        deployment.configure(1);
        for vm in &deployment.vms {
            wait("the gateway is ready", || vm.gateway.is_ready());
            vm.gateway.end_first_start();
        }
        deployment
    }

    /// Writes a version of the configuration.
    pub(crate) fn configure(&self, version: u64) {
        self.site.configure(version, &resources(version));
        self.record.acknowledged(version);
    }

    /// Lets the store be away for a time and come back from the copy. Returns what has to be written
    /// again.
    pub(crate) fn drill(&self, copy: &StoreCopy, away: Duration) -> Vec<LostWrite> {
        let end = Instant::now() + away;
        (0..self.vms.len()).for_each(|vm| self.record.in_trouble(vm, end));
        self.site.store.set_fault(StoreFault::Reset);
        std::thread::sleep(away);
        let lost = self.site.store.restart_from(copy);
        self.site.store.set_fault(StoreFault::None);
        lost
    }

    /// Writes again what the operator and the targets had written.
    pub(crate) fn write_again(&self, lost: &[LostWrite]) {
        for write in lost {
            let (topic, key) = (&write.topic, &write.key);
            self.site.store.put(topic, key, write.value.as_deref());
            if topic == OPERATORS {
                self.record.acknowledged(self.record.newest());
            }
        }
    }

    /// Turns the VM away from the store, or lets it reach the store again.
    pub(crate) fn turn_away(&self, vm: usize, away: bool) {
        self.record.in_trouble(vm, Instant::now());
        let fault = match away {
            true => ProxyFault::Reset,
            false => ProxyFault::None,
        };
        self.vms[vm].store_path.set_fault(fault);
    }

    /// Returns the VMs of a failure domain without the last one in the order in which they follow each
    /// other.
    pub(crate) fn all_but_last(&self, domain: usize) -> Vec<usize> {
        let per_domain = self.vms.len() / DOMAINS.len();
        let record = |number| VmRecord {
            name: vm_name(domain, number).into(),
            domain: DOMAINS[domain].parse().expect("a domain"),
            feed: ([127, 0, 0, 1], 1).into(),
            link: 0,
            era: None,
        };
        let roster = VmRoster::new((0..per_domain).map(record).collect());
        let order = roster.domains().swap_remove(0);
        let last = order.last().expect("a VM").name.clone();
        let others = (0..per_domain).filter(|number| *vm_name(domain, *number) != *last);
        others.map(|number| domain * per_domain + number).collect()
    }

    /// Returns the target with the id.
    pub(crate) fn target(&self, id: &str) -> &SiteTarget {
        let mut targets = self.targets.iter();
        targets
            .find(|target| target.id() == id)
            .expect("a known target")
    }
}
