//! MIXED: a backend sends bytes that are not a response, the beginning of an answer to a health check, and
//! then its own answer, a failure. The client gets a success.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{configuration, route, Backend, Conn, Gateway, Message, Record, Store, CONFIG};
use crate::Verdict;

/// One in this many answers of a faulty backend is spoilt (`garble` of the site file: x = 0.05).
const SPOILT: u64 = 20;
/// One in this many requests is one that the backend cannot accept: it answers 500, as its own.
const UNACCEPTABLE: u64 = 4;
const CLIENTS: u64 = 24;
const REQUESTS: u64 = 250;

pub fn run(root: &Path, record_path: &Path, trouble: bool) -> Verdict {
    let record = Record::new();
    let verdict = play(root, &record, trouble);
    record.write(record_path);
    verdict
}

fn play(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let (store, store_addr) = Store::start(2);
    let seats = route("r-seats", "/seats/", "unsafe", "desk", 2);
    store.put(CONFIG, "config", &configuration(3, &[seats], &["desk"]));
    let (noted, count) = (record.clone(), AtomicU64::new(0));
    let work = move |backend: &Backend, request: &Message, conn: &mut Conn| {
        thread::sleep(Duration::from_millis(15));
        let status = match request.body.starts_with(b"unacceptable") {
            true => "500 Internal Server Error",
            false => "200 OK",
        };
        let is_faulty = matches!(&*backend.id, "i-0" | "i-1" | "i-2");
        let number = count.fetch_add(u64::from(is_faulty), Ordering::SeqCst);
        let mut bytes = Vec::new();
        if trouble && is_faulty && number % SPOILT == 0 {
            let health = backend.health();
            // Any number of bytes up to the middle of the answer, in turn.
            let part = 1 + (number / SPOILT * 7) as usize % (health.len() / 2);
            bytes.extend_from_slice(&health[..part]);
            noted.add(format!(
                "{} sends bytes that are no response before its answer to {}: {:?}",
                backend.id,
                request.id(),
                String::from_utf8_lossy(&health[..part])
            ));
        }
        bytes.extend(backend.answer(status, request));
        noted.add(format!("{} ran {} and answers {status}", backend.id, request.id()));
        conn.send(&bytes).is_ok()
    };
    let work: Arc<crate::site::Work> = Arc::new(work);
    let backends: Vec<_> = (0..6)
        .map(|n| Backend::start(10 + n, &format!("i-{n}"), "desk", &store, Arc::clone(&work)))
        .collect();
    let gateway = Gateway::start(root, 40, "edge-a-1", "a", store_addr);
    if !gateway.wait_ready() {
        return Err("the gateway is not ready".into());
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, addr) = (record.clone(), gateway.callers);
            thread::spawn(move || requests(&record, addr, client))
        })
        .collect();
    let mut broken = Vec::new();
    let (mut successes, mut failures) = (0, 0);
    for client in clients {
        let seen = client.join().map_err(|_| "a client failed".to_owned())??;
        broken.extend(seen.broken);
        successes += seen.successes;
        failures += seen.failures;
    }
    record.add(format!(
        "{successes} successes, {failures} failures; {} successes for what the backend had answered with 500",
        broken.len()
    ));
    drop(backends);
    match successes {
        0 => Err("no request was served".into()),
        _ => Ok(broken),
    }
}

#[derive(Default)]
struct Seen {
    broken: Vec<String>,
    successes: u32,
    failures: u32,
}

fn requests(record: &Record, addr: std::net::SocketAddr, client: u64) -> Result<Seen, String> {
    let limit = Duration::from_secs(3);
    let mut seen = Seen::default();
    let mut kept = None;
    for number in 0..REQUESTS {
        let mut conn = match kept.take() {
            Some(conn) => conn,
            None => Conn::open(addr, limit).map_err(|error| error.to_string())?,
        };
        let id = format!("s{client}-{number}");
        let unacceptable = (client + number) % UNACCEPTABLE == 0;
        let body = match unacceptable {
            true => "unacceptable seat",
            false => "seat",
        };
        let request = format!(
            "POST /seats/confirm HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\n\
             Request-Deadline: 2000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        conn.send(request.as_bytes()).map_err(|error| error.to_string())?;
        record.add(format!("client {client} sends {id}: {body}"));
        let Ok(answer) = conn.message(Instant::now() + limit, false) else {
            record.add(format!("client {client} gets no answer for {id}"));
            seen.failures += 1;
            continue;
        };
        record.add(format!("client {client} gets for {id}: {} {:?}", answer.start, answer.fields));
        let success = (200..300).contains(&answer.status());
        match success {
            true => seen.successes += 1,
            false => seen.failures += 1,
        }
        if success && unacceptable {
            let fields = &answer.fields;
            seen.broken.push(format!("{id} got {:?} where the backend had answered 500: {fields:?}", answer.start));
        }
        if !answer.closes() {
            kept = Some(conn);
        }
        thread::sleep(Duration::from_millis(30));
    }
    Ok(seen)
}
