//! A randomized soak test: three gateway processes, a store and targets behind proxies, callers
//! that keep connections open, and overlapping faults. It checks what callers and targets observe.
//!
//! `CAROBSHORE_SOAK_SEEDS=1..50 cargo test -p carobshore-gateway --test test_soak` runs other
//! seeds.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use carobshore_standin::fault_proxy::FaultProxy;
use carobshore_standin::fault_proxy::ProxyFault;
use carobshore_standin::odd_entry;
use carobshore_standin::site_store::OPERATORS;
use carobshore_standin::site_store::StoreCopy;
use carobshore_standin::site_store::StoreFault;
use carobshore_standin::site_store::TARGETS;
use carobshore_standin::site_target::Behaviour;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::connect;
use crate::common::read_response;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::wait;

/// Seeds that always run. Each seed that ever failed stays here with its cause.
const SEEDS: [u64; 2] = [1, 2];
/// Number of faults in one run.
const FAULTS: usize = 24;
/// Number of concurrent callers.
const CALLERS: usize = 6;
/// Statuses that promise that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What a caller observed of a request. Status 0 means that there was no response.
struct Observed {
    id: String,
    kind: &'static str,
    status: u16,
}

struct Soak {
    site: Site,
    target_proxies: Vec<FaultProxy>,
    store_proxy: FaultProxy,
    gateways: Vec<Gateway>,
    rng: StdRng,
    version: u64,
    /// A copy of the store from which it may come back.
    copy: Option<StoreCopy>,
}

#[test]
fn promises_hold_while_faults_overlap() {
    for seed in common::seeds("CAROBSHORE_SOAK_SEEDS", &SEEDS) {
        println!("seed {seed}");
        Soak::start(seed).run(seed);
    }
}

impl Soak {
    fn start(seed: u64) -> Self {
        let mut site = site(&format!("soak-{seed}"), 4);
        let store_proxy = FaultProxy::start(site.store.addr()).expect("a proxy");
        site.store_addr = store_proxy.addr();
        let target_proxies: Vec<_> = site
            .targets
            .iter()
            .map(|target| FaultProxy::start(target.addr()).expect("a proxy"))
            .collect();
        for (target, proxy) in site.targets.iter().zip(&target_proxies) {
            target.set_work(Duration::from_millis(20));
            target.announce_at(&site.store, "ready", proxy.addr());
        }
        let gateways = (0..3)
            .map(|index| site.gateway(&format!("edge-{index}")))
            .collect();
        Self {
            site,
            target_proxies,
            store_proxy,
            gateways,
            rng: StdRng::seed_from_u64(seed),
            version: 1,
            copy: None,
        }
    }

    fn run(mut self, seed: u64) {
        let observed: Arc<Mutex<Vec<Observed>>> = Arc::default();
        let ended = Arc::new(AtomicBool::new(false));
        let addrs: Vec<_> = self
            .gateways
            .iter()
            .map(|gateway| gateway.callers)
            .collect();
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (addrs, observed, ended) =
                    (addrs.clone(), Arc::clone(&observed), Arc::clone(&ended));
                let rng = StdRng::seed_from_u64(seed * 1_000 + caller as u64);
                thread::spawn(move || send_requests(caller, &addrs, &observed, &ended, rng))
            })
            .collect();
        for _ in 0..FAULTS {
            self.inject();
            let pause = self.rng.random_range(20..350);
            thread::sleep(Duration::from_millis(pause));
        }
        self.heal();
        ended.store(true, Ordering::SeqCst);
        callers
            .into_iter()
            .for_each(|caller| caller.join().expect("a caller"));
        self.check_recovered();
        let observed = observed.lock().unwrap_or_else(PoisonError::into_inner);
        self.check_runs(&observed, seed);
    }

    /// Injects a fault, or clears those of connections, the store and targets.
    fn inject(&mut self) {
        let at = self.rng.random_range(0..4);
        let vm = self.rng.random_range(0..3);
        let millis = self.rng.random_range(10..200);
        match self.rng.random_range(0..24) {
            0 => {
                self.target_proxies[at].set_fault(ProxyFault::Delay(Duration::from_millis(millis)));
            }
            1 => self.target_proxies[at].set_fault(ProxyFault::OneWay),
            2 => self.target_proxies[at].set_fault(ProxyFault::Silence),
            3 => self.target_proxies[at].set_fault(ProxyFault::Reset),
            4 => self.store_proxy.set_fault(ProxyFault::Silence),
            5 => self.store_proxy.set_fault(ProxyFault::Reset),
            6 => self.site.store.set_fault(StoreFault::Status(503)),
            7 => self.site.targets[at].set(Behaviour::Refuse),
            8 => self.site.targets[at].set(Behaviour::Truncate),
            9 => self.site.targets[at].set(Behaviour::Lose),
            10 => self.site.targets[at].set(Behaviour::AnswerTwice),
            11 => self.site.targets[at].set(Behaviour::Hang),
            12 => self.gateways[vm].restart(),
            13 => self.stop_and_start(vm),
            14 => self.freeze(vm, millis),
            15 => self.change(),
            16 => self
                .site
                .store
                .drop_history(if at < 2 { OPERATORS } else { TARGETS }),
            17 => self.site.targets[at].set(Behaviour::PartOfRefusal(millis as usize / 3)),
            18 => {
                self.site.targets[at].set_keep_alive("timeout=18446744073709551615");
                self.site.targets[at].set_load("4294967295,4294967295,0,4294967295");
            }
            19 => self.write_over(at, millis),
            20 => self.add_odd_entries(at, millis as usize),
            21 | 22 => self.restart_store(millis),
            _ => self.clear_faults(),
        }
    }

    /// Lets the store come back from an earlier copy, if there is one, or takes one. What the operator and
    /// the targets have written since is written again a little later.
    fn restart_store(&mut self, millis: u64) {
        let Some(copy) = self.copy.take() else {
            self.copy = Some(self.site.store.copy());
            return;
        };
        let lost = self.site.store.restart_from(&copy);
        thread::sleep(Duration::from_millis(millis));
        for write in lost {
            let value = write.value.as_deref();
            self.site.store.put(&write.topic, &write.key, value);
        }
    }

    /// Writes a well-formed entry with large numbers under the key of a target, as another writer.
    fn write_over(&self, at: usize, number: u64) {
        let target = &self.site.targets[at];
        let numbers = (u64::MAX >> (number % 30), number);
        let entry =
            odd_entry::numbered(target, self.target_proxies[at].addr(), numbers.0, numbers.1);
        self.site.store.put(TARGETS, target.id(), Some(&entry));
    }

    /// Writes a malformed entry under the key of a target and under one of its own.
    fn add_odd_entries(&self, at: usize, number: usize) {
        let target = &self.site.targets[at];
        let entries = odd_entry::malformed(target);
        let (key, entry) = &entries[number % entries.len()];
        for key in [*key, target.id()] {
            self.site.store.put(TARGETS, key, Some(entry));
        }
    }

    fn stop_and_start(&mut self, vm: usize) {
        self.gateways[vm].signal("-TERM");
        let gateway = &mut self.gateways[vm];
        wait("the gateway ends within its grace time", || {
            gateway.has_exited()
        });
        gateway.start_again();
    }

    fn freeze(&mut self, vm: usize, millis: u64) {
        self.gateways[vm].signal("-STOP");
        thread::sleep(Duration::from_millis(millis * 4));
        self.gateways[vm].signal("-CONT");
    }

    fn change(&mut self) {
        self.version += 1;
        self.site.configure(self.version, &routes(1_500, "status"));
    }

    /// Clears the faults of connections, the store and targets.
    fn clear_faults(&self) {
        self.target_proxies
            .iter()
            .for_each(|proxy| proxy.set_fault(ProxyFault::None));
        self.store_proxy.set_fault(ProxyFault::None);
        self.site.store.set_fault(StoreFault::None);
        for (target, proxy) in self.site.targets.iter().zip(&self.target_proxies) {
            target.set(Behaviour::Serve);
            target.announce_at(&self.site.store, "ready", proxy.addr());
        }
    }

    fn heal(&mut self) {
        self.clear_faults();
        self.change();
    }

    /// Checks that all VMs serve requests again, with the last configuration, and that none has ended by
    /// itself.
    fn check_recovered(&mut self) {
        let version = format!("\"version\":{},", self.version);
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            assert!(!gateway.has_exited(), "edge-{index} has ended by itself");
            wait("the last configuration is in force", || {
                gateway.dump().contains(&version)
            });
            let mut number = 0;
            wait("requests are served again", || {
                number += 1;
                let id = format!("after-{index}-{number}");
                gateway
                    .try_call("unsafe", &id)
                    .is_some_and(|response| response.head.status == 200)
            });
        }
    }

    fn check_runs(&self, observed: &[Observed], seed: u64) {
        let answered = observed
            .iter()
            .filter(|observed| observed.status == 200)
            .count();
        println!(
            "seed {seed}: {} requests, {answered} answered",
            observed.len()
        );
        assert!(answered > 0, "seed {seed}");
        for Observed { id, kind, status } in observed {
            let runs = self.site.runs_of(id);
            if NOT_RUN_STATUSES.contains(status) {
                assert_eq!(
                    runs, 0,
                    "seed {seed}: {id} was answered {status} and has run"
                );
            }
            if *kind != "safe" {
                assert!(runs <= 1, "seed {seed}: {id} has run {runs} times");
            }
        }
    }
}

/// Sends requests on persistent and new connections until the run ends, and checks each response.
fn send_requests(
    caller: usize,
    addrs: &[std::net::SocketAddr],
    observed: &Mutex<Vec<Observed>>,
    ended: &AtomicBool,
    mut rng: StdRng,
) {
    let mut persistent: Option<(TcpStream, BytesMut)> = None;
    let mut number = 0;
    while !ended.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{caller}-{number}");
        let kind = ["safe", "unsafe", "upload"][rng.random_range(0..3)];
        let body = "x".repeat(if kind == "upload" {
            rng.random_range(1..50_000)
        } else {
            0
        });
        if rng.random_bool(0.2) {
            persistent = None;
        }
        let addr = addrs[rng.random_range(0..addrs.len())];
        let open = || Some((connect(addr)?, BytesMut::new()));
        let Some((mut stream, mut buffer)) = persistent.take().or_else(open) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let text = request(kind, &id, 1_500, &body);
        let answer = match stream.write_all(text.as_bytes()) {
            Ok(()) => read_response(&mut stream, &mut buffer),
            Err(_) => None,
        };
        let status = answer.as_ref().map_or(0, |answer| answer.head.status);
        if let Some(answer) = answer {
            if status == 200 {
                assert_eq!(answer.body, format!("body of {id}"));
            }
            if answer.head.keep_alive {
                persistent = Some((stream, buffer));
            }
        }
        observed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Observed { id, kind, status });
        thread::sleep(Duration::from_millis(rng.random_range(0..10)));
    }
}
