//! MIXED: the gateway's own answer to a HEAD request has a body, so that the next answer on the connection
//! begins with bytes that are no answer.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{configuration, route, Backend, Conn, Gateway, Record, Store, CONFIG};
use crate::Verdict;

/// The bound `ConfigApply` of the settings, doubled: all VMs have the new version by then.
const APPLIED: Duration = Duration::from_secs(4);
/// How many clients send how many pairs of requests after the change.
const CLIENTS: u32 = 8;
const PAIRS: u32 = 25;

pub fn run(root: &Path, record_path: &Path, trouble: bool) -> Verdict {
    let record = Record::new();
    let verdict = play(root, &record, trouble);
    record.write(record_path);
    verdict
}

fn play(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let (store, store_addr) = Store::start(2);
    let look = route("r-look", "/look/", "safe", "looks", 2);
    let seats = route("r-seats", "/seats/", "safe", "looks", 2);
    let config = |version, routes: &[String]| configuration(version, routes, &["looks"]);
    store.put(CONFIG, "config", &config(3, &[look.clone(), seats.clone()]));
    let noted = record.clone();
    let work = move |backend: &Backend, request: &crate::site::Message, conn: &mut Conn| {
        noted.add(format!("{} runs {} {}", backend.id, request.id(), request.start));
        thread::sleep(Duration::from_millis(20));
        conn.send(&backend.answer("200 OK", request)).is_ok()
    };
    let work: Arc<crate::site::Work> = Arc::new(work);
    let backends: Vec<_> = (0..4)
        .map(|n| Backend::start(10 + n, &format!("i-{n}"), "looks", &store, Arc::clone(&work)))
        .collect();
    let gateway = Gateway::start(root, 40, "edge-a-1", "a", store_addr);
    if !gateway.wait_ready() {
        return Err("the gateway is not ready".into());
    }
    if trouble {
        store.put(CONFIG, "config", &config(5, &[look]));
        record.add("the operator sends version r5, without the route /seats/; the store acknowledges it");
    }
    thread::sleep(APPLIED);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, addr) = (record.clone(), gateway.callers);
            thread::spawn(move || pairs(&record, addr, client))
        })
        .collect();
    let mut broken = Vec::new();
    let mut served = 0;
    for client in clients {
        let (seen, count) = client.join().map_err(|_| "a client failed".to_owned())??;
        broken.extend(seen);
        served += count;
    }
    record.add(format!("{served} GET requests got an answer; {} were preceded by other bytes", broken.len()));
    drop(backends);
    match served {
        0 if broken.is_empty() => Err("no GET request was answered".into()),
        _ => Ok(broken),
    }
}

/// Sends pairs of requests on kept connections, the second one when the first is answered: HEAD on the
/// route that is removed, and GET on the one that stays. Returns what broke the rule, and how many GET
/// requests were answered in the protocol.
fn pairs(
    record: &Record,
    addr: std::net::SocketAddr,
    client: u32,
) -> Result<(Vec<String>, u32), String> {
    let limit = Duration::from_secs(2);
    let mut broken = Vec::new();
    let mut served = 0;
    let mut kept = None;
    for pair in 0..PAIRS {
        let mut conn = match kept.take() {
            Some(conn) => conn,
            None => Conn::open(addr, limit).map_err(|error| error.to_string())?,
        };
        let (first, second) = (format!("h{client}-{pair}"), format!("g{client}-{pair}"));
        let head = request("HEAD", "/seats/row-1", &first);
        conn.send(head.as_bytes()).map_err(|error| error.to_string())?;
        record.add(format!("client {client} sends {first} HEAD /seats/row-1"));
        let until = Instant::now() + limit;
        let answer = conn.message(until, true).map_err(|error| error.to_string())?;
        record.add(format!("client {client} gets for {first}: {}", answer.start));
        if answer.id() != first || answer.closes() {
            continue;
        }
        let get = request("GET", "/look/7", &second);
        conn.send(get.as_bytes()).map_err(|error| error.to_string())?;
        record.add(format!("client {client} sends {second} GET /look/7 on the same connection"));
        let answer = conn.message(Instant::now() + limit, false);
        match answer {
            Ok(answer) if answer.status() > 0 && answer.id() == second => {
                served += 1;
                record.add(format!("client {client} gets for {second}: {}", answer.start));
                if !answer.closes() {
                    kept = Some(conn);
                }
            }
            Ok(answer) => {
                let line = format!("for {second} come bytes that are no answer: {:?}", answer.start);
                record.add(format!("client {client}: {line}"));
                broken.push(line);
            }
            Err(error) => record.add(format!("client {client} gets nothing for {second}: {error}")),
        }
    }
    Ok((broken, served))
}

fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: 1500\r\n\r\n"
    )
}
