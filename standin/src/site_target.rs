//! A simulator of a target that announces itself in the platform's store.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::endless_part::EndlessPart;
use crate::raw_server::RawServer;
use crate::raw_server::ReceivedRequest;
use crate::raw_server::ServerAction;
use crate::raw_server::lock;
use crate::site_store::SiteStore;
use crate::site_store::TARGETS;
use crate::site_wire::LEAVING_FIELD;
use crate::site_wire::LIMIT;
use crate::site_wire::RETRY_AFTER;
use crate::site_wire::WARMUP_LEFT;

/// How many requests a target runs concurrently.
const SLOTS: u32 = 2;
/// When a target was started for the first time, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_800_000_000_000;
/// Interval at which a busy target checks whether its caller has disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A refusal without an id, of which a faulty target sends the beginning.
const EARLIER_REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 1\r\n";

/// The length of [`EARLIER_REFUSAL`], in bytes.
pub const EARLIER_REFUSAL_LENGTH: usize = EARLIER_REFUSAL.len();

/// How a target responds to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs the request and responds.
    #[default]
    Serve,
    /// Reports that it did not run the request.
    Refuse,
    /// Holds the request for the service time, then reports that it did not run it.
    RefuseLate,
    /// Runs the request and closes the connection in the middle of the response.
    Truncate,
    /// Runs the request and resets the connection without responding.
    Lose,
    /// Never responds on this connection.
    Hang,
    /// Health checks report all slots as taken, while responses report the true load.
    HealthReportsFull,
    /// Sends each response twice; the second copy precedes the next response.
    AnswerTwice,
    /// Reports that it did not run the request, and sends the same report once more when the next
    /// request arrives on the connection, which it runs.
    RepeatRefusal,
    /// Runs the request, sends this many bytes of the response, and closes the connection.
    CutAfter(usize),
    /// Responds with a body of this many bytes.
    Long(usize),
    /// Responds without `Content-Length` and closes the connection.
    Unframed,
    /// Responds with a head without `Content-Length`, and closes the connection instead of sending
    /// the body.
    UnframedEmpty,
    /// Runs the request and sends a part of the response without end.
    Endless(EndlessPart),
    /// Responds with an error before reading the body.
    RejectEarly,
    /// Runs the request, and sends the beginning of an earlier refusal, of this many bytes, before its
    /// response.
    PartOfRefusal(usize),
    /// Responds with an empty body in chunks, and with a `Content-Length` as well.
    EmptyChunks,
    /// Responds without a signature.
    Unsigned,
    /// Responds as if another target had taken over the address.
    Misdirect,
}

/// A request that a target ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The id of the request.
    pub id: Box<str>,
    /// The method and request target.
    pub request: Box<str>,
    /// The value of `Request-Deadline`, in milliseconds.
    pub deadline: Option<u64>,
    /// The organisation that the request names, if it names one.
    pub organisation: Option<Box<str>>,
    /// Whether the request carries the key of its caller.
    pub has_key: bool,
    /// The length of the body, in bytes.
    pub body: usize,
    /// Whether the caller disconnected before the request finished.
    pub caller_left: bool,
    /// When the request began to run.
    pub began: Instant,
}

#[derive(Debug)]
struct State {
    id: Box<str>,
    work: Mutex<Duration>,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<Vec<Run>>,
    arrivals: AtomicU32,
    running: AtomicU32,
    /// The limits that the target names, as they stand in its answers.
    limits: Mutex<Vec<Box<str>>>,
    /// Whether the target says in its answers that it is leaving.
    leaving: AtomicBool,
    /// The pauses for which the target asks in its refusals.
    pauses: Mutex<Vec<Box<str>>>,
    /// The load that the target states instead of its own.
    load: Mutex<Option<Box<str>>>,
    /// How long the target says that it keeps idle connections open, as it stands in its answers.
    keep_alive: Mutex<Box<str>>,
    /// Until when the target says that it is cold; nothing if it says nothing of it.
    cold_until: Mutex<Option<Instant>>,
    /// When each request arrived.
    arrived: Mutex<Vec<Instant>>,
    /// The duplicate response to send before the next one.
    duplicate: Mutex<Vec<u8>>,
    /// The last refusal on each connection, by the caller's address.
    refusals: Mutex<HashMap<SocketAddr, Vec<u8>>>,
}

impl State {
    /// Returns for how many milliseconds the target is cold; nothing if it does not say so.
    fn cold_ms(&self) -> Option<u128> {
        let until = *lock(&self.cold_until);
        let left = until?.saturating_duration_since(Instant::now());
        Some(left.as_millis())
    }
}

/// A running target.
#[derive(Debug)]
pub struct SiteTarget {
    server: RawServer,
    state: Arc<State>,
    service: Box<str>,
    domain: Box<str>,
    sequence: AtomicU64,
    /// When the target was started, as it announces it.
    started_ms: AtomicU64,
}

impl SiteTarget {
    /// Starts a target without announcing it.
    pub fn start(addr: SocketAddr, id: &str, service: &str, domain: &str) -> io::Result<Self> {
        let state = Arc::new(State {
            id: id.into(),
            work: Mutex::new(Duration::from_millis(5)),
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            arrivals: AtomicU32::new(0),
            running: AtomicU32::new(0),
            limits: Mutex::default(),
            leaving: AtomicBool::new(false),
            pauses: Mutex::default(),
            load: Mutex::default(),
            keep_alive: Mutex::new("timeout=10".into()),
            cold_until: Mutex::default(),
            arrived: Mutex::default(),
            duplicate: Mutex::default(),
            refusals: Mutex::default(),
        });
        let (shared, early) = (Arc::clone(&state), Arc::clone(&state));
        let server = RawServer::start(
            addr,
            move |_| *lock(&early.behaviour) == Behaviour::RejectEarly,
            move |call| handle(&shared, &call),
        )?;
        Ok(Self {
            server,
            state,
            service: service.into(),
            domain: domain.into(),
            sequence: AtomicU64::new(0),
            started_ms: AtomicU64::new(FIRST_START_MS),
        })
    }

    /// Returns the target's id.
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Writes the target's announcement to the store.
    pub fn announce(&self, store: &SiteStore, state: &str) {
        self.announce_at(store, state, self.addr());
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Writes the target's announcement with another address, such as that of a proxy.
    pub fn announce_at(&self, store: &SiteStore, state: &str, addr: SocketAddr) {
        let entry = self.entry(state, addr);
        self.sequence.fetch_add(1, Ordering::SeqCst);
        store.put(TARGETS, self.id(), Some(entry.to_string().as_bytes()));
    }

    /// Returns the announcement that the target would write next, for another writer that changes it.
    pub fn entry(&self, state: &str, addr: SocketAddr) -> serde_json::Value {
        serde_json::json!({
            "Address": addr.to_string(),
            "Info": {"Service": self.service, "Version": "v1", "Zone": self.domain, "Slots": SLOTS},
            "Status": {
                "State": state,
                "SeqNo": self.sequence.load(Ordering::SeqCst),
                "WarmupLeft": format!("{}ms", self.state.cold_ms().unwrap_or(0)),
            },
            "born": self.started_ms.load(Ordering::SeqCst),
        })
    }

    /// Removes the target's announcement from the store.
    pub fn withdraw(&self, store: &SiteStore) {
        store.put(TARGETS, self.id(), None);
    }

    /// Changes how the target responds.
    pub fn set(&self, behaviour: Behaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }

    /// Changes the service time.
    pub fn set_work(&self, work: Duration) {
        *lock(&self.state.work) = work;
    }

    /// Returns the requests that the target has run.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state.runs).clone()
    }

    /// Returns the number of received requests, including refused ones.
    pub fn arrivals(&self) -> u32 {
        self.state.arrivals.load(Ordering::SeqCst)
    }

    /// Returns when each request arrived, refused ones included.
    pub fn arrival_times(&self) -> Vec<Instant> {
        lock(&self.state.arrived).clone()
    }

    /// Changes the limits that the target names in its answers, each in a header field of its own.
    pub fn set_limits(&self, limits: &[&str]) {
        *lock(&self.state.limits) = limits.iter().map(|limit| Box::from(*limit)).collect();
    }

    /// Changes whether the target says in its answers that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Changes the pauses for which the target asks in its refusals, each in a header field of its
    /// own.
    pub fn set_pauses(&self, pauses: &[&str]) {
        *lock(&self.state.pauses) = pauses.iter().map(|pause| Box::from(*pause)).collect();
    }

    /// Changes the value of `Keep-Alive` in the target's answers.
    pub fn set_keep_alive(&self, value: &str) {
        *lock(&self.state.keep_alive) = value.into();
    }

    /// Changes the load that the target states in its answers, to other than its own.
    pub fn set_load(&self, value: &str) {
        *lock(&self.state.load) = Some(value.into());
    }

    /// Changes for how long the target says that it is cold, in its entry and its health checks.
    pub fn set_cold(&self, time: Duration) {
        *lock(&self.state.cold_until) = Some(Instant::now() + time);
    }

    /// Counts as started again: later announcements have a later start.
    pub fn start_again(&self) {
        self.started_ms.fetch_add(1_000, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
    }

    /// Resets all connections, as a network device does after losing its connection state.
    pub fn reset_connections(&self) {
        self.server.reset_connections();
    }
}

fn handle(state: &State, call: &ReceivedRequest) -> ServerAction {
    let fields = &call.head.fields;
    let id: Box<str> = fields.text("Attempt-Id").unwrap_or_default().into();
    let expected = fields.text("Expect-Instance");
    let behaviour = *lock(&state.behaviour);
    let is_addressed = expected.is_none_or(|expected| *expected == *state.id);
    if !is_addressed || behaviour == Behaviour::Misdirect {
        return ServerAction::Send(response("421 Misdirected", "Instance-Id: i-other\r\n", b""));
    }
    if &*call.head.target == "/health" {
        let running = match behaviour {
            Behaviour::HealthReportsFull => SLOTS,
            _ => state.running.load(Ordering::SeqCst),
        };
        let mut fields = format!(
            "Instance-Id: {}\r\n{}",
            state.id,
            load_field(state, running)
        );
        fields += leaving_field(state);
        if let Some(left) = state.cold_ms() {
            fields += &format!("{WARMUP_LEFT}: {left}\r\n");
        }
        return ServerAction::Send(response("200 OK", &fields, b""));
    }
    state.arrivals.fetch_add(1, Ordering::SeqCst);
    lock(&state.arrived).push(Instant::now());
    match behaviour {
        Behaviour::Refuse => return refusal(state, &id),
        Behaviour::RefuseLate => {
            thread::sleep(*lock(&state.work));
            return refusal(state, &id);
        }
        Behaviour::RepeatRefusal if !repeat_refusal(state, call) => {
            let bytes = refusal_bytes(state, &id);
            if let Ok(caller) = call.stream.peer_addr() {
                lock(&state.refusals).insert(caller, bytes.clone());
            }
            return ServerAction::Send(bytes);
        }
        Behaviour::Hang => return ServerAction::Hang,
        Behaviour::RejectEarly => {
            let fields = format!("Attempt-Id: {id}\r\nResponse-Signature: s\r\n");
            return ServerAction::Send(response("413 Too Large", &fields, b"early"));
        }
        _ => {}
    }
    let caller_left = run(state, call, &id);
    if caller_left {
        return ServerAction::Hang;
    }
    let keep_alive = lock(&state.keep_alive).clone();
    let mut signature =
        format!("Attempt-Id: {id}\r\nResponse-Signature: s\r\nKeep-Alive: {keep_alive}\r\n");
    signature += leaving_field(state);
    for limit in &*lock(&state.limits) {
        signature += &format!("{LIMIT}: {limit}\r\n");
    }
    if *lock(&state.behaviour) == Behaviour::HealthReportsFull || lock(&state.load).is_some() {
        signature += &load_field(state, state.running.load(Ordering::SeqCst));
    }
    let body = match behaviour {
        Behaviour::Long(length) => "x".repeat(length),
        _ => format!("body of {id}"),
    };
    let whole = response("200 OK", &signature, body.as_bytes());
    match behaviour {
        Behaviour::Truncate => ServerAction::SendAndClose(whole[..whole.len() - 5].to_vec()),
        Behaviour::CutAfter(count) => {
            ServerAction::SendAndClose(whole[..count.min(whole.len())].to_vec())
        }
        Behaviour::Lose => ServerAction::SendAndReset(Vec::new()),
        Behaviour::Unsigned => {
            let fields = format!("Attempt-Id: {id}\r\n");
            ServerAction::Send(response("200 OK", &fields, b"unsigned"))
        }
        Behaviour::Unframed => {
            let head = format!("HTTP/1.1 200 OK\r\n{signature}\r\nbody of {id}");
            ServerAction::SendAndClose(head.into_bytes())
        }
        Behaviour::Endless(part) => {
            let fields = format!("Attempt-Id: {id}\r\nResponse-Signature: s\r\n");
            let (start, repeated) = part.texts(&fields);
            let mut stream = &call.stream;
            let mut sent = stream.write_all(start.as_bytes());
            while sent.is_ok() {
                sent = stream.write_all(repeated.as_bytes());
            }
            ServerAction::Hang
        }
        Behaviour::UnframedEmpty => {
            let head = format!("HTTP/1.1 200 OK\r\n{signature}\r\n");
            ServerAction::SendAndClose(head.into_bytes())
        }
        Behaviour::PartOfRefusal(count) => {
            let refusal = &EARLIER_REFUSAL[..count.min(EARLIER_REFUSAL.len())];
            ServerAction::Send([refusal, &whole].concat())
        }
        Behaviour::EmptyChunks => {
            let framing = "Content-Length: 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
            ServerAction::Send(format!("HTTP/1.1 200 OK\r\n{signature}{framing}").into_bytes())
        }
        Behaviour::AnswerTwice => {
            let mut bytes = std::mem::replace(&mut *lock(&state.duplicate), whole.clone());
            bytes.extend_from_slice(&whole);
            ServerAction::Send(bytes)
        }
        _ => ServerAction::Send(whole),
    }
}

fn load_field(state: &State, running: u32) -> String {
    match &*lock(&state.load) {
        Some(load) => format!("Backend-Load: {load}\r\n"),
        None => format!("Backend-Load: {running},0,{SLOTS},100\r\n"),
    }
}

/// Returns the field by which a target says that it is leaving; nothing if it does not.
fn leaving_field(state: &State) -> &'static str {
    match state.leaving.load(Ordering::SeqCst) {
        true => LEAVING_FIELD,
        false => "",
    }
}

/// Sends the refusal of an earlier request of the connection once more. Returns whether there was
/// one.
fn repeat_refusal(state: &State, call: &ReceivedRequest) -> bool {
    let caller = call.stream.peer_addr().ok();
    let earlier = caller.and_then(|caller| lock(&state.refusals).get(&caller).cloned());
    let sent = earlier.map(|bytes| (&call.stream).write_all(&bytes));
    sent.is_some_and(|sent| sent.is_ok())
}

fn refusal(state: &State, id: &str) -> ServerAction {
    ServerAction::Send(refusal_bytes(state, id))
}

fn refusal_bytes(state: &State, id: &str) -> Vec<u8> {
    let mut fields = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
    fields += leaving_field(state);
    for pause in &*lock(&state.pauses) {
        fields += &format!("{RETRY_AFTER}: {pause}\r\n");
    }
    response("503 Full", &fields, b"")
}

/// Runs a request. Returns whether the caller disconnected meanwhile.
fn run(state: &State, call: &ReceivedRequest, id: &str) -> bool {
    let fields = &call.head.fields;
    let run = Run {
        id: id.into(),
        request: format!("{} {}", call.head.method, call.head.target).into(),
        deadline: fields
            .text("Request-Deadline")
            .and_then(|text| text.parse().ok()),
        organisation: fields.text("Tenant").map(Box::from),
        has_key: fields.count("Authorization") > 0,
        body: call.body.len(),
        caller_left: false,
        began: Instant::now(),
    };
    let at = {
        let mut runs = lock(&state.runs);
        runs.push(run);
        runs.len() - 1
    };
    state.running.fetch_add(1, Ordering::SeqCst);
    let until = Instant::now() + *lock(&state.work);
    let mut caller_left = false;
    while !caller_left && Instant::now() < until {
        thread::sleep(
            DISCONNECT_CHECK_INTERVAL.min(until.saturating_duration_since(Instant::now())),
        );
        caller_left = has_disconnected(&call.stream);
    }
    state.running.fetch_sub(1, Ordering::SeqCst);
    lock(&state.runs)[at].caller_left = caller_left;
    caller_left
}

fn has_disconnected(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

fn response(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}
