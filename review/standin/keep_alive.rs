//! In spells, some backends state a very long timeout for idle connections in 2% of their answers.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Spoil;
use crate::http::Conn;
use crate::site::{request_line, Outcome, Site};

const BACKENDS: usize = 6;
const WORK_MS: u64 = 290;
const CLIENTS: usize = 6;
const RUN_TIME: Duration = Duration::from_secs(45);
const DEADLINE_MS: u64 = 3_000;
/// One in this many answers of a faulty backend states the long timeout.
const SPOILED_EVERY: usize = 50;

struct Sent {
    id: String,
    vm: String,
    at_ms: u128,
    kept: bool,
    status: Option<u16>,
}

pub fn run(trouble: bool) -> Outcome {
    let mut lines = vec![format!("trouble: {trouble}")];
    let Some(site) = Site::start("keep-alive", BACKENDS) else {
        return Outcome::not_run(lines);
    };
    for backend in &site.backends {
        backend.state.work_ms.store(WORK_MS, Ordering::SeqCst);
        *backend.state.fields.lock().unwrap() = "Keep-Alive: timeout=10\r\n".to_owned();
    }
    let until = Instant::now() + RUN_TIME;
    if trouble {
        site.spoil_in_spells(Spoil::LongKeepAlive, SPOILED_EVERY, until);
    }
    let mut threads = Vec::new();
    for vm in &site.vms {
        for client in 0..CLIENTS {
            let (addr, name, started) = (vm.callers, vm.name.clone(), site.started);
            threads.push(thread::spawn(move || {
                call_again(addr, &name, client, started, until)
            }));
        }
    }
    let sent: Vec<Sent> = threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .flatten()
        .collect();
    let arrived = site.arrived_at_sound();
    let runs = site.runs();
    let mut requests = Vec::new();
    for sent in &sent {
        let ran_at = runs.get(&sent.id).map_or(&[][..], |at| at);
        requests.push(request_line(sent.at_ms, &sent.id, sent.status, ran_at));
    }
    let mut lost_most = 0;
    for vm in &site.vms {
        let own: Vec<&Sent> = sent.iter().filter(|sent| sent.vm == vm.name).collect();
        let unanswered: Vec<&&Sent> = own.iter().filter(|sent| sent.status.is_none()).collect();
        let lost: Vec<&&&Sent> = unanswered
            .iter()
            .filter(|s| s.kept && arrived.contains(&s.id))
            .collect();
        for sent in &lost {
            lines.push(format!(
                "{} ms: {} passed on, no answer",
                sent.at_ms, sent.id
            ));
        }
        let served = own.iter().filter(|sent| sent.status == Some(200)).count();
        lines.push(format!("{}: {} requests, {served} answered with 200, {} without an answer, {} of these passed on to sound backends from a kept connection", vm.name, own.len(), unanswered.len(), lost.len()));
        lost_most = lost_most.max(lost.len());
    }
    lines.push(format!(
        "{} answers with the long timeout",
        site.spoiled().len()
    ));
    let fault = site.check_ends(&mut lines);
    lines.push(format!(
        "Fault broken: {fault}; LOST broken: {}",
        lost_most > 3
    ));
    Outcome {
        lines,
        requests,
        broken: fault || lost_most > 3,
        ran: true,
    }
}

/// Sends one request after the other, on a connection as long as it lasts.
fn call_again(
    addr: SocketAddr,
    vm: &str,
    client: usize,
    started: Instant,
    until: Instant,
) -> Vec<Sent> {
    let mut all = Vec::new();
    let mut conn: Option<Conn> = None;
    while Instant::now() < until {
        let kept = conn.is_some();
        let mut current = match conn.take().or_else(|| open(addr)) {
            Some(current) => current,
            None => {
                thread::sleep(Duration::from_millis(100));
                continue;
            }
        };
        let id = format!("{vm}-{client}-{}", all.len());
        let at_ms = started.elapsed().as_millis();
        let status = call(&mut current, &id);
        all.push(Sent {
            id,
            vm: vm.to_owned(),
            at_ms,
            kept,
            status,
        });
        if status == Some(200) {
            conn = Some(current);
        } else {
            thread::sleep(Duration::from_millis(100));
        }
    }
    all
}

fn open(addr: SocketAddr) -> Option<Conn> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    Some(Conn::new(stream))
}

fn call(conn: &mut Conn, id: &str) -> Option<u16> {
    let text = format!("POST /unsafe/a HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbody");
    conn.send(text.as_bytes()).ok()?;
    let head = conn.head().ok()??;
    conn.body(&head).ok()?;
    Some(head.status())
}
