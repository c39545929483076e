//! Large answers to pipelined reads, by a usual number of clients and by 1.7 times as many (a burst).
//! Each client reads as fast as its part of the VM's link allows.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::site::{Outcome, Site};

const BACKENDS: usize = 16;
const WORK_MS: u64 = 88;
/// Clients that read from a VM at the same time, usually and in a burst.
const USUAL: usize = 10;
const BURST: usize = 17;
const ROUNDS: usize = 6;
/// Requests that a client sends before it has an answer, and the size of an answer.
const PIPELINED: usize = 4;
const BODY: usize = 15 << 18;
/// How fast a client reads. 17 clients together use 860 Mbit/s.
const BYTES_PER_S: f64 = 6.0 * 1_048_576.0;
const DEADLINE_MS: u64 = 2_500;
/// Receive buffer of a client, in bytes.
const WINDOW: i32 = 65_536;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

struct Fetch {
    ids: Vec<String>,
    vm: String,
    kept: bool,
    sent_ms: u128,
    ended_ms: u128,
    /// Number of whole answers.
    whole: usize,
    /// Statuses of the answers.
    statuses: Vec<u16>,
}

pub fn run(trouble: bool) -> Outcome {
    let mut lines = vec![format!("trouble: {trouble}")];
    let Some(site) = Site::start("downloads", BACKENDS) else {
        return Outcome::not_run(lines);
    };
    for backend in &site.backends {
        backend.state.work_ms.store(WORK_MS, Ordering::SeqCst);
    }
    let clients = if trouble { BURST } else { USUAL };
    let mut fetches = Vec::new();
    for round in 0..ROUNDS {
        if !site
            .vms
            .iter()
            .all(|vm| vm.wait_ready(Duration::from_secs(10)))
        {
            return Outcome::not_run(lines);
        }
        for backend in &site.backends {
            backend.state.body_len.store(BODY, Ordering::SeqCst);
        }
        let mut threads = Vec::new();
        for vm in &site.vms {
            for client in 0..clients {
                let (addr, name, started) = (vm.callers, vm.name.clone(), site.started);
                threads.push(thread::spawn(move || {
                    fetch(addr, name, round, client, started)
                }));
            }
        }
        fetches.extend(threads.into_iter().filter_map(|thread| thread.join().ok()));
        thread::sleep(Duration::from_secs(1));
    }
    let arrived = site.arrived();
    let runs = site.runs();
    let mut requests = Vec::new();
    let mut lost_most = 0;
    for vm in &site.vms {
        let mut lost = 0;
        let mut whole = 0;
        for fetch in fetches.iter().filter(|fetch| fetch.vm == vm.name) {
            let missing = &fetch.ids[fetch.whole..];
            let passed = missing.iter().filter(|id| arrived.contains(id)).count();
            lost += if fetch.kept { passed } else { 0 };
            whole += fetch.whole;
            let ran = fetch.ids.iter().filter(|id| runs.contains_key(*id)).count();
            requests.push(format!("{} ms to {} ms: {} and {} more, kept={}: {ran} ran, {} whole answers {:?}, {passed} passed on without a whole answer", fetch.sent_ms, fetch.ended_ms, fetch.ids[0], PIPELINED - 1, fetch.kept, fetch.whole, fetch.statuses));
        }
        lines.push(format!("{}: {whole} whole answers, {lost} requests passed on from a kept connection without one", vm.name));
        lost_most = lost_most.max(lost);
    }
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

/// Sends several reads on a kept connection, and reads the answers.
fn fetch(addr: SocketAddr, vm: String, round: usize, client: usize, started: Instant) -> Fetch {
    let ids: Vec<String> = (0..PIPELINED)
        .map(|n| format!("get-{vm}-{round}-{client}-{n}"))
        .collect();
    let mut result = Fetch {
        ids,
        vm,
        kept: false,
        sent_ms: 0,
        ended_ms: 0,
        whole: 0,
        statuses: Vec::new(),
    };
    if let Ok(stream) = TcpStream::connect(addr) {
        let length = size_of::<i32>() as u32;
        unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &WINDOW, length) };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let mut conn = Conn::new(stream);
        let first = format!("GET /none/ HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {}-first\r\nRequest-Deadline: {DEADLINE_MS}\r\n\r\n", result.ids[0]);
        result.kept = conn.send(first.as_bytes()).is_ok()
            && conn
                .head()
                .ok()
                .flatten()
                .is_some_and(|head| conn.body(&head).is_ok());
        result.sent_ms = started.elapsed().as_millis();
        let requests: Vec<String> = result.ids.iter().map(|id| format!("GET /safe/a HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: {DEADLINE_MS}\r\n\r\n")).collect();
        if conn.send(requests.concat().as_bytes()).is_ok() {
            while result.whole < PIPELINED && read_answer(&mut conn, &mut result).is_some() {
                result.whole += 1;
            }
        }
    }
    result.ended_ms = started.elapsed().as_millis();
    result
}

/// Reads an answer at the client's pace. Returns nothing if it is not whole.
fn read_answer(conn: &mut Conn, result: &mut Fetch) -> Option<()> {
    let head = conn.head().ok()??;
    result.statuses.push(head.status());
    let length: usize = head.field("content-length")?.parse().ok()?;
    let mut read = conn.take_buffered(length);
    let began = Instant::now();
    let mut chunk = vec![0; 65_536];
    while read < length {
        let limit = chunk.len().min(length - read);
        let count = conn
            .stream
            .read(&mut chunk[..limit])
            .ok()
            .filter(|count| *count > 0)?;
        read += count;
        let due = began + Duration::from_secs_f64(read as f64 / BYTES_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    Some(())
}
