//! A simulator of the platform's log service.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use ntex::http::StatusCode;
use ntex::util::BytesMut;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

use crate::log_faults::LogFaults;
use crate::log_settings::LogSettings;
use crate::log_store::LogStore;
use crate::log_store::ReadRecord;
use crate::server::Server;
use crate::trigger::Trigger;

/// Maximum size of a record, in bytes.
const MAX_RECORD: usize = 1024 * 1024;

/// Maximum number of records in one response.
const MAX_PAGE: usize = 10_000;

/// A running simulator of the log. Dropping it stops it.
#[derive(Debug)]
pub struct LogStandin {
    server: Server,
    state: Arc<Mutex<LogState>>,
}

#[derive(Debug)]
struct LogState {
    store: LogStore,
    faults: LogFaults,
    random: StdRng,
}

type Shared = web::types::State<Arc<Mutex<LogState>>>;

impl LogStandin {
    /// Starts an empty log.
    pub fn start(settings: &LogSettings) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(LogState {
            store: LogStore::new(settings, Instant::now()),
            faults: LogFaults::default(),
            random: StdRng::seed_from_u64(settings.seed),
        }));
        let shared = Arc::clone(&state);
        let factory = async move || {
            App::new()
                .state(Arc::clone(&shared))
                .service(
                    web::resource("/v1/records")
                        .route(web::post().to(append))
                        .route(web::get().to(read)),
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

    /// Returns the address on which the log listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the faults, with the remaining counts of their triggers.
    pub fn faults(&self) -> LogFaults {
        lock(&self.state).faults
    }

    /// Returns all retained records, regardless of faults.
    pub fn records(&self) -> Vec<ReadRecord> {
        let mut state = lock(&self.state);
        let first = state
            .store
            .read(Instant::now(), u64::MAX, 0)
            .map_or(0, |page| page.first);
        let page = state.store.read(Instant::now(), first, usize::MAX);
        page.map(|page| page.records).unwrap_or_default()
    }

    /// Removes all records before `offset`.
    pub fn expire_before(&self, offset: u64) {
        lock(&self.state).store.expire_before(offset);
    }

    /// Stops the log; its records are lost.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    max: Option<usize>,
}

#[derive(Debug, Serialize)]
struct Appended {
    offset: u64,
}

fn lock(state: &Mutex<LogState>) -> MutexGuard<'_, LogState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Decides whether the picked trigger hits this request.
fn fires(state: &Mutex<LogState>, pick: impl Fn(&mut LogFaults) -> &mut Trigger) -> bool {
    let mut state = lock(state);
    let state = &mut *state;
    pick(&mut state.faults).fires(&mut state.random)
}

/// Applies the faults that prevent a request from taking effect.
async fn inject_early_fault(state: &Mutex<LogState>) -> Option<HttpResponse> {
    if fires(state, |faults| &mut faults.hang) {
        future::pending::<()>().await;
    }
    if fires(state, |faults| &mut faults.refuse) {
        return Some(HttpResponse::ServiceUnavailable().finish());
    }
    None
}

/// Delays the response to a request that has taken effect.
async fn delay(state: &Mutex<LogState>) {
    if fires(state, |faults| &mut faults.slow) {
        let millis = lock(state).faults.delay_ms;
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

async fn append(
    state: Shared,
    request: HttpRequest,
    mut payload: web::types::Payload,
) -> HttpResponse {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let Ok(chunk) = chunk else {
            return HttpResponse::BadRequest().finish();
        };
        body.extend_from_slice(&chunk);
        if body.len() > MAX_RECORD {
            return HttpResponse::PayloadTooLarge().finish();
        }
    }
    let Ok(data) = std::str::from_utf8(&body) else {
        return HttpResponse::BadRequest().body("a record has to be UTF-8 text");
    };
    if let Some(response) = inject_early_fault(&state).await {
        return response;
    }
    let appended = lock(&state).store.append(Instant::now(), data.into());
    let Ok(offset) = appended else {
        return HttpResponse::TooManyRequests().finish();
    };
    if fires(&state, |faults| &mut faults.lose) {
        if let Some(io) = request.io() {
            io.terminate();
        }
        future::pending::<()>().await;
    }
    delay(&state).await;
    HttpResponse::Ok().json(&Appended { offset })
}

async fn read(state: Shared, query: web::types::Query<ReadQuery>) -> HttpResponse {
    if let Some(response) = inject_early_fault(&state).await {
        return response;
    }
    let max = query.max.unwrap_or(MAX_PAGE).min(MAX_PAGE);
    let page = lock(&state).store.read(Instant::now(), query.from, max);
    delay(&state).await;
    match page {
        Ok(page) => HttpResponse::Ok().json(&page),
        Err(expired) => HttpResponse::build(StatusCode::GONE).json(&expired),
    }
}

async fn put_faults(state: Shared, faults: web::types::Json<LogFaults>) -> HttpResponse {
    lock(&state).faults = *faults;
    HttpResponse::NoContent().finish()
}

async fn get_faults(state: Shared) -> HttpResponse {
    let faults = lock(&state).faults;
    HttpResponse::Ok().json(&faults)
}
