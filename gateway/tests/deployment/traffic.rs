//! Callers of a deployment: clients that keep connections open, and probers of the newest routes on each VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use carobshore_standin::raw_server::lock;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;

use super::CONFIG_APPLY;
use super::Deployment;
use super::Record;
use crate::common::connect;
use crate::common::read_response;
use crate::common::request;
use crate::common::try_call;

/// Threads that ask each VM on the newest routes.
const PROBERS: usize = 5;
/// Pause between two requests of a prober.
const PROBE_PAUSE: Duration = Duration::from_millis(20);
/// Clients that keep connections open.
const CLIENTS: usize = 4;

/// Clients and probers of a run, with what they have found.
pub(crate) struct Traffic {
    ended: Arc<AtomicBool>,
    pub(crate) violations: Arc<Mutex<Vec<String>>>,
    /// Ids of requests to the moved route of VMs in touch, with the versions that allow the service.
    pub(crate) moved: Arc<Mutex<Vec<Moved>>>,
    threads: Vec<JoinHandle<()>>,
}

/// A request to the route that moves.
pub(crate) struct Moved {
    pub(crate) id: String,
    /// The version that was acknowledged long enough before, and the newest one at the answer.
    pub(crate) versions: (u64, u64),
}

impl Traffic {
    pub(crate) fn start(seed: u64, deployment: &Deployment) -> Self {
        let gateways = deployment.vms.iter().map(|vm| &vm.gateway);
        let vms = gateways.map(|gateway| (gateway.callers, gateway.admin));
        let vms: Vec<_> = vms
            .enumerate()
            .map(|(vm, (callers, admin))| (vm, callers, admin))
            .collect();
        let addrs: Vec<SocketAddr> = vms.iter().map(|(_, callers, _)| *callers).collect();
        let mut traffic = Self {
            ended: Arc::default(),
            violations: Arc::default(),
            moved: Arc::default(),
            threads: Vec::new(),
        };
        for client in 0..CLIENTS as u64 {
            let rng = StdRng::seed_from_u64(seed * 1_000 + client);
            let (addrs, ended) = (addrs.clone(), Arc::clone(&traffic.ended));
            let thread = thread::spawn(move || send_requests(client, &addrs, &ended, rng));
            traffic.threads.push(thread);
        }
        for prober in 0..PROBERS {
            let asked = vms.iter().copied().skip(prober).step_by(PROBERS);
            let prober = Prober {
                vms: asked.collect(),
                record: Arc::clone(&deployment.record),
                violations: Arc::clone(&traffic.violations),
                moved: Arc::clone(&traffic.moved),
            };
            let ended = Arc::clone(&traffic.ended);
            traffic
                .threads
                .push(thread::spawn(move || prober.run(&ended)));
        }
        traffic
    }

    pub(crate) fn stop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().expect("a client");
        }
    }
}

/// Asks VMs on the routes that were added or moved last.
struct Prober {
    /// Each with its number, its address for callers and the one for its state.
    vms: Vec<(usize, SocketAddr, SocketAddr)>,
    record: Arc<Record>,
    violations: Arc<Mutex<Vec<String>>>,
    moved: Arc<Mutex<Vec<Moved>>>,
}

impl Prober {
    fn run(&self, ended: &AtomicBool) {
        let mut number = 0;
        let mut versions = vec![0; self.vms.len()];
        while !ended.load(Ordering::SeqCst) {
            for ((vm, addr, admin), version) in self.vms.iter().zip(&mut versions) {
                number += 1;
                self.check_kept(*vm, *admin, version);
                self.ask_added(*vm, *addr, number);
                self.ask_moved(*vm, *addr, number);
                thread::sleep(PROBE_PAUSE);
            }
        }
    }

    /// Returns the newest version that must be in force on all VMs in touch.
    fn in_force(&self) -> u64 {
        let now = Instant::now();
        self.record
            .acknowledged_before(now.checked_sub(CONFIG_APPLY).unwrap_or(now))
    }

    /// Checks that the VM neither goes back to an earlier version nor forgets all targets. `version` is the
    /// newest one that it has had.
    fn check_kept(&self, vm: usize, admin: SocketAddr, version: &mut u64) {
        let answer = try_call(admin, "GET /dump HTTP/1.1\r\nHost: x\r\n\r\n");
        let dump = answer.and_then(|answer| serde_json::from_str::<Value>(&answer.body).ok());
        // A process that starts again may know an earlier version, and no targets at first.
        let Some(dump) = dump.filter(|_| self.record.is_same_process(vm)) else {
            return;
        };
        let (known, targets) = (dump["version"].as_u64(), dump["targets"].as_array());
        if known < Some(*version) || targets.is_none_or(Vec::is_empty) {
            lock(&self.violations).push(format!(
                "VM {vm} has version {known:?} after {version}, and targets {targets:?}"
            ));
        }
        *version = known.unwrap_or_default().max(*version);
    }

    fn ask_added(&self, vm: usize, addr: SocketAddr, number: usize) {
        let (version, in_touch) = (self.in_force(), self.record.is_in_touch(vm));
        let id = format!("added-{vm}-{number}");
        let path = request("safe", &id, 1_500, "").replace("/safe/", &format!("/added-{version}/"));
        let status = try_call(addr, &path).map(|answer| answer.head.status);
        // A later version may have removed the route by now.
        let is_kept = self.record.newest() < version + 2;
        if in_touch && is_kept && version > 0 && status == Some(404) {
            lock(&self.violations).push(format!(
                "{id}: VM {vm} refuses the route of version {version}, {CONFIG_APPLY:?} after its ack"
            ));
        }
    }

    fn ask_moved(&self, vm: usize, addr: SocketAddr, number: usize) {
        let (oldest, in_touch) = (self.in_force(), self.record.is_in_touch(vm));
        let id = format!("moved-{vm}-{number}");
        let path = request("safe", &id, 1_500, "").replace("/safe/", "/moved/");
        let answer = try_call(addr, &path);
        let newest = self.record.newest();
        if in_touch && oldest > 0 && answer.is_some() {
            let versions = (oldest, newest);
            lock(&self.moved).push(Moved { id, versions });
        }
    }
}

/// Sends requests on persistent connections until their process is gone or the run ends.
fn send_requests(client: u64, addrs: &[SocketAddr], ended: &AtomicBool, mut rng: StdRng) {
    use std::io::Write;
    let mut number = 0;
    while !ended.load(Ordering::SeqCst) {
        let vm = rng.random_range(0..addrs.len());
        let addr = addrs[vm];
        let Some(mut stream) = connect(addr) else {
            thread::sleep(PROBE_PAUSE);
            continue;
        };
        let mut buffer = BytesMut::new();
        for _ in 0..rng.random_range(1..60) {
            number += 1;
            let kind = ["safe", "unsafe"][rng.random_range(0..2)];
            let text = request(kind, &format!("c{client}-{vm}-{number}"), 1_500, "");
            let answer = match stream.write_all(text.as_bytes()) {
                Ok(()) => read_response(&mut stream, &mut buffer),
                Err(_) => None,
            };
            if answer.is_none_or(|answer| !answer.head.keep_alive) {
                break;
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..30)));
        }
    }
}
