//! TWICE: a backend runs a request and sends bytes that are not a response, the beginning of an answer with
//! status 421, before its own answer. The gateway takes both for a 421, and sends the request to another one.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{
    configuration, in_spell, lock, route, Backend, Conn, Gateway, Message, Record, Store, Work, CONFIG,
};
use crate::Verdict;

/// One in this many answers of a faulty backend is spoilt (`garble` of the site file: x = 0.03).
const SPOILT: u64 = 34;
const CLIENTS: u64 = 8;
const REQUESTS: u64 = 400;
/// The example "another server has the address" of `fleetbench wire`.
const OTHER_ANSWER: &[u8] = b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-02d9e6b4\r\n";

pub fn run(root: &Path, record_path: &Path, trouble: bool) -> Verdict {
    let record = Record::new();
    let verdict = play(root, &record, trouble);
    record.write(record_path);
    verdict
}

fn play(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let (store, store_addr) = Store::start(2);
    let slots = route("r-slot", "/slot/", "unsafe", "agenda", 2);
    store.put(CONFIG, "config", &configuration(3, &[slots], &["agenda"]));
    let (noted, count, started) = (record.clone(), AtomicU64::new(0), Instant::now());
    let work: Arc<Work> = Arc::new(move |backend: &Backend, request: &Message, conn: &mut Conn| {
        noted.add(format!("{} runs {}", backend.id, request.id()));
        thread::sleep(Duration::from_millis(20));
        let is_faulty = matches!(&*backend.id, "i-0" | "i-1" | "i-2");
        let is_faulty = is_faulty && in_spell(started);
        let number = count.fetch_add(u64::from(is_faulty), Ordering::SeqCst);
        let mut bytes = Vec::new();
        if trouble && is_faulty && number % SPOILT == 0 {
            // Any part of it, in turn.
            let part = 1 + (number / SPOILT * 11) as usize % OTHER_ANSWER.len();
            bytes.extend_from_slice(&OTHER_ANSWER[..part]);
            noted.add(format!(
                "{} sends bytes that are no response before its answer to {}: {:?}",
                backend.id,
                request.id(),
                String::from_utf8_lossy(&OTHER_ANSWER[..part])
            ));
        }
        bytes.extend(backend.answer("200 OK", request));
        conn.send(&bytes).is_ok()
    });
    let backends: Vec<_> = (0..6)
        .map(|n| Backend::start(10 + n, &format!("i-{n}"), "agenda", &store, Arc::clone(&work)))
        .collect();
    let gateway = Gateway::start(root, 40, "edge-a-1", "a", store_addr);
    if !gateway.wait_ready() {
        return Err("the gateway is not ready".into());
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, addr) = (record.clone(), gateway.callers);
            thread::spawn(move || book(&record, addr, client))
        })
        .collect();
    let mut served = 0;
    for client in clients {
        served += client.join().map_err(|_| "a client failed".to_owned())??;
    }
    let mut runs: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    let runs_of: Vec<_> = backends.iter().map(|b| (b, lock(&b.runs).clone())).collect();
    for (backend, ids) in &runs_of {
        for (id, _) in ids {
            runs.entry(id.clone()).or_default().push(&backend.id);
        }
    }
    let twice: Vec<String> = runs
        .iter()
        .filter(|(_, at)| at.len() > 1)
        .map(|(id, at)| format!("{id} ran {} times, at {at:?}", at.len()))
        .collect();
    twice.iter().for_each(|line| record.add(line.clone()));
    record.add(format!("{served} bookings served; {} ran more than once", twice.len()));
    match served {
        0 => Err("no booking was served".into()),
        _ => Ok(twice),
    }
}

fn book(record: &Record, addr: std::net::SocketAddr, client: u64) -> Result<u32, String> {
    let limit = Duration::from_secs(3);
    let mut served = 0;
    let mut kept = None;
    for number in 0..REQUESTS {
        let mut conn = match kept.take() {
            Some(conn) => conn,
            None => Conn::open(addr, limit).map_err(|error| error.to_string())?,
        };
        let id = format!("b{client}-{number}");
        let text = format!(
            "POST /slot/9 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: 1000\r\n\
             Content-Length: 4\r\n\r\nslot"
        );
        conn.send(text.as_bytes()).map_err(|error| error.to_string())?;
        let answer = conn.message(Instant::now() + limit, false);
        match &answer {
            Ok(answer) => record.add(format!("client {client} gets for {id}: {}", answer.start)),
            Err(error) => record.add(format!("client {client} gets nothing for {id}: {error}")),
        }
        if let Ok(answer) = answer {
            served += u32::from(answer.status() == 200);
            if !answer.closes() {
                kept = Some(conn);
            }
        }
        thread::sleep(Duration::from_millis(40));
    }
    Ok(served)
}
