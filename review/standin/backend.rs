//! Stand-in of a backend: it runs requests on a few slots, signs its answers and answers its health
//! path.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Head};
use crate::store::Store;

/// The `Content-Length` of a spoiled answer.
pub const SPOILED_LENGTH: usize = 200;

/// Additional bytes: the beginning of a refusal, cut off in its second line.
const EXTRA_BYTES: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1";
/// How many requests a backend queues beside those that it runs.
const QUEUE: usize = 8;

/// How a faulty backend spoils an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spoil {
    #[default]
    None,
    /// The body is complete and empty: its last chunk follows the head. The head has a
    /// `Content-Length` as well, which a recipient has to ignore (RFC 9112, section 6.3).
    EmptyChunked,
    /// On a kept connection, the beginning of a refusal precedes the answer, up to the end of the
    /// field that says that nothing ran.
    ExtraBytes,
    /// The stated timeout of idle connections is the largest signed 64-bit number.
    LongKeepAlive,
}

/// One thing that happened at a backend.
#[derive(Clone, Debug)]
pub struct Event {
    pub id: String,
    pub what: String,
}

pub struct State {
    pub id: String,
    pub slots: usize,
    /// The numbers of requests that run and that wait.
    held: Mutex<(usize, usize)>,
    freed: Condvar,
    /// Service time in milliseconds.
    pub work_ms: AtomicU64,
    /// How the backend spoils answers, and that it spoils each answer of this number.
    pub spoil: Mutex<(Spoil, usize)>,
    answers: AtomicUsize,
    /// Further header fields of its answers, each with the end of its line.
    pub fields: Mutex<String>,
    pub events: Mutex<Vec<Event>>,
}

/// A running backend. It runs until the process ends.
#[derive(Clone)]
pub struct Backend {
    pub addr: SocketAddr,
    pub state: Arc<State>,
    service: String,
    zone: String,
    started_ms: u128,
}

impl Backend {
    pub fn start(id: &str, service: &str, zone: &str, slots: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a backend");
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(State {
            id: id.to_owned(),
            slots,
            held: Mutex::default(),
            freed: Condvar::new(),
            work_ms: AtomicU64::new(100),
            spoil: Mutex::default(),
            answers: AtomicUsize::new(0),
            fields: Mutex::default(),
            events: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || {
                    let _ = serve(&state, stream);
                });
            }
        });
        let started_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        Self {
            addr,
            state,
            service: service.to_owned(),
            zone: zone.to_owned(),
            started_ms,
        }
    }

    /// Writes the entry of the backend to the store.
    pub fn announce(&self, store: &Store, state: &str, sequence: u64) {
        let value = format!(
            r#"{{"Address":"{}","Info":{{"Service":"{}","Version":"v1","Zone":"{}","Slots":{}}},"Status":{{"State":"{state}","SeqNo":{sequence},"WarmupLeft":"0ms"}},"born":{}}}"#,
            self.addr, self.service, self.zone, self.state.slots, self.started_ms
        );
        store.put("keyed.servers", &self.state.id, &value);
    }

    /// Returns the ids of requests of which it did `what`.
    pub fn ids(&self, what: &str) -> Vec<String> {
        let events = self.state.events.lock().unwrap();
        events
            .iter()
            .filter(|e| e.what == what)
            .map(|e| e.id.clone())
            .collect()
    }
}

fn note(state: &State, id: &str, what: &str) {
    let event = Event {
        id: id.to_owned(),
        what: what.to_owned(),
    };
    state.events.lock().unwrap().push(event);
}

fn load(state: &State) -> String {
    let (running, waiting) = *state.held.lock().unwrap();
    format!("Backend-Load: {running},{waiting},{},100\r\n", state.slots)
}

/// Waits for a slot. Returns whether the request got one before its deadline.
fn take_slot(state: &State, deadline: Instant) -> bool {
    let mut held = state.held.lock().unwrap();
    if held.0 >= state.slots && held.1 >= QUEUE {
        return false;
    }
    held.1 += 1;
    while held.0 >= state.slots {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            held.1 -= 1;
            return false;
        }
        held = state.freed.wait_timeout(held, left).unwrap().0;
    }
    held.1 -= 1;
    held.0 += 1;
    true
}

fn free_slot(state: &State) {
    state.held.lock().unwrap().0 -= 1;
    state.freed.notify_one();
}

fn serve(state: &State, stream: TcpStream) -> std::io::Result<()> {
    let mut conn = Conn::new(stream);
    let mut kept = false;
    while let Some(head) = conn.head()? {
        let id = head.field("attempt-id").unwrap_or("").to_owned();
        if head.start.get(1).is_some_and(|target| target == "/health") {
            conn.body(&head)?;
            let fields = state.fields.lock().unwrap().clone();
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n{}{fields}Content-Length: 0\r\n\r\n",
                state.id,
                load(state)
            );
            conn.send(text.as_bytes())?;
            kept = true;
            continue;
        }
        note(state, &id, "arrives");
        conn.body(&head)?;
        let answer = run(state, &head, &id, kept);
        kept = true;
        conn.send(&answer)?;
        note(state, &id, "answered");
    }
    Ok(())
}

fn run(state: &State, head: &Head, id: &str, kept: bool) -> Vec<u8> {
    let mut fields = state.fields.lock().unwrap().clone();
    let refusal = |status: &str| {
        format!("HTTP/1.1 {status}\r\nNot-Executed: 1\r\nAttempt-Id: {id}\r\n{}Content-Length: 0\r\n\r\n", load(state)).into_bytes()
    };
    if head
        .field("expect-instance")
        .is_some_and(|expected| expected != state.id)
    {
        return refusal("421 Misdirected");
    }
    let deadline = head
        .field("request-deadline")
        .and_then(|ms| ms.parse().ok());
    let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(10_000));
    if !take_slot(state, deadline) {
        note(state, id, "refuses");
        return refusal("503 Service Unavailable");
    }
    note(state, id, "runs");
    let work = Duration::from_millis(state.work_ms.load(Ordering::SeqCst));
    let left = deadline.saturating_duration_since(Instant::now());
    thread::sleep(work.min(left));
    free_slot(state);
    if left < work {
        return format!("HTTP/1.1 504 Gateway Timeout\r\nAttempt-Id: {id}\r\nResponse-Signature: {}.{id}.0\r\n{}{fields}Content-Length: 0\r\n\r\n", state.id, load(state)).into_bytes();
    }
    let spoil = next_spoil(state, kept);
    if spoil != Spoil::None {
        note(state, id, "spoils");
    }
    let mut body = format!("result of {id}\n").into_bytes();
    let mut length = body.len();
    let mut framing = format!("Content-Length: {length}\r\n");
    let mut extra = Vec::new();
    match spoil {
        Spoil::None => {}
        Spoil::EmptyChunked => {
            framing = format!("Content-Length: {SPOILED_LENGTH}\r\nTransfer-Encoding: chunked\r\n");
            body = b"0\r\n\r\n".to_vec();
            length = 0;
        }
        Spoil::ExtraBytes => {
            extra = EXTRA_BYTES.to_vec();
        }
        Spoil::LongKeepAlive => fields = "Keep-Alive: timeout=9223372036854775807\r\n".to_owned(),
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {}.{id}.{length}\r\n{}{fields}{framing}\r\n",
        state.id,
        load(state)
    );
    [extra, head.into_bytes(), body].concat()
}

/// Returns how the next answer is spoiled.
fn next_spoil(state: &State, kept: bool) -> Spoil {
    let (spoil, every) = *state.spoil.lock().unwrap();
    let fits = spoil != Spoil::ExtraBytes || kept;
    if spoil == Spoil::None || !fits {
        return Spoil::None;
    }
    match (state.answers.fetch_add(1, Ordering::SeqCst) + 1).is_multiple_of(every) {
        true => spoil,
        false => Spoil::None,
    }
}
