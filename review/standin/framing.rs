//! Some backends spoil 2% of their answers in spells: a complete, empty body in chunks, with a
//! `Content-Length` beside `Transfer-Encoding`.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Spoil;
use crate::http::Conn;
use crate::site::{request_line, Outcome, Site};

const BACKENDS: usize = 6;
/// One in this many answers of a faulty backend is spoiled.
const SPOILED_EVERY: usize = 50;
const WORK_MS: u64 = 88;
const CLIENTS: usize = 4;
/// Requests that a client sends before it has an answer.
const PIPELINED: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(45);
const DEADLINE_MS: u64 = 2_500;

/// What a client has got for a request.
struct Got {
    id: String,
    at_ms: u128,
    /// The status, the id in the head and the body; nothing if there was no answer.
    answer: Option<(u16, String, String)>,
}

pub fn run(trouble: bool) -> Outcome {
    let mut lines = vec![format!("trouble: {trouble}")];
    let Some(site) = Site::start("framing", BACKENDS) else {
        return Outcome::not_run(lines);
    };
    for backend in &site.backends {
        backend.state.work_ms.store(WORK_MS, Ordering::SeqCst);
    }
    let until = Instant::now() + RUN_TIME;
    if trouble {
        site.spoil_in_spells(Spoil::EmptyChunked, SPOILED_EVERY, until);
    }
    let mut threads = Vec::new();
    for vm in &site.vms {
        for client in 0..CLIENTS {
            let (addr, name, started) = (vm.callers, vm.name.clone(), site.started);
            threads.push(thread::spawn(move || {
                read_again(addr, &name, client, started, until)
            }));
        }
    }
    let all: Vec<Got> = threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .flatten()
        .collect();
    let spoiled = site.spoiled();
    let runs = site.runs();
    let mut requests = Vec::new();
    let (mut served, mut wrong, mut unanswered) = (0, 0, 0);
    for got in &all {
        let status = got.answer.as_ref().map(|(status, ..)| *status);
        let ran_at = runs.get(&got.id).map_or(&[][..], |at| at);
        requests.push(request_line(got.at_ms, &got.id, status, ran_at));
        let Some((status, id, body)) = &got.answer else {
            unanswered += 1;
            continue;
        };
        let right = *body == format!("result of {}\n", got.id)
            || body.is_empty() && spoiled.contains(&got.id);
        served += usize::from(*status == 200);
        if *status == 200 && (*id != got.id || !right) {
            wrong += 1;
            lines.push(format!(
                "{} ms: {} gets 200 with the id {id} and the body {body:?}",
                got.at_ms, got.id
            ));
        }
    }
    lines.push(format!("{} requests, {served} answered with 200, {unanswered} without an answer, {} answers spoiled", all.len(), spoiled.len()));
    site.check_ends(&mut lines);
    lines.push(format!(
        "successes with a body that is not the backend's: {wrong}; MIXED broken: {}",
        wrong > 0
    ));
    Outcome {
        lines,
        requests,
        broken: wrong > 0,
        ran: served > 0,
    }
}

/// Sends a few reads at a time, on a connection as long as it lasts.
fn read_again(
    addr: SocketAddr,
    vm: &str,
    client: usize,
    started: Instant,
    until: Instant,
) -> Vec<Got> {
    let mut all = Vec::new();
    let mut conn: Option<Conn> = None;
    while Instant::now() < until {
        let Some(mut current) = conn.take().or_else(|| open(addr)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let at_ms = started.elapsed().as_millis();
        let ids: Vec<String> = (0..PIPELINED)
            .map(|n| format!("{vm}-{client}-{}", all.len() + n))
            .collect();
        let requests: Vec<String> = ids.iter().map(|id| format!("GET /safe/a HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: {DEADLINE_MS}\r\n\r\n")).collect();
        let mut intact = current.send(requests.concat().as_bytes()).is_ok();
        for id in ids {
            let answer = if intact { answer(&mut current) } else { None };
            intact = answer.is_some();
            all.push(Got { id, at_ms, answer });
        }
        if intact {
            conn = Some(current);
        }
    }
    all
}

fn open(addr: SocketAddr) -> Option<Conn> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    Some(Conn::new(stream))
}

fn answer(conn: &mut Conn) -> Option<(u16, String, String)> {
    let head = conn.head().ok()??;
    let body = conn.body(&head).ok()?;
    let id = head.field("attempt-id").unwrap_or("").to_owned();
    Some((
        head.status(),
        id,
        String::from_utf8_lossy(&body).into_owned(),
    ))
}
