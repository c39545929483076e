//! Backends that serve all their connections on one thread, for cases with thousands of connections.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{ip, unix_ms, Record, Store, MAX_CONNS, SERVERS};

/// Requests that a backend works on at once, and those that it queues beside them.
const SLOTS: usize = 3;
const QUEUE: usize = 4;
/// How long the answer to a health check takes: the way there and back (0.5 ms each between zones) and 1 ms at
/// the backend.
const HEALTH: Duration = Duration::from_millis(2);
/// How long a backend keeps an idle connection, in seconds.
const IDLE_SECONDS: u64 = 10;

const POLLIN: i16 = 1;

#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

extern "C" {
    fn poll(fds: *mut PollFd, count: u64, timeout: i32) -> i32;
}

/// The largest number of connections that a backend had, and of requests that it ran.
#[derive(Default)]
pub struct Counts {
    pub most_open: AtomicU64,
    pub ran: AtomicU64,
}

struct Caller {
    stream: TcpStream,
    input: Vec<u8>,
    used: Instant,
    gone: bool,
}

/// An answer to a health check that is on its way.
struct Check {
    caller: u64,
    at: Instant,
}

struct Job {
    caller: u64,
    id: String,
    end: Option<Instant>,
}

/// Starts a backend that announces itself in the store.
pub fn start(
    host: u8,
    id: &str,
    service: &str,
    work: Duration,
    store: &Store,
    record: &Record,
) -> Arc<Counts> {
    let listener = TcpListener::bind((ip(host), 0)).expect("a free loopback port");
    listener.set_nonblocking(true).expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let counts = Arc::new(Counts::default());
    let backend = Polled {
        id: id.to_owned(),
        work,
        listener,
        callers: Vec::new(),
        next: 0,
        jobs: Vec::new(),
        checks: Vec::new(),
        counts: Arc::clone(&counts),
        record: record.clone(),
    };
    thread::spawn(move || backend.run());
    announce(id, service, addr, store);
    counts
}

fn announce(id: &str, service: &str, addr: SocketAddr, store: &Store) {
    let born = unix_ms();
    let value = format!(
        "{{\"Address\":\"{addr}\",\"born\":{born},\"Info\":{{\"Service\":\"{service}\",\"Version\":\"v1\",\
         \"Zone\":\"a\",\"Slots\":{SLOTS}}},\"Status\":{{\"State\":\"ready\",\"SeqNo\":1,\"WarmupLeft\":\"0ms\"}}}}"
    );
    store.put(SERVERS, id, &value);
}

struct Polled {
    id: String,
    work: Duration,
    listener: TcpListener,
    callers: Vec<(u64, Caller)>,
    next: u64,
    jobs: Vec<Job>,
    checks: Vec<Check>,
    counts: Arc<Counts>,
    record: Record,
}

impl Polled {
    fn run(mut self) {
        loop {
            let mut fds: Vec<PollFd> = vec![readable(self.listener.as_raw_fd())];
            fds.extend(self.callers.iter().map(|(_, c)| readable(c.stream.as_raw_fd())));
            let ends = self.jobs.iter().filter_map(|job| job.end);
            let checks = self.checks.iter().map(|check| check.at);
            let wait = ends.chain(checks).map(|end| end.saturating_duration_since(Instant::now())).min();
            let wait = wait.unwrap_or(Duration::from_millis(100)).as_micros().div_ceil(1_000) as i32;
            // The numbers are those of sockets that are open during the call.
            unsafe { poll(fds.as_mut_ptr(), fds.len() as u64, wait.min(100)) };
            let ready: Vec<bool> = fds.iter().map(|fd| fd.revents != 0).collect();
            for index in 0..self.callers.len() {
                if ready[index + 1] {
                    self.read(index);
                }
            }
            if ready[0] {
                self.accept();
            }
            self.answer_checks();
            self.finish();
            self.sweep();
        }
    }

    fn accept(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            // A connection beyond the limit is closed at once.
            if self.callers.len() as u64 >= MAX_CONNS {
                continue;
            }
            let _ = stream.set_nonblocking(true);
            let _ = stream.set_nodelay(true);
            self.next += 1;
            let caller = Caller {
                stream,
                input: Vec::new(),
                used: Instant::now(),
                gone: false,
            };
            self.callers.push((self.next, caller));
            let open = self.callers.len() as u64;
            self.counts.most_open.fetch_max(open, Ordering::SeqCst);
        }
    }

    fn read(&mut self, index: usize) {
        let mut chunk = [0; 4096];
        loop {
            let caller = &mut self.callers[index].1;
            match caller.stream.read(&mut chunk) {
                Ok(0) => {
                    caller.gone = true;
                    return;
                }
                Ok(count) => caller.input.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    caller.gone = true;
                    return;
                }
            }
        }
        loop {
            let (number, caller) = &mut self.callers[index];
            let Some(end) = caller.input.windows(4).position(|w| w == b"\r\n\r\n") else {
                return;
            };
            let head: Vec<u8> = caller.input.drain(..end + 4).collect();
            caller.used = Instant::now();
            let (number, head) = (*number, String::from_utf8_lossy(&head).into_owned());
            self.request(index, number, &head);
        }
    }

    fn request(&mut self, index: usize, number: u64, head: &str) {
        if head.starts_with("GET /health ") {
            let at = Instant::now() + HEALTH;
            return self.checks.push(Check { caller: number, at });
        }
        let field = |line: &str| Some(line.strip_prefix("Attempt-Id: ")?.to_owned());
        let id = head.split("\r\n").find_map(field).unwrap_or_default();
        if self.jobs.len() >= SLOTS + QUEUE {
            let answer = format!(
                "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n{}Content-Length: 0\r\n\r\n",
                self.state()
            );
            return self.send(index, &answer);
        }
        self.jobs.push(Job {
            caller: number,
            id,
            end: None,
        });
        self.begin();
    }

    /// Begins the requests that find a slot.
    fn begin(&mut self) {
        let end = Instant::now() + self.work;
        let free = SLOTS.saturating_sub(self.jobs.iter().filter(|job| job.end.is_some()).count());
        let waiting = self.jobs.iter_mut().filter(|job| job.end.is_none());
        waiting.take(free).for_each(|job| job.end = Some(end));
    }

    /// Sends the answers to health checks that are due.
    fn answer_checks(&mut self) {
        let now = Instant::now();
        let (due, rest): (Vec<Check>, Vec<Check>) =
            std::mem::take(&mut self.checks).into_iter().partition(|check| check.at <= now);
        self.checks = rest;
        for check in due {
            let mut callers = self.callers.iter();
            if let Some(index) = callers.position(|(number, _)| *number == check.caller) {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
                    self.id,
                    self.state()
                );
                self.send(index, &answer);
            }
        }
    }

    /// Answers the requests that are done, and begins others.
    fn finish(&mut self) {
        let now = Instant::now();
        let is_done = |job: &Job| job.end.is_some_and(|end| end <= now);
        let done: Vec<Job> = {
            let (done, rest) = std::mem::take(&mut self.jobs).into_iter().partition(is_done);
            self.jobs = rest;
            done
        };
        for Job { caller, id, .. } in done {
            self.counts.ran.fetch_add(1, Ordering::SeqCst);
            self.record.add(format!("{} ran {id}", self.id));
            let mut callers = self.callers.iter();
            if let Some(index) = callers.position(|(number, _)| *number == caller) {
                let body = format!("answer of {} to {id}", self.id);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: sig.{}.{id}\r\n{}\
                     Content-Length: {}\r\n\r\n{body}",
                    self.id,
                    self.state(),
                    body.len()
                );
                self.send(index, &answer);
            }
        }
        self.begin();
    }

    fn state(&self) -> String {
        let running = self.jobs.iter().filter(|job| job.end.is_some()).count();
        let waiting = self.jobs.len() - running;
        format!(
            "Backend-Load: {running},{waiting},{SLOTS},100\r\nKeep-Alive: timeout={IDLE_SECONDS}\r\n"
        )
    }

    fn send(&mut self, index: usize, text: &str) {
        let caller = &mut self.callers[index].1;
        caller.used = Instant::now();
        // Answers are short, so that the socket takes them at once.
        if caller.stream.write_all(text.as_bytes()).is_err() {
            caller.gone = true;
        }
    }

    /// Drops the connections that have ended or were idle for too long, with their requests.
    fn sweep(&mut self) {
        let busy: Vec<u64> = self.jobs.iter().map(|job| job.caller).collect();
        let idle = Duration::from_secs(IDLE_SECONDS);
        self.callers.retain(|(number, caller)| {
            !caller.gone && (busy.contains(number) || caller.used.elapsed() < idle)
        });
        let callers = &self.callers;
        self.jobs
            .retain(|job| callers.iter().any(|(number, _)| *number == job.caller));
    }
}

fn readable(fd: i32) -> PollFd {
    PollFd {
        fd,
        events: POLLIN,
        revents: 0,
    }
}
