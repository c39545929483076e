//! DRAIN: while a backend drains, another writer puts an entry without `born` under its key. The gateway takes
//! it for an entry that names a backend, and sends requests to the one that drains.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{
    configuration, lock, route, Backend, Conn, Gateway, Message, Record, Store, Work, CONFIG,
    SERVERS,
};
use crate::Verdict;

/// The bound `Drain` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// How long after the drain is acknowledged the other writer writes, and the backend exits.
const ODD_AFTER: Duration = Duration::from_millis(1_600);
const EXIT_AFTER: Duration = Duration::from_millis(2_800);
/// The interval at which a backend writes its entry (`Heartbeat` of the settings).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Backends of the service, of which one leaves (`scale_in` of the site file: share = 0.13).
const BACKENDS: u8 = 8;
const CLIENTS: u32 = 12;

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
    let gone = Arc::new(AtomicBool::new(false));
    let (noted, exited) = (record.clone(), Arc::clone(&gone));
    let work: Arc<Work> = Arc::new(move |backend: &Backend, request: &Message, conn: &mut Conn| {
        noted.add(format!("{} runs {}", backend.id, request.id()));
        thread::sleep(Duration::from_millis(120));
        let has_exited = backend.id == "i-0" && exited.load(Ordering::SeqCst);
        !has_exited && conn.send(&backend.answer("200 OK", request)).is_ok()
    });
    let backends: Vec<_> = (0..BACKENDS)
        .map(|n| Backend::start(10 + n, &format!("i-{n}"), "agenda", &store, Arc::clone(&work)))
        .collect();
    let gateway = Gateway::start(root, 40, "edge-a-1", "a", store_addr);
    if !gateway.wait_ready() {
        return Err("the gateway is not ready".into());
    }
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, addr, over) = (record.clone(), gateway.callers, Arc::clone(&over));
            thread::spawn(move || book(&record, addr, client, &over))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let leaving = &backends[0];
    leaving.announce(&store, "draining");
    let acknowledged = Instant::now();
    let (beating, shared, stopped) = (Arc::clone(leaving), store.clone(), Arc::clone(&gone));
    thread::spawn(move || loop {
        thread::sleep(HEARTBEAT);
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        beating.announce(&shared, "draining");
    });
    record.add("the store acknowledges that i-0 is draining");
    thread::sleep(ODD_AFTER);
    if trouble {
        let odd = format!(
            "{{\"Address\":\"{}\",\"Info\":{{\"Service\":\"agenda\",\"Version\":\"v1\",\"Zone\":\"a\",\"Slots\":3}},\
             \"Status\":{{\"State\":\"ready\",\"SeqNo\":7,\"WarmupLeft\":\"0ms\"}}}}",
            leaving.addr
        );
        store.put(SERVERS, "i-0", &odd);
        record.add(format!("another writer writes under i-0: {odd}"));
    }
    thread::sleep(EXIT_AFTER - ODD_AFTER);
    gone.store(true, Ordering::SeqCst);
    record.add("i-0 exits");
    thread::sleep(Duration::from_secs(1));
    over.store(true, Ordering::SeqCst);
    let mut lost = 0;
    let mut served = 0;
    for client in clients {
        let (ok, failed) = client.join().map_err(|_| "a client failed".to_owned())?;
        served += ok;
        lost += failed;
    }
    let late: Vec<String> = lock(&leaving.runs)
        .iter()
        .filter(|(_, at)| *at > acknowledged + DRAIN)
        .map(|(id, at)| {
            let after = (*at - acknowledged).as_millis();
            format!("{id} reached i-0 {after} ms after the ack of its draining")
        })
        .collect();
    record.add(format!("{served} bookings served, {lost} not; {} reached i-0 too late", late.len()));
    match served {
        0 => Err("no booking was served".into()),
        _ => Ok(late),
    }
}

/// Sends bookings on a kept connection, one after the other. Returns how many were served, and how many not.
fn book(record: &Record, addr: SocketAddr, client: u32, over: &AtomicBool) -> (u32, u32) {
    let (mut served, mut failed) = (0, 0);
    let mut kept: Option<Conn> = None;
    let mut number = 0;
    while !over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("b{client}-{number}");
        let text = format!(
            "POST /slot/9 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: 1000\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let mut ask = || {
            let limit = Duration::from_secs(2);
            let mut conn = kept.take().map_or_else(|| Conn::open(addr, limit), Ok)?;
            conn.send(text.as_bytes())?;
            let answer = conn.message(Instant::now() + limit, false)?;
            if !answer.closes() {
                kept = Some(conn);
            }
            Ok::<_, std::io::Error>(answer.start)
        };
        let answer = ask().unwrap_or_else(|error| error.to_string());
        match answer.contains(" 200 ") {
            true => served += 1,
            false => failed += 1,
        }
        record.add(format!("client {client} gets for {id}: {answer}"));
        thread::sleep(Duration::from_millis(30));
    }
    (served, failed)
}
