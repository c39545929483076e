//! A simulator of a target.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3;

use crate::executions::Executions;
use crate::server::Server;
use crate::slot_queue::SlotGuard;
use crate::slot_queue::SlotRefusal;
use crate::target_body::BodySource;
use crate::target_body::Echo;
use crate::target_body::TargetBody;
use crate::target_faults::TargetFaults;
use crate::target_settings::TargetSettings;
use crate::target_state::TargetState;

/// Maximum size of a blob, in bytes.
const MAX_BLOB: u64 = 1 << 30;

/// A running simulator of a target. Dropping it stops it.
#[derive(Debug)]
pub struct TargetStandin {
    server: Server,
    state: Arc<TargetState>,
}

type Shared = web::types::State<Arc<TargetState>>;

#[derive(Debug, Deserialize)]
struct BlobQuery {
    size: u64,
}

/// The request's body could not be read completely.
struct IncompleteUpload;

impl TargetStandin {
    /// Starts a target.
    pub fn start(settings: TargetSettings) -> io::Result<Self> {
        let addr = settings.addr;
        let state = Arc::new(TargetState::new(settings));
        let shared = Arc::clone(&state);
        let factory = async move || {
            App::new()
                .state(Arc::clone(&shared))
                .service(
                    web::resource("/faults")
                        .route(web::put().to(put_faults))
                        .route(web::get().to(get_faults)),
                )
                .service(web::resource("/executions").route(web::get().to(executions)))
                .service(web::resource("/probe").route(web::get().to(probe)))
                .default_service(web::to(serve))
        };
        let conns = Arc::clone(&state);
        let server = Server::start(addr, factory, move |peer| conns.accept(peer))?;
        Ok(Self { server, state })
    }

    /// Returns the address on which the target listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> usize {
        self.state.settings.slots
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the faults, with the remaining counts of their triggers.
    pub fn faults(&self) -> TargetFaults {
        self.state.faults()
    }

    /// Returns the execution counts.
    pub fn executions(&self) -> Executions {
        self.state.executions()
    }

    /// Returns how many requests hold a slot.
    pub fn in_flight(&self) -> usize {
        self.state.slots.in_flight()
    }

    /// Returns the total number of accepted connections.
    pub fn connections(&self) -> u64 {
        self.state.connections()
    }

    /// Stops the target immediately, as a crash does. Its counts remain readable.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

/// Returns a request header as text.
fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns the ids under which executions of the request are counted.
fn execution_ids(request: &HttpRequest) -> impl Iterator<Item = &str> + Clone {
    let key = header(request, "idempotency-key").map(|key| key.trim_matches('"'));
    let id = header(request, "x-request-id").filter(|id| Some(*id) != key);
    key.into_iter().chain(id)
}

/// Waits until the peer closes the connection.
async fn disconnected(request: &HttpRequest) {
    match request.io() {
        Some(io) => io.on_disconnect().await,
        None => future::pending().await,
    }
}

async fn serve(state: Shared, request: HttpRequest, payload: web::types::Payload) -> HttpResponse {
    if state.is_silent(request.peer_addr()) {
        disconnected(&request).await;
    }
    tokio::select! {
        response = respond(&state, &request, payload) => {
            if state.is_silent(request.peer_addr()) {
                disconnected(&request).await;
            }
            response
        }
        () = disconnected(&request) => {
            state.update_counts(|executions| executions.cancelled += 1);
            HttpResponse::ServiceUnavailable().finish()
        }
    }
}

async fn respond(
    state: &Arc<TargetState>,
    request: &HttpRequest,
    payload: web::types::Payload,
) -> HttpResponse {
    let ids = execution_ids(request);
    if state.fires(|faults| &mut faults.fail) {
        state.update_counts(|executions| executions.record_start(ids.clone()));
        state.update_counts(|executions| executions.record_run(ids.clone()));
        return HttpResponse::InternalServerError().finish();
    }
    let slot = match admit(state, request).await {
        Ok(slot) => slot,
        Err(response) => return response,
    };
    state.update_counts(|executions| executions.record_start(ids.clone()));
    let Ok((bytes, digest)) = read_body(payload).await else {
        return HttpResponse::BadRequest().finish();
    };
    state.update_counts(|executions| executions.record_run(ids.clone()));
    sleep_for(state.service_time()).await;
    build_response(state, request, slot, bytes, digest)
}

/// Sleeps for the service time. A zero time is skipped, because the runtime's timer rounds up to
/// whole milliseconds, also from 0.
async fn sleep_for(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

/// Acquires a slot for the request or returns the refusal.
async fn admit(state: &TargetState, request: &HttpRequest) -> Result<SlotGuard, HttpResponse> {
    if state.faults().refuse_drain {
        state.update_counts(|executions| executions.drained += 1);
        return Err(refuse(state, "drain"));
    }
    if state.fires(|faults| &mut faults.shed) {
        state.update_counts(|executions| executions.shed += 1);
        return Err(refuse(state, "shed"));
    }
    let deadline = header(request, "carobshore-deadline-ms");
    let timeout = deadline
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    state
        .slots
        .acquire(timeout)
        .await
        .map_err(|refusal| match refusal {
            SlotRefusal::Shed => {
                state.update_counts(|executions| executions.shed += 1);
                refuse(state, "shed")
            }
            SlotRefusal::Deadline => {
                state.update_counts(|executions| executions.late += 1);
                refuse(state, "deadline")
            }
        })
}

fn refuse(state: &TargetState, reason: &str) -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .header("target-refused", reason)
        .header("target-load", state.reported_load().to_string())
        .header("target-id", &*state.settings.id)
        .finish()
}

/// Reads the body and returns its length in bytes and its digest.
async fn read_body(mut payload: web::types::Payload) -> Result<(u64, u64), IncompleteUpload> {
    let mut bytes = 0;
    let mut digest = Xxh3::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| IncompleteUpload)?;
        bytes += chunk.len() as u64;
        digest.update(&chunk);
    }
    Ok((bytes, digest.digest()))
}

fn build_response(
    state: &Arc<TargetState>,
    request: &HttpRequest,
    slot: SlotGuard,
    bytes: u64,
    digest: u64,
) -> HttpResponse {
    let id = header(request, "x-request-id").unwrap_or("");
    let (source, length) = if request.path() == "/blob" {
        let query = web::types::Query::<BlobQuery>::from_query(request.query_string());
        let size = query.map_or(0, |query| query.size.min(MAX_BLOB));
        (BodySource::Blob(id.into()), size)
    } else {
        let echo = Echo {
            target: state.settings.id.clone(),
            id: id.into(),
            bytes,
            digest: format!("{digest:016x}").into(),
        };
        let json = serde_json::to_vec(&echo).unwrap_or_default();
        let length = json.len() as u64;
        (BodySource::Ready(Bytes::from(json)), length)
    };
    let is_cut = state.fires(|faults| &mut faults.cut);
    let mut builder = HttpResponse::Ok();
    builder
        .header("x-request-id", id)
        .header("target-id", &*state.settings.id)
        .header("target-load", state.reported_load().to_string());
    if state.faults().drain {
        builder.header("target-drain", "yes");
    }
    let body = TargetBody::new(source, length, is_cut, request, Arc::clone(state), slot);
    builder.body(Body::from_message(body))
}

async fn probe(state: Shared, request: HttpRequest) -> HttpResponse {
    if state.is_silent(request.peer_addr()) {
        disconnected(&request).await;
    }
    if state.fires(|faults| &mut faults.probe_fail) {
        return HttpResponse::InternalServerError().finish();
    }
    let slot = match admit(&state, &request).await {
        Ok(slot) => slot,
        Err(response) => return response,
    };
    let cost = state.probe_time();
    sleep_for(cost).await;
    state.record_probe(cost);
    let load = state.reported_load();
    drop(slot);
    let mut builder = HttpResponse::build(StatusCode::OK);
    builder
        .header("target-load", load.to_string())
        .header("target-id", &*state.settings.id);
    if state.faults().drain {
        builder.header("target-drain", "yes");
    }
    builder.finish()
}

async fn executions(state: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&state.executions())
}

async fn put_faults(state: Shared, faults: web::types::Json<TargetFaults>) -> HttpResponse {
    state.set_faults(*faults);
    HttpResponse::NoContent().finish()
}

async fn get_faults(state: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&state.faults())
}
