//! In spells, some backends send the first bytes of a refusal before 3% of their answers on kept
//! connections.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Spoil;
use crate::http::Conn;
use crate::site::{request_line, Outcome, Site};

const BACKENDS: usize = 6;
/// One in this many answers of a faulty backend on kept connections follows such bytes.
const REPEATED_EVERY: usize = 34;
const WORK_MS: u64 = 150;
const CLIENTS: usize = 6;
const RUN_TIME: Duration = Duration::from_secs(45);
const DEADLINE_MS: u64 = 3_000;
/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

struct Sent {
    id: String,
    at_ms: u128,
    status: Option<u16>,
}

pub fn run(trouble: bool) -> Outcome {
    let mut lines = vec![format!("trouble: {trouble}")];
    let Some(site) = Site::start("repeated-refusal", BACKENDS) else {
        return Outcome::not_run(lines);
    };
    for backend in &site.backends {
        backend.state.work_ms.store(WORK_MS, Ordering::SeqCst);
    }
    let until = Instant::now() + RUN_TIME;
    if trouble {
        site.spoil_in_spells(Spoil::ExtraBytes, REPEATED_EVERY, until);
    }
    let mut threads = Vec::new();
    for vm in &site.vms {
        for client in 0..CLIENTS {
            let (addr, name, started) = (vm.callers, vm.name.clone(), site.started);
            threads.push(thread::spawn(move || {
                send_again(addr, &name, client, started, until)
            }));
        }
    }
    let all: Vec<Sent> = threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .flatten()
        .collect();
    let runs = site.runs();
    let refusals: usize = site
        .backends
        .iter()
        .map(|backend| backend.ids("refuses").len())
        .sum();
    let mut requests = Vec::new();
    let extra = site.spoiled().len();
    let (mut twice, mut refused) = (0, 0);
    for sent in &all {
        let at = runs.get(&sent.id).map_or(&[][..], |at| at);
        let line = request_line(sent.at_ms, &sent.id, sent.status, at);
        requests.push(line.clone());
        let promise = sent.status.is_some_and(|status| PROMISES.contains(&status));
        twice += usize::from(at.len() > 1);
        refused += usize::from(promise && !at.is_empty());
        if at.len() > 1 || promise && !at.is_empty() {
            lines.push(line);
        }
    }
    let served = all.iter().filter(|sent| sent.status == Some(200)).count();
    lines.push(format!("{} unsafe requests, {served} answered with 200; backends refused {refusals} when full, and sent extra bytes {extra} times", all.len()));
    site.check_ends(&mut lines);
    lines.push(format!(
        "ran more than once: {twice}; TWICE broken: {}",
        twice > 0
    ));
    lines.push(format!(
        "answered with a promise although it ran: {refused}; REFUSED broken: {}",
        refused > 0
    ));
    Outcome {
        lines,
        requests,
        broken: twice > 0,
        ran: served > 0,
    }
}

/// Sends one unsafe request after the other, each on a connection of its own.
fn send_again(
    addr: SocketAddr,
    vm: &str,
    client: usize,
    started: Instant,
    until: Instant,
) -> Vec<Sent> {
    let mut all = Vec::new();
    while Instant::now() < until {
        let id = format!("{vm}-{client}-{}", all.len());
        let at_ms = started.elapsed().as_millis();
        let status = send(addr, &id);
        all.push(Sent { id, at_ms, status });
        thread::sleep(Duration::from_millis(20));
    }
    all
}

fn send(addr: SocketAddr, id: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut conn = Conn::new(stream);
    let text = format!("POST /unsafe/a HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbody");
    conn.send(text.as_bytes()).ok()?;
    let head = conn.head().ok()??;
    conn.body(&head).ok()?;
    Some(head.status())
}
