//! Uploads in chunks, all within `MaxBodyBytes`, by a usual number of clients and by 1.65 times as
//! many (a burst).

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::site::{Outcome, Site};

const BACKENDS: usize = 15;
const WORK_MS: u64 = 260;
/// Clients that upload to a VM at the same time, usually and in a burst.
const USUAL: usize = 10;
const BURST: usize = 17;
/// Every second round is a burst.
const ROUNDS: usize = 10;
const ROUND_TIME: Duration = Duration::from_secs(5);
/// Size of an upload, and the time over which a client sends it.
const BODY: usize = 8 << 20;
const SEND_TIME: Duration = Duration::from_millis(2_200);
const CHUNK: usize = 128 << 10;
const DEADLINE_MS: u64 = 3_000;

struct Upload {
    id: String,
    vm: String,
    sent_ms: u128,
    ended_ms: u128,
    /// Whether the connection had carried an earlier request.
    kept: bool,
    /// The status of the answer; nothing if the connection ended without one.
    status: Option<u16>,
}

pub fn run(trouble: bool) -> Outcome {
    let mut lines = vec![format!("trouble: {trouble}")];
    let Some(site) = Site::start("uploads", BACKENDS) else {
        return Outcome::not_run(lines);
    };
    for backend in &site.backends {
        backend.state.work_ms.store(WORK_MS, Ordering::SeqCst);
    }
    let mut uploads = Vec::new();
    for round in 0..ROUNDS {
        let round_end = Instant::now() + ROUND_TIME;
        let clients = if trouble && round % 2 == 0 {
            BURST
        } else {
            USUAL
        };
        if !site
            .vms
            .iter()
            .all(|vm| vm.wait_ready(Duration::from_secs(10)))
        {
            return Outcome::not_run(lines);
        }
        let mut threads = Vec::new();
        for vm in &site.vms {
            for client in 0..clients {
                let (addr, name) = (vm.callers, vm.name.clone());
                let started = site.started;
                let id = format!("up-{name}-{round}-{client}");
                threads.push(thread::spawn(move || upload(addr, name, id, started)));
            }
        }
        uploads.extend(threads.into_iter().filter_map(|thread| thread.join().ok()));
        thread::sleep(round_end.saturating_duration_since(Instant::now()));
    }
    let arrived = site.arrived();
    let runs = site.runs();
    let mut requests = Vec::new();
    let mut lost_most = 0;
    for vm in &site.vms {
        let own: Vec<&Upload> = uploads
            .iter()
            .filter(|upload| upload.vm == vm.name)
            .collect();
        for upload in &own {
            let status = upload
                .status
                .map_or("no answer".to_owned(), |status| status.to_string());
            let passed = if arrived.contains(&upload.id) {
                "passed on"
            } else {
                "not passed on"
            };
            let ran = runs.get(&upload.id).map_or("not run".to_owned(), |at| {
                format!("ran at {}", at.join(" and "))
            });
            requests.push(format!(
                "{} ms to {} ms: {} kept={} {passed}, {ran}: {status}",
                upload.sent_ms, upload.ended_ms, upload.id, upload.kept
            ));
        }
        let lost = own
            .iter()
            .filter(|u| {
                u.kept
                    && u.status.is_none()
                    && arrived.contains(&u.id)
                    && u.ended_ms - u.sent_ms < u128::from(DEADLINE_MS)
            })
            .count();
        let unanswered = own.iter().filter(|u| u.status.is_none()).count();
        lines.push(format!("{}: {} uploads, {unanswered} without an answer, {lost} of these passed on from a kept connection", vm.name, own.len()));
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

/// Sends a short upload, and then one in chunks on the same connection.
fn upload(addr: SocketAddr, vm: String, id: String, started: Instant) -> Upload {
    let mut result = Upload {
        id: id.clone(),
        vm,
        sent_ms: 0,
        ended_ms: 0,
        kept: false,
        status: None,
    };
    if let Ok(stream) = TcpStream::connect(addr) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let mut conn = Conn::new(stream);
        let first = format!("POST /upload/a HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}-first\r\nRequest-Deadline: {DEADLINE_MS}\r\nContent-Length: 5\r\n\r\nfirst");
        result.kept = conn.send(first.as_bytes()).is_ok() && answer(&mut conn).is_some();
        result.sent_ms = started.elapsed().as_millis();
        result.status = send_in_chunks(&mut conn, &id).and_then(|()| answer(&mut conn));
    }
    result.ended_ms = started.elapsed().as_millis();
    result
}

fn send_in_chunks(conn: &mut Conn, id: &str) -> Option<()> {
    let head = format!("POST /upload/b HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nRequest-Deadline: {DEADLINE_MS}\r\nTransfer-Encoding: chunked\r\n\r\n");
    conn.send(head.as_bytes()).ok()?;
    let chunk = [
        format!("{CHUNK:x}\r\n").into_bytes(),
        vec![b'x'; CHUNK],
        b"\r\n".to_vec(),
    ]
    .concat();
    let began = Instant::now();
    let count = BODY / CHUNK;
    for index in 0..count {
        conn.send(&chunk).ok()?;
        let due = began + SEND_TIME * (index as u32 + 1) / count as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    conn.send(b"0\r\n\r\n").ok()
}

fn answer(conn: &mut Conn) -> Option<u16> {
    let head = conn.head().ok()??;
    conn.body(&head).ok()?;
    Some(head.status())
}
