//! A small site in one process: stand-ins of the platform, targets and entry VMs.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_entry::entry_vm::EntryVm;
use carobshore_entry::rpc::VmRpcClient;
use carobshore_lib::prelude::*;
use carobshore_lib::record::Confirm;
use carobshore_standin::LogSettings;
use carobshore_standin::LogStandin;
use carobshore_standin::TargetSettings;
use carobshore_standin::TargetStandin;
use carobshore_standin::VmListSettings;
use carobshore_standin::VmListStandin;
use jsonrpsee::http_client::HttpClientBuilder;
use serde_json::Value;
use uuid::Uuid;

use super::MAX_WAIT;
use super::raw_exchange;
use super::vm::settings_of;

/// The stand-ins and the entry VMs of a test.
pub struct Site {
    pub log: LogStandin,
    pub vm_list: VmListStandin,
    pub targets: Vec<TargetStandin>,
    pub vms: Vec<EntryVm>,
}

impl Site {
    /// Starts the stand-ins, `targets` targets of the service `booking` and no entry VM.
    pub fn new(targets: u16) -> Self {
        let target = |at: u16| {
            let settings = TargetSettings {
                id: format!("t{at}").into(),
                mean: Duration::from_millis(2),
                ..TargetSettings::default()
            };
            TargetStandin::start(settings).unwrap()
        };
        let site = Self {
            log: LogStandin::start(&LogSettings::default()).unwrap(),
            vm_list: VmListStandin::start(VmListSettings::default()).unwrap(),
            targets: (0..targets).map(target).collect(),
            vms: Vec::new(),
        };
        site.configure();
        site
    }

    /// Starts an entry VM with the name `entry-<at>`, in one of three failure domains. Returns its
    /// index.
    pub fn start_vm(&mut self, at: usize, extra: &[&str]) -> usize {
        let flags = [
            format!("--vm-name=entry-{at}"),
            format!("--domain=d{}", at % 3),
            format!("--log={}", self.log.addr()),
            format!("--vm-list={}", self.vm_list.addr()),
            "--drain-notice-ms=300".to_owned(),
        ];
        let flags: Vec<_> = flags
            .iter()
            .map(String::as_str)
            .chain(extra.iter().copied())
            .collect();
        self.vms.push(EntryVm::start(settings_of(&flags)).unwrap());
        self.vms.len() - 1
    }

    /// Confirms a configuration with the targets.
    fn configure(&self) {
        let service: ServiceId = "booking".parse().unwrap();
        let add = |at: usize, target: &TargetStandin| Change::AddTarget {
            service: service.clone(),
            target: format!("t{at}").parse().unwrap(),
            addr: target.addr(),
            domain: format!("d{}", at % 3).parse().unwrap(),
            slots: 2.try_into().unwrap(),
        };
        let mut changes = vec![Change::AddService {
            service: service.clone(),
            measuring: TargetTime(30_000),
            connections: 220,
        }];
        changes.extend(
            self.targets
                .iter()
                .enumerate()
                .map(|(at, target)| add(at, target)),
        );
        self.confirm(changes);
    }

    /// Appends an intent and confirms its plan.
    pub fn confirm(&self, changes: Vec<Change>) {
        let mut fold = ReplicatedState::default();
        for record in self.log.records() {
            fold.apply_text(Offset(record.offset), &record.data);
        }
        let operator: OperatorId = "carys".parse().unwrap();
        let intent = Intent {
            operator: operator.clone(),
            note: "".into(),
            changes,
        };
        let plan = Plan::new(fold.config(), &intent).unwrap();
        let id = RecordId(Uuid::now_v7());
        let confirm = Confirm {
            operator,
            intent: id,
            digest: plan.digest(),
            bases: plan.bases().clone(),
        };
        self.append(id, Body::Intent(intent));
        self.append(RecordId(Uuid::now_v7()), Body::Confirm(confirm));
    }

    /// Appends a record to the log.
    pub fn append(&self, id: RecordId, body: Body) {
        let text = Record { id, body }.to_json();
        let head = format!(
            "POST /v1/records HTTP/1.1\r\nhost: log\r\ncontent-length: {}\r\n\r\n",
            text.len()
        );
        let request = [head.as_bytes(), text.as_bytes()].concat();
        let response = raw_exchange(self.log.addr(), &request, Duration::from_millis(200));
        assert!(
            response.text.starts_with("HTTP/1.1 200"),
            "{}",
            response.text
        );
    }

    /// Returns the dump of an entry VM.
    pub fn dump(&self, vm: usize) -> Value {
        dump(self.vms[vm].addresses().rpc)
    }

    /// Waits until the dump of an entry VM satisfies `condition`.
    pub fn wait_for(&self, vm: usize, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let end = Instant::now() + MAX_WAIT;
        loop {
            let dump = self.dump(vm);
            if condition(&dump) {
                return dump;
            }
            assert!(Instant::now() < end, "{what} did not happen: {dump:#}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for vm in self.vms.drain(..) {
            let stop = vm.stop_handle();
            stop.request();
            stop.request();
            let _ = vm.wait();
        }
    }
}

fn dump(rpc: SocketAddr) -> Value {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    runtime.block_on(async {
        let client = HttpClientBuilder::default()
            .build(format!("http://{rpc}"))
            .unwrap();
        client.dump().await.unwrap_or_default()
    })
}
