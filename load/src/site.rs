//! A small site in one process: the platform's simulators, targets and entry VMs on loopback.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_entry::entry_vm::EntryVm;
use carobshore_entry::flags::Flags;
use carobshore_entry::settings::Settings;
use carobshore_entry::stop_signal::StopHandle;
use carobshore_lib::prelude::Change;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::Slots;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::TargetTime;
use carobshore_standin::LogSettings;
use carobshore_standin::LogStandin;
use carobshore_standin::TargetSettings;
use carobshore_standin::TargetStandin;
use carobshore_standin::VmEntry;
use carobshore_standin::VmListSettings;
use carobshore_standin::VmListStandin;
use carobshore_standin::VmState;
use clap::Parser;
use eyre::WrapErr;
use eyre::ensure;
use ntex::client::Client;
use ntex::client::ClientRequest;
use uuid::Uuid;

/// The measuring budget of each service: five probes of 6 ms a second.
const MEASURING: TargetTime = TargetTime(30_000);

/// The connection budget per target.
const CONNECTIONS: u32 = 220;

/// How long a stopping entry VM still accepts requests. Nobody sends any, so it is short.
const NOTICE: Duration = Duration::from_millis(200);

/// After this time a planned stop is cut short.
const STOP_PATIENCE: Duration = Duration::from_secs(15);

/// So many requests with different keys have to succeed in a row before keys count as accepted.
/// Each key has one owner among the homes, so a single success says little.
const KEYS_IN_A_ROW: usize = 12;

/// Pause between two looks at whether the site is ready.
const POLL: Duration = Duration::from_millis(50);

/// A target of the site.
#[derive(Debug)]
pub struct SiteTarget {
    /// The service that the target serves.
    pub service: ServiceId,
    /// The target's id.
    pub id: TargetId,
    /// The target's failure domain.
    pub domain: DomainId,
    /// The simulator.
    pub standin: TargetStandin,
}

/// One service of a site.
#[derive(Clone, Debug)]
pub struct SiteService {
    /// The service.
    pub id: ServiceId,
    /// The number of its targets, which are spread over the failure domains.
    pub targets: usize,
    /// The settings of each of its targets.
    pub settings: TargetSettings,
}

/// A running site. Its entry VMs are stopped when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// The simulator of the log.
    pub log: LogStandin,
    /// The simulator of the VM list.
    pub vm_list: VmListStandin,
    /// The targets.
    pub targets: Vec<SiteTarget>,
    /// The entry VMs.
    pub vms: Vec<EntryVm>,
}

impl Site {
    /// Starts the simulators, the targets, and an entry VM in each of the failure domains listed.
    pub fn start(services: &[SiteService], vm_domains: &[DomainId]) -> eyre::Result<Self> {
        let mut domains = vm_domains.to_vec();
        domains.dedup();
        let mut targets = Vec::new();
        for service in services {
            for index in 0..service.targets {
                let id: TargetId = format!("{}-{}", service.id, index + 1).parse()?;
                let settings = TargetSettings {
                    id: id.as_str().into(),
                    seed: index as u64 + 1,
                    ..service.settings.clone()
                };
                targets.push(SiteTarget {
                    service: service.id.clone(),
                    id,
                    domain: domains[index % domains.len()].clone(),
                    standin: TargetStandin::start(settings)?,
                });
            }
        }
        let mut site = Self {
            log: LogStandin::start(&LogSettings::default())?,
            vm_list: VmListStandin::start(VmListSettings::default())?,
            targets,
            vms: Vec::new(),
        };
        for (index, domain) in vm_domains.iter().enumerate() {
            site.start_vm(index, domain)?;
        }
        Ok(site)
    }

    fn start_vm(&mut self, index: usize, domain: &DomainId) -> eyre::Result<()> {
        let name = format!("entry-{}", index + 1);
        let flags = [
            "carobshore-entry".to_owned(),
            "--listen=127.0.0.1:0".to_owned(),
            "--forward=127.0.0.1:0".to_owned(),
            "--rpc=127.0.0.1:0".to_owned(),
            "--admin=127.0.0.1:0".to_owned(),
            format!("--vm-name={name}"),
            format!("--domain={domain}"),
            format!("--log={}", self.log.addr()),
            format!("--vm-list={}", self.vm_list.addr()),
            format!("--drain-notice-ms={}", NOTICE.as_millis()),
        ];
        let vm = EntryVm::start(Settings::try_from(Flags::try_parse_from(flags)?)?)
            .wrap_err_with(|| format!("entry VM {name} cannot start"))?;
        self.vm_list.set(VmEntry {
            name: name.into(),
            addr: vm.addresses().rpc,
            domain: domain.as_str().into(),
            state: VmState::Live,
        });
        self.vms.push(vm);
        Ok(())
    }

    /// Returns the changes that put all services and targets into force.
    pub fn changes(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut last = None;
        for target in &self.targets {
            let service = &target.service;
            if last.replace(service) != Some(service) {
                changes.push(Change::AddService {
                    service: service.clone(),
                    measuring: MEASURING,
                    connections: CONNECTIONS,
                });
            }
            let slots = Slots::try_from(target.standin.slots() as u32);
            changes.push(Change::AddTarget {
                service: service.clone(),
                target: target.id.clone(),
                addr: target.standin.addr(),
                domain: target.domain.clone(),
                slots: slots.expect("a simulated target has a valid number of slots"),
            });
        }
        changes
    }

    /// Returns the addresses for callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.addresses().listen).collect()
    }

    /// Returns the addresses of all targets.
    pub fn target_addrs(&self) -> Vec<SocketAddr> {
        self.targets
            .iter()
            .map(|target| target.standin.addr())
            .collect()
    }

    /// Returns the services, without duplicates.
    pub fn services(&self) -> Vec<Box<str>> {
        let mut names: Vec<Box<str>> = self
            .targets
            .iter()
            .map(|target| target.service.as_str().into())
            .collect();
        names.dedup();
        names
    }

    /// Stops the entry VMs as the platform does: requests in flight end first.
    pub fn stop(&mut self) -> eyre::Result<()> {
        let handles: Vec<_> = self.vms.iter().map(EntryVm::stop_handle).collect();
        handles.iter().for_each(StopHandle::request);
        thread::spawn(move || {
            thread::sleep(STOP_PATIENCE);
            handles.iter().for_each(StopHandle::request);
        });
        self.vms.drain(..).try_for_each(EntryVm::wait)
    }
}

impl Drop for Site {
    /// Stops the entry VMs at once.
    fn drop(&mut self) {
        for vm in self.vms.drain(..) {
            let handle = vm.stop_handle();
            handle.request();
            handle.request();
            let _ = vm.wait();
        }
    }
}

/// Waits until every entry VM serves every service; returns how long it took.
pub async fn wait_ready(
    entries: &[SocketAddr],
    services: &[Box<str>],
    patience: Duration,
) -> eyre::Result<Duration> {
    let start = Instant::now();
    let client = Client::new().await;
    for entry in entries {
        for service in services {
            while !is_served(&client, *entry, service).await {
                ensure!(
                    start.elapsed() < patience,
                    "{entry} does not serve {service} in time"
                );
                tokio::time::sleep(POLL).await;
            }
        }
    }
    Ok(start.elapsed())
}

/// Waits until every entry VM gets requests with keys answered for every service.
pub async fn wait_keys(
    entries: &[SocketAddr],
    services: &[Box<str>],
    patience: Duration,
) -> eyre::Result<Duration> {
    let start = Instant::now();
    let client = Client::new().await;
    for entry in entries {
        for service in services {
            let mut row = 0;
            while row < KEYS_IN_A_ROW {
                ensure!(
                    start.elapsed() < patience,
                    "{entry} refuses keys of {service}"
                );
                let key = Uuid::now_v7().to_string();
                let request = client.post(format!("http://{entry}/ready"));
                let request = request.header("idempotency-key", key);
                if is_whole(request, service).await {
                    row += 1;
                } else {
                    row = 0;
                    tokio::time::sleep(POLL).await;
                }
            }
        }
    }
    Ok(start.elapsed())
}

async fn is_served(client: &Client, entry: SocketAddr, service: &str) -> bool {
    is_whole(client.get(format!("http://{entry}/ready")), service).await
}

async fn is_whole(request: ClientRequest, service: &str) -> bool {
    let response = request.header("carobshore-service", service).send().await;
    response.is_ok_and(|response| {
        let outcome = response.headers().get("carobshore-outcome");
        outcome.is_some_and(|value| value.as_bytes() == b"whole")
    })
}
