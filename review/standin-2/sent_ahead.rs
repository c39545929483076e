//! RECOVER: a few clients send many requests ahead and do not read the answers. The process opens so many
//! connections to backends that it has no descriptor left for a new caller.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::polled;
use crate::site::{configuration, lock, route, Conn, Gateway, Record, Store, CONFIG};
use crate::Verdict;

/// The bound `Contact` of the settings.
const CONTACT: Duration = Duration::from_secs(3);
/// So many clients must have tried in that time.
const TRYING: usize = 7;
/// The services of the site, with the backends of each and their work in milliseconds.
const SERVICES: [(&str, u8, u64); 4] = [
    ("fichas", 11, 90),
    ("agenda", 6, 120),
    ("estoque", 11, 220),
    ("alerta", 6, 36),
];
/// The clients that send ahead, and how many requests each of them sends.
const AHEAD_CLIENTS: u32 = 150;
const AHEAD: u32 = 200;
/// How many other clients try on new connections, one after the other, and the pause between them: the part
/// of the site's requests that one of 16 machines gets.
const ORDINARY: u32 = 200;
const PAUSE: Duration = Duration::from_millis(90);
/// How long an ordinary client waits for its answer.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// One try of an ordinary client on a new connection.
#[derive(Clone)]
struct Try {
    began: Instant,
    answered: Option<Instant>,
}

pub fn run(root: &Path, record_path: &Path, trouble: bool) -> Verdict {
    let record = Record::new();
    let verdict = play(root, &record, trouble);
    record.write(record_path);
    verdict
}

fn play(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let (store, store_addr) = Store::start(2);
    let routes = [
        route("r-ticket", "/ticket/", "safe", "fichas", 2),
        route("r-slot", "/slot/", "unsafe", "agenda", 2),
        route("r-parts", "/parts/", "safe", "estoque", 2),
        route("r-recall", "/recall/", "safe", "alerta", 2),
    ];
    let names = SERVICES.map(|(name, ..)| name);
    store.put(CONFIG, "config", &configuration(3, &routes, &names));
    let mut backends = Vec::new();
    for (service, count, work) in SERVICES {
        for number in 0..count {
            let host = 10 + backends.len() as u8;
            let id = format!("i-{service}-{number}");
            let work = Duration::from_millis(work);
            backends.push(polled::start(host, &id, service, work, &store, record));
        }
    }
    let gateway = Gateway::start(root, 120, "edge-a-1", "a", store_addr);
    if !gateway.wait_ready() {
        return Err("the gateway is not ready".into());
    }
    let over = Arc::new(AtomicBool::new(false));
    let ready = watch_readiness(record, gateway.readiness, Arc::clone(&over))?;
    thread::sleep(Duration::from_secs(1));
    for client in 0..AHEAD_CLIENTS {
        let (record, addr, over) = (record.clone(), gateway.callers, Arc::clone(&over));
        thread::spawn(move || send_ahead(&record, addr, client, trouble, &over));
    }
    thread::sleep(Duration::from_secs(1));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let clients: Vec<_> = (0..ORDINARY)
        .map(|client| {
            thread::sleep(PAUSE);
            let (record, addr, tries) = (record.clone(), gateway.callers, Arc::clone(&tries));
            thread::spawn(move || ordinary(&record, addr, client, &tries))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    over.store(true, Ordering::SeqCst);
    let open: Vec<u64> =
        backends.iter().map(|counts| counts.most_open.load(Ordering::SeqCst)).collect();
    record.add(format!("the most connections of each backend: {open:?}"));
    let tries = lock(&tries).clone();
    let answered = tries.iter().filter(|one| one.answered.is_some()).count();
    record.add(format!("{answered} of {} ordinary clients got an answer", tries.len()));
    if answered == 0 {
        return Err("no ordinary client got an answer at any time".into());
    }
    let ready = lock(&ready).clone();
    Ok(silent_spans(record, &tries, &ready))
}

/// Asks for readiness on one kept connection, as the platform does once a second. Returns the times of the
/// answers with 200.
fn watch_readiness(
    record: &Record,
    addr: SocketAddr,
    over: Arc<AtomicBool>,
) -> Result<Arc<Mutex<Vec<Instant>>>, String> {
    let mut conn = Conn::open(addr, CONTACT).map_err(|error| error.to_string())?;
    let times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (record, seen) = (record.clone(), Arc::clone(&times));
    thread::spawn(move || {
        while !over.load(Ordering::SeqCst) {
            let until = Instant::now() + Duration::from_secs(1);
            let _ = conn.send(b"GET /-/ready HTTP/1.1\r\nHost: platform\r\n\r\n");
            match conn.message(until, false) {
                Ok(answer) => {
                    record.add(format!("readiness: {}", answer.start));
                    if answer.status() == 200 {
                        lock(&seen).push(Instant::now());
                    }
                }
                Err(error) => record.add(format!("readiness: {error}")),
            }
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    });
    Ok(times)
}

/// Sends all requests at once and reads nothing, or, without the disruption, each one when the one before
/// it is answered.
fn send_ahead(record: &Record, addr: SocketAddr, client: u32, trouble: bool, over: &AtomicBool) {
    let Ok(mut conn) = Conn::open(addr, CONTACT) else {
        return record.add(format!("client {client} finds no connection"));
    };
    let text = |number: u32| {
        let path = match number % 3 {
            0 => "/ticket/7",
            1 => "/parts/9",
            _ => "/recall/3",
        };
        request(path, &format!("a{client}-{number}"))
    };
    if trouble {
        let all: String = (0..AHEAD).map(text).collect();
        record.add(format!("client {client} sends {AHEAD} requests ahead, {} bytes", all.len()));
        // The gateway may stop reading, so that the rest is not sent.
        let _ = conn.stream.set_write_timeout(Some(CONTACT));
        let _ = conn.send(all.as_bytes());
        while !over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(100));
        }
        return;
    }
    for number in 0..AHEAD {
        let sent = conn.send(text(number).as_bytes());
        let answer = conn.message(Instant::now() + CONTACT, false);
        let closed = answer.map_or(true, |answer| answer.closes());
        if sent.is_err() || closed || over.load(Ordering::SeqCst) {
            return;
        }
    }
}

fn ordinary(record: &Record, addr: SocketAddr, client: u32, tries: &Mutex<Vec<Try>>) {
    let began = Instant::now();
    let id = format!("o{client}");
    let ask = || {
        let mut conn = Conn::open(addr, PATIENCE)?;
        let text = match client % 5 {
            0 => book(&id),
            1 => request("/parts/1", &id),
            2 => request("/recall/1", &id),
            _ => request("/ticket/1", &id),
        };
        conn.send(text.as_bytes())?;
        conn.message(began + PATIENCE, false)
    };
    let answer = ask();
    record.add(match &answer {
        Ok(answer) => format!("ordinary client {client} gets {} after {:?}", answer.start, began.elapsed()),
        Err(error) => format!("ordinary client {client} gets no answer in {:?}: {error}", began.elapsed()),
    });
    let answered = answer.is_ok().then(Instant::now);
    lock(tries).push(Try { began, answered });
}

/// Returns the spans of `CONTACT` in which at least `TRYING` clients tried and none that tried in it, or was
/// trying at its beginning, got an answer, although the machine said throughout that it is ready.
fn silent_spans(record: &Record, tries: &[Try], ready: &[Instant]) -> Vec<String> {
    let mut spans: Vec<String> = Vec::new();
    let mut from: Option<Instant> = None;
    let mut starts: Vec<Instant> = tries.iter().map(|one| one.began).collect();
    starts.sort();
    for start in starts {
        if from.is_some_and(|from| start < from + CONTACT) {
            continue;
        }
        let end = start + CONTACT;
        let within = |at: Instant| (start..end).contains(&at);
        let trying = tries.iter().filter(|one| within(one.began)).count();
        let answered = tries.iter().any(|one| one.answered.is_some_and(within));
        let said = ready.iter().filter(|at| within(**at)).count();
        if trying >= TRYING && !answered && said >= 2 {
            let line = format!(
                "for 3 s no new connection got an answer; {trying} clients tried, readiness said 200 {said} times"
            );
            record.add(line.clone());
            spans.push(line);
            from = Some(start);
        }
    }
    spans
}

/// A booking, which must not run twice.
fn book(id: &str) -> String {
    format!(
        "POST /slot/1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: 1500\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

fn request(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: 1500\r\n\r\n")
}
