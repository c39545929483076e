//! A simulator of the platform's VM list.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use ntex::web;
use ntex::web::App;
use ntex::web::HttpResponse;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

use crate::server::ANY_PORT;
use crate::server::Server;
use crate::trigger::Trigger;
use crate::vm_entry::VmEntry;
use crate::vm_history::VmHistory;

/// Settings of the simulated VM list.
#[derive(Clone, Debug)]
pub struct VmListSettings {
    /// The address to listen on.
    pub addr: SocketAddr,
    /// The initial entries.
    pub vms: Vec<VmEntry>,
    /// Random seed for faults that hit a share of the requests.
    pub seed: u64,
}

impl Default for VmListSettings {
    fn default() -> Self {
        Self {
            addr: ANY_PORT,
            vms: Vec::new(),
            seed: 1,
        }
    }
}

/// Faults of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// The list is served as it was this many milliseconds ago.
    pub lag_ms: u64,
    /// Entries served instead of the true entries of the same name.
    pub wrong: Vec<VmEntry>,
    /// Names of running VMs that are left out of the list.
    pub missing: Vec<Box<str>>,
    /// The request is answered 503.
    pub refuse: Trigger,
    /// The request is never answered.
    pub hang: Trigger,
}

/// A running simulator of the VM list. Dropping it stops it.
#[derive(Debug)]
pub struct VmListStandin {
    server: Server,
    state: Arc<Mutex<ListState>>,
}

#[derive(Debug)]
struct ListState {
    history: VmHistory,
    faults: VmListFaults,
    random: StdRng,
}

type Shared = web::types::State<Arc<Mutex<ListState>>>;

impl VmListStandin {
    /// Starts a list with the given entries.
    pub fn start(settings: VmListSettings) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ListState {
            history: VmHistory::new(Instant::now(), settings.vms),
            faults: VmListFaults::default(),
            random: StdRng::seed_from_u64(settings.seed),
        }));
        let shared = Arc::clone(&state);
        let factory = async move || {
            App::new()
                .state(Arc::clone(&shared))
                .service(web::resource("/v1/vms").route(web::get().to(list)))
                .service(
                    web::resource("/v1/vms/{name}")
                        .route(web::put().to(set))
                        .route(web::delete().to(remove)),
                )
                .service(
                    web::resource("/faults")
                        .route(web::put().to(put_faults))
                        .route(web::get().to(get_faults)),
                )
        };
        let server = Server::start(settings.addr, factory, |_| {})?;
        Ok(Self { server, state })
    }

    /// Returns the address on which the list is served.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds or replaces an entry.
    pub fn set(&self, entry: VmEntry) {
        lock(&self.state).history.set(Instant::now(), entry);
    }

    /// Removes an entry.
    pub fn remove(&self, name: &str) {
        lock(&self.state).history.remove(Instant::now(), name);
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: VmListFaults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the faults.
    pub fn faults(&self) -> VmListFaults {
        lock(&self.state).faults.clone()
    }

    /// Stops the list.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

fn lock(state: &Mutex<ListState>) -> MutexGuard<'_, ListState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the list with the faults applied.
fn visible(state: &ListState, now: Instant) -> Vec<VmEntry> {
    let faults = &state.faults;
    let mut vms = state
        .history
        .list(now, Duration::from_millis(faults.lag_ms));
    vms.retain(|vm| !faults.missing.contains(&vm.name));
    vms.retain(|vm| faults.wrong.iter().all(|wrong| wrong.name != vm.name));
    vms.extend(faults.wrong.iter().cloned());
    vms
}

async fn list(state: Shared) -> HttpResponse {
    let (hang, refuse) = {
        let mut state = lock(&state);
        let state = &mut *state;
        let hang = state.faults.hang.fires(&mut state.random);
        (hang, state.faults.refuse.fires(&mut state.random))
    };
    if hang {
        future::pending::<()>().await;
    }
    if refuse {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let vms = visible(&lock(&state), Instant::now());
    HttpResponse::Ok().json(&vms)
}

async fn set(
    state: Shared,
    name: web::types::Path<String>,
    entry: web::types::Json<VmEntry>,
) -> HttpResponse {
    let entry = entry.into_inner();
    if *entry.name != **name {
        return HttpResponse::BadRequest().body("the name in the entry differs from the path");
    }
    lock(&state).history.set(Instant::now(), entry);
    HttpResponse::NoContent().finish()
}

async fn remove(state: Shared, name: web::types::Path<String>) -> HttpResponse {
    lock(&state).history.remove(Instant::now(), &name);
    HttpResponse::NoContent().finish()
}

async fn put_faults(state: Shared, faults: web::types::Json<VmListFaults>) -> HttpResponse {
    lock(&state).faults = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn get_faults(state: Shared) -> HttpResponse {
    let faults = lock(&state).faults.clone();
    HttpResponse::Ok().json(&faults)
}
