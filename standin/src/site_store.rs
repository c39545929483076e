//! A simulator of the platform's store: topics compacted to the newest record of each key, long-poll
//! reads, outages, and restarts from an older copy.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;

use crate::raw_server::RawServer;
use crate::raw_server::ReceivedRequest;
use crate::raw_server::ServerAction;
use crate::raw_server::lock;

/// The topic with the announcements of targets.
pub const TARGETS: &str = "keyed.servers";
/// The topic in which the VMs register.
pub const VMS: &str = "keyed.vms";
/// The topic with the operators' configuration.
pub const OPERATORS: &str = "keyed.op";

/// A fault that the store injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Works normally.
    #[default]
    None,
    /// Answers every call with this status.
    Status(u16),
    /// Accepts calls but never responds, not even to waiting reads.
    Silent,
    /// Resets connections.
    Reset,
    /// Registers a waiting read only some time after checking for records, so that the read is not
    /// woken by records written in between.
    SlowWait,
}

/// Time from the check for records until a slow store registers a waiting read.
const REGISTER_DELAY: Duration = Duration::from_millis(300);

type Record = (u64, String, Option<Vec<u8>>);

#[derive(Clone, Debug, Default)]
struct Topic {
    records: Vec<Record>,
    first: u64,
    end: u64,
}

/// All records of a store at one moment.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy(HashMap<String, Topic>);

/// What a writer had written and the store has lost: the newest value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostWrite {
    /// The topic.
    pub topic: String,
    /// The key.
    pub key: String,
    /// The value; nothing if the key was deleted.
    pub value: Option<Vec<u8>>,
}

#[derive(Debug)]
struct State {
    topics: HashMap<String, Topic>,
    /// Rises whenever the store comes back from an older copy. All answers state it.
    era: u64,
    fault: StoreFault,
    calls: u64,
    /// The bytes of all answers.
    sent: u64,
    /// The number of records on a page of the newest ones; all if there is none.
    page: Option<usize>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            topics: HashMap::new(),
            era: 1,
            fault: StoreFault::default(),
            calls: 0,
            sent: 0,
            page: None,
        }
    }
}

/// A running store.
#[derive(Debug)]
pub struct SiteStore {
    server: RawServer,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl SiteStore {
    /// Starts an empty store on loopback.
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let shared = Arc::clone(&state);
        let server = RawServer::start(addr, |_| false, move |call| handle(&shared, &call))?;
        Ok(Self { server, state })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Writes a value; `None` deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let (state, changed) = &*self.state;
        append(&mut lock(state), topic, key, value);
        changed.notify_all();
    }

    /// Sets the number of records on a page of the newest ones.
    pub fn set_page(&self, records: usize) {
        lock(&self.state.0).page = Some(records);
    }

    /// Compacts a topic to the newest record of each key, so that reads from an earlier offset fail.
    pub fn drop_history(&self, topic: &str) {
        let (state, changed) = &*self.state;
        let mut state = lock(state);
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.first = topic.end + 1;
        topic.end += 1;
        changed.notify_all();
    }

    /// Replaces the fault and applies it to waiting calls.
    pub fn set_fault(&self, fault: StoreFault) {
        let (state, changed) = &*self.state;
        lock(state).fault = fault;
        changed.notify_all();
        if fault == StoreFault::Reset {
            self.server.reset_connections();
        }
    }

    /// Returns the number of bytes of all answers.
    pub fn sent(&self) -> u64 {
        lock(&self.state.0).sent
    }

    /// Returns a copy of all records.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(lock(&self.state.0).topics.clone())
    }

    /// Replaces all records by an earlier copy, raises the era, and resets connections. Returns what the
    /// operators and the targets have written since, in order.
    pub fn restart_from(&self, copy: &StoreCopy) -> Vec<LostWrite> {
        let (state, changed) = &*self.state;
        let mut state = lock(state);
        let lost = [OPERATORS, TARGETS]
            .iter()
            .flat_map(|topic| lost_writes(&state, copy, topic));
        let lost = lost.collect();
        state.topics.clone_from(&copy.0);
        state.era += 1;
        drop(state);
        changed.notify_all();
        self.server.reset_connections();
        lost
    }

    /// Returns the number of records that a topic has had in this era.
    pub fn end(&self, topic: &str) -> u64 {
        let state = lock(&self.state.0);
        state.topics.get(topic).map_or(0, |topic| topic.end)
    }

    /// Returns the newest value of each key of a topic that is not deleted.
    pub fn newest(&self, topic: &str) -> BTreeMap<String, Vec<u8>> {
        let state = lock(&self.state.0);
        let records = state.topics.get(topic).map(|topic| &*topic.records);
        let newest = newest_of(records.unwrap_or_default()).into_iter();
        newest
            .filter_map(|(key, (_, value))| Some((key.to_owned(), value?.to_vec())))
            .collect()
    }

    /// Returns the total number of received calls.
    pub fn calls(&self) -> u64 {
        lock(&self.state.0).calls
    }
}

/// Returns the newest record of each key, deletions included.
fn newest_of(records: &[Record]) -> BTreeMap<&str, (u64, Option<&[u8]>)> {
    let keyed = records
        .iter()
        .map(|(offset, key, value)| (&**key, (*offset, value.as_deref())));
    keyed.collect()
}

/// Returns the newest value of each key that a topic has got since the copy, in order.
fn lost_writes(state: &State, copy: &StoreCopy, name: &str) -> Vec<LostWrite> {
    let kept = copy.0.get(name).map_or(0, |topic| topic.end);
    let records = state.topics.get(name).map(|topic| &*topic.records);
    let lost = records.unwrap_or_default().iter();
    let lost: Vec<Record> = lost
        .filter(|(offset, ..)| *offset >= kept)
        .cloned()
        .collect();
    let mut newest: Vec<_> = newest_of(&lost).into_iter().collect();
    newest.sort_by_key(|(_, (offset, _))| *offset);
    let writes = newest.into_iter().map(|(key, (_, value))| LostWrite {
        topic: name.to_owned(),
        key: key.to_owned(),
        value: value.map(<[u8]>::to_vec),
    });
    writes.collect()
}

fn append(state: &mut State, topic: &str, key: &str, value: Option<&[u8]>) -> u64 {
    let topic = state.topics.entry(topic.to_owned()).or_default();
    let offset = topic.end;
    let value = value.map(<[u8]>::to_vec);
    topic.records.push((offset, key.to_owned(), value));
    topic.end += 1;
    offset
}

fn handle(shared: &(Mutex<State>, Condvar), call: &ReceivedRequest) -> ServerAction {
    let action = respond(shared, call);
    if let ServerAction::Send(bytes) = &action {
        lock(&shared.0).sent += bytes.len() as u64;
    }
    action
}

fn respond(shared: &(Mutex<State>, Condvar), call: &ReceivedRequest) -> ServerAction {
    let (state, changed) = shared;
    let (fault, era) = {
        let mut state = lock(state);
        state.calls += 1;
        (state.fault, state.era)
    };
    match fault {
        StoreFault::None | StoreFault::SlowWait => {}
        StoreFault::Status(status) => return reply(era, status, b"{}"),
        StoreFault::Silent => return ServerAction::Hang,
        StoreFault::Reset => return ServerAction::SendAndReset(Vec::new()),
    }
    let target = &*call.head.target;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query: HashMap<&str, &str> = query
        .split('&')
        .filter_map(|part| part.split_once('='))
        .collect();
    let topic = *query.get("Topic").unwrap_or(&"");
    let number = |name| {
        query
            .get(name)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    match path {
        "/-/log-append" => {
            let answer = append_body(&mut lock(state), topic, &call.body);
            changed.notify_all();
            answer
        }
        "/-/log-newest" => newest(&lock(state), topic, query.get("after").copied()),
        "/-/log-read" => {
            let wait = Duration::from_millis(number("WaitMs"));
            read(shared, topic, number("From"), wait)
        }
        _ => reply(era, 404, b"{}"),
    }
}

fn append_body(state: &mut State, topic: &str, body: &[u8]) -> ServerAction {
    let mut rest = body;
    let mut first = None;
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let Some((record, tail)) = tail.split_at_checked(length) else {
            return reply(state.era, 400, b"{}");
        };
        rest = tail;
        let Some((key, value)) = split_record(record) else {
            return reply(state.era, 400, b"{}");
        };
        let value = (!value.is_empty()).then_some(value);
        first.get_or_insert(append(state, topic, &key, value));
    }
    let end = state.topics.get(topic).map_or(0, |topic| topic.end);
    let offset = first.unwrap_or(end);
    reply(
        state.era,
        200,
        format!("{{\"Offset\":{offset},\"End\":{end}}}").as_bytes(),
    )
}

fn split_record(record: &[u8]) -> Option<(String, &[u8])> {
    let (length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((String::from_utf8_lossy(key).into_owned(), value))
}

/// Returns the page of the newest records after a key, which has to consist of unreserved characters.
fn newest(state: &State, topic: &str, after: Option<&str>) -> ServerAction {
    let size = state.page.unwrap_or(usize::MAX);
    let Some(topic) = state.topics.get(topic) else {
        let empty = b"{\"items\":[],\"HasMore\":false,\"End\":0}";
        return reply(state.era, 200, empty);
    };
    let newest = newest_of(&topic.records).into_iter();
    let mut items: Vec<_> = newest
        .filter(|(key, _)| after.is_none_or(|after| *key > after))
        .filter_map(|(key, (offset, value))| {
            let value = BASE64_STANDARD.encode(value?);
            Some(serde_json::json!({"Key": key, "Value": value, "Offset": offset}))
        })
        .collect();
    let has_more = items.len() > size;
    items.truncate(size);
    let body = serde_json::json!({"items": items, "HasMore": has_more, "End": topic.end});
    reply(state.era, 200, body.to_string().as_bytes())
}

fn read(shared: &(Mutex<State>, Condvar), topic: &str, from: u64, wait: Duration) -> ServerAction {
    let (state, changed) = shared;
    let arrived = Instant::now();
    let until = arrived + wait;
    let mut waited = false;
    let mut missed_end = 0;
    let mut state = lock(state);
    loop {
        match state.fault {
            StoreFault::None | StoreFault::SlowWait => {}
            StoreFault::Silent => {
                drop(state);
                thread::sleep(Duration::from_secs(60));
                return ServerAction::Hang;
            }
            StoreFault::Status(status) => return reply(state.era, status, b"{}"),
            StoreFault::Reset => return ServerAction::SendAndReset(Vec::new()),
        }
        let (first, end) = state
            .topics
            .get(topic)
            .map_or((0, 0), |topic| (topic.first, topic.end));
        if from < first || from > end {
            let body = format!("{{\"First\":{first}}}");
            return reply(state.era, 410, body.as_bytes());
        }
        let remaining = until.saturating_duration_since(Instant::now());
        if arrived.elapsed() < REGISTER_DELAY {
            missed_end = end;
        }
        let wait_from = match waited && state.fault == StoreFault::SlowWait {
            true => from.max(missed_end),
            false => from,
        };
        if wait_from < end || remaining.is_zero() {
            return reply(state.era, 200, &page(&state, topic, from, first, end));
        }
        waited = true;
        let woken = changed.wait_timeout(state, remaining);
        state = woken.unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn page(state: &State, topic: &str, from: u64, first: u64, end: u64) -> Vec<u8> {
    let mut page = Vec::new();
    page.extend_from_slice(&end.to_be_bytes());
    page.extend_from_slice(&first.to_be_bytes());
    let records = state
        .topics
        .get(topic)
        .map_or(&[][..], |topic| &topic.records);
    for (_, key, value) in records.iter().filter(|(offset, ..)| *offset >= from) {
        let value = value.as_deref().unwrap_or_default();
        let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(0);
        page.extend_from_slice(&length.to_be_bytes());
        page.push(u8::try_from(key.len()).unwrap_or(0));
        page.extend_from_slice(key.as_bytes());
        page.extend_from_slice(value);
    }
    page
}

fn reply(era: u64, status: u16, body: &[u8]) -> ServerAction {
    let mut bytes = format!(
        "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    ServerAction::Send(bytes)
}
