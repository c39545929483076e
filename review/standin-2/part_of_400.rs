//! MIXED: a backend runs a request and sends bytes that are not a response, the beginning of an answer with
//! status 400, before its own answer with 200. The client gets 400 with the backend's signature.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{
    configuration, in_spell, route, Backend, Conn, Gateway, Message, Record, Store, Work, CONFIG,
};
use crate::Verdict;

/// One in this many answers of a faulty backend is spoilt (`garble` of the site file: x = 0.03).
const SPOILT: u64 = 34;
const CLIENTS: u64 = 8;
const REQUESTS: u64 = 400;
/// The beginning of an answer to a request without an id.
const OTHER_ANSWER: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nNot-Executed: 1\r\n";

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
    let mut mixed = Vec::new();
    for client in clients {
        let (count, seen) = client.join().map_err(|_| "a client failed".to_owned())??;
        served += count;
        mixed.extend(seen);
    }
    record.add(format!("{served} bookings served; {} got another status than the backend gave", mixed.len()));
    drop(backends);
    match served {
        0 => Err("no booking was served".into()),
        _ => Ok(mixed),
    }
}

type Seen = (u32, Vec<String>);

fn book(record: &Record, addr: std::net::SocketAddr, client: u64) -> Result<Seen, String> {
    let limit = Duration::from_secs(3);
    let mut served = 0;
    let mut mixed = Vec::new();
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
            // All backends answer each request that they run with 200.
            if answer.status() != 200 && answer.count("response-signature") > 0 {
                let line = format!("{id} got {:?}, signed: {:?}", answer.start, answer.fields);
                record.add(line.clone());
                mixed.push(line);
            }
            if !answer.closes() {
                kept = Some(conn);
            }
        }
        thread::sleep(Duration::from_millis(40));
    }
    Ok((served, mixed))
}
