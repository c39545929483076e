//! Stand-in of the platform's store: topics with one partition, `log-newest`, `log-read` with a long
//! poll, and `log-append`.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;

type Record = (String, Vec<u8>);

#[derive(Default)]
struct State {
    topics: Mutex<HashMap<String, Vec<Record>>>,
    changed: Condvar,
}

/// A running store. It runs until the process ends.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let addr = listener.local_addr().expect("an address");
        let state: Arc<State> = Arc::default();
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || serve(&state, stream));
            }
        });
        Self { addr, state }
    }

    /// Appends a record to a keyed topic. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.state.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.state.changed.notify_all();
    }
}

fn serve(state: &State, stream: TcpStream) {
    let mut conn = Conn::new(stream);
    while let Ok(Some(head)) = conn.head() {
        let Ok(body) = conn.body(&head) else { return };
        let (status, answer) = respond(state, head.start.get(1).map_or("", |t| t), &body);
        let text = format!(
            "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        let bytes = [text.as_bytes(), &answer].concat();
        if conn.send(&bytes).is_err() {
            return;
        }
    }
}

fn respond(state: &State, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query: HashMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
    let topic = query.get("Topic").copied().unwrap_or("");
    let number = |name: &str| {
        query
            .get(name)
            .and_then(|v| v.parse::<u64>().ok())
            .unwrap_or(0)
    };
    match path {
        "/-/log-newest" => (200, newest(state, topic)),
        "/-/log-read" => (
            200,
            read(state, topic, number("From") as usize, number("WaitMs")),
        ),
        "/-/log-append" => append(state, topic, body),
        _ => (404, b"{}".to_vec()),
    }
}

fn newest(state: &State, topic: &str) -> Vec<u8> {
    let topics = state.topics.lock().unwrap();
    let records = topics.get(topic).map_or(&[][..], |r| r);
    let mut newest = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(key, (offset, value));
    }
    let items: Vec<String> = newest
        .iter()
        .filter(|(_, (_, value))| !value.is_empty())
        .map(|(key, (offset, value))| {
            format!(
                r#"{{"Key":"{key}","Value":"{}","Offset":{offset}}}"#,
                base64(value)
            )
        })
        .collect();
    let end = records.len();
    format!(
        r#"{{"items":[{}],"HasMore":false,"End":{end}}}"#,
        items.join(",")
    )
    .into_bytes()
}

fn read(state: &State, topic: &str, from: usize, wait_ms: u64) -> Vec<u8> {
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut topics = state.topics.lock().unwrap();
    loop {
        let records = topics.get(topic).map_or(&[][..], |r| r);
        let left = until.saturating_duration_since(Instant::now());
        if records.len() > from || left.is_zero() {
            let mut page = (records.len() as u64).to_be_bytes().to_vec();
            page.extend_from_slice(&0_u64.to_be_bytes());
            for (key, value) in records.iter().skip(from) {
                page.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                page.push(key.len() as u8);
                page.extend_from_slice(key.as_bytes());
                page.extend_from_slice(value);
            }
            return page;
        }
        topics = state.changed.wait_timeout(topics, left).unwrap().0;
    }
}

fn append(state: &State, topic: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let mut topics = state.topics.lock().unwrap();
    let records = topics.entry(topic.to_owned()).or_default();
    let offset = records.len();
    let mut rest = body;
    while rest.len() > 4 {
        let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
        let record = &rest[4..4 + length];
        let key_end = 1 + record[0] as usize;
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        records.push((key, record[key_end..].to_vec()));
        rest = &rest[4 + length..];
    }
    let end = records.len();
    state.changed.notify_all();
    (
        200,
        format!(r#"{{"Offset":{offset},"End":{end}}}"#).into_bytes(),
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group =
            chunk.iter().fold(0_u32, |acc, b| acc << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            text.push(match index <= chunk.len() {
                true => DIGITS[(group >> (18 - 6 * index) & 63) as usize] as char,
                false => '=',
            });
        }
    }
    text
}
