//! A test site on loopback: a store, targets, and gateways in separate processes.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use carobshore_http::body::BodyReader;
use carobshore_http::head::ResponseHead;
use carobshore_standin::server::ANY_PORT;
use carobshore_standin::site_store::OPERATORS;
use carobshore_standin::site_store::SiteStore;
use carobshore_standin::site_target::SiteTarget;
use carobshore_standin::site_wire;
use carobshore_standin::site_wire::REQUEST_ID;
use carobshore_standin::site_wire::VmLimits;
use carobshore_standin::site_wire::VmSettings;
pub(crate) use carobshore_standin::site_wire::request;
pub(crate) use carobshore_standin::site_wire::routes;
use serde_json::Value;

/// How long a test waits for an expected event.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports for gateways.
const PORTS: Range<u16> = 10_000..30_000;
/// The number of ports that one test process uses before it may meet another one.
const PROCESS_PORTS: u32 = 256;

/// The number of files that a process with a lower limit may open.
pub(crate) const LOW_DESCRIPTORS: u32 = 400;

/// A store with targets.
pub(crate) struct Site {
    pub(crate) store: SiteStore,
    pub(crate) targets: Vec<SiteTarget>,
    /// Address on which gateways reach the store: its own, or that of a proxy.
    pub(crate) store_addr: SocketAddr,
    /// What the settings of gateways state.
    pub(crate) limits: VmLimits,
    dir: PathBuf,
}

/// Where a gateway stands, and how it finds the store and other gateways.
#[derive(Clone, Copy)]
pub(crate) struct VmPlan<'a> {
    pub(crate) name: &'a str,
    pub(crate) domain: &'a str,
    pub(crate) store: SocketAddr,
    pub(crate) seeds: &'a [SocketAddr],
    /// Its own address for other gateways, if the settings of these may name it.
    pub(crate) control: Option<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub(crate) first_start: bool,
}

impl<'a> VmPlan<'a> {
    fn new(store: SocketAddr, name: &'a str, seeds: &'a [SocketAddr]) -> Self {
        Self {
            name,
            domain: "a",
            store,
            seeds,
            control: None,
            first_start: false,
        }
    }
}

/// A gateway process. It is killed when it is dropped.
pub(crate) struct Gateway {
    child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) settings: PathBuf,
    lines: Lines,
    /// Reads the log until the process has ended.
    reader: Option<JoinHandle<()>>,
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) head: ResponseHead,
    pub(crate) body: String,
}

/// Starts a store and `count` targets of the service `status`, with a configuration whose routes
/// `/safe/`, `/unsafe/` and `/upload/` on `site.example` lead to that service.
pub(crate) fn site(name: &str, count: usize) -> Site {
    let store = SiteStore::start(ANY_PORT).expect("a store");
    let targets: Vec<_> = (0..count)
        .map(|index| {
            let id = format!("i-{index}");
            SiteTarget::start(ANY_PORT, &id, "status", "a").expect("a target")
        })
        .collect();
    targets
        .iter()
        .for_each(|target| target.announce(&store, "ready"));
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).expect("a directory");
    let site = Site {
        store_addr: store.addr(),
        store,
        targets,
        limits: VmLimits::default(),
        dir,
    };
    site.configure(1, &routes(1_500, "status"));
    site
}

impl Site {
    /// Writes a configuration.
    pub(crate) fn configure(&self, version: u64, routes: &[Value]) {
        let document = site_wire::configuration(version, routes);
        self.store
            .put(OPERATORS, "config", Some(document.as_bytes()));
    }

    /// Starts a gateway and waits until it is ready.
    pub(crate) fn gateway(&self, name: &str) -> Gateway {
        let gateway = self.start_gateway(name);
        wait("the gateway is ready", || gateway.is_ready());
        gateway
    }

    /// Starts a gateway that reaches the store at another address, and waits until it is ready.
    pub(crate) fn gateway_by(&self, store: SocketAddr, name: &str) -> Gateway {
        let gateway = self.start(VmPlan::new(store, name, &[]), spawn);
        wait("the gateway is ready", || gateway.is_ready());
        gateway
    }

    /// Starts a gateway.
    pub(crate) fn start_gateway(&self, name: &str) -> Gateway {
        self.start_seeded(name, &[])
    }

    /// Starts a gateway whose log is not read, and waits until it is ready.
    pub(crate) fn unread_gateway(&self, name: &str) -> Gateway {
        let gateway = self.start(VmPlan::new(self.store_addr, name, &[]), spawn_unread);
        wait("the gateway is ready", || gateway.is_ready());
        gateway
    }

    /// Starts a gateway that lets only a share of the requests leave its domain, and waits until it is
    /// ready.
    pub(crate) fn sharing_gateway(&self, name: &str) -> Gateway {
        let gateway = self.start(VmPlan::new(self.store_addr, name, &[]), spawn_sharing);
        wait("the gateway is ready", || gateway.is_ready());
        gateway
    }

    /// Starts a gateway whose process may open [`LOW_DESCRIPTORS`] files, and waits until it is ready.
    pub(crate) fn limited_gateway(&self, name: &str) -> Gateway {
        let gateway = self.start(VmPlan::new(self.store_addr, name, &[]), spawn_limited);
        wait("the gateway is ready", || gateway.is_ready());
        gateway
    }

    /// Starts a gateway with the addresses of some others.
    pub(crate) fn start_seeded(&self, name: &str, seeds: &[SocketAddr]) -> Gateway {
        self.start(VmPlan::new(self.store_addr, name, seeds), spawn)
    }

    /// Starts a gateway as planned.
    pub(crate) fn start_planned(&self, plan: VmPlan<'_>) -> Gateway {
        self.start(plan, spawn)
    }

    fn start(&self, plan: VmPlan<'_>, spawn: Spawn) -> Gateway {
        let [callers, readiness, admin] = [free_port(), free_port(), free_port()];
        let settings = self.dir.join(format!("{}.json", plan.name));
        let text = site_wire::settings(&VmSettings {
            name: plan.name,
            domain: plan.domain,
            first_start: plan.first_start,
            callers,
            readiness,
            admin,
            control: plan.control,
            seeds: plan.seeds,
            store: plan.store,
            limits: self.limits,
        });
        std::fs::write(&settings, text).expect("a settings file");
        let lines = Lines::default();
        let (child, reader) = spawn(&settings, &lines);
        Gateway {
            child,
            reader,
            callers,
            readiness,
            admin,
            settings,
            lines,
        }
    }

    /// Returns how often the targets ran the request with the id.
    pub(crate) fn runs_of(&self, id: &str) -> usize {
        let runs = self.targets.iter().flat_map(SiteTarget::runs);
        runs.filter(|run| &*run.id == id).count()
    }
}

impl Gateway {
    /// Kills the process and starts it again with the same settings.
    pub(crate) fn restart(&mut self) {
        self.kill();
        self.start_again();
    }

    /// Returns the id of the process.
    pub(crate) fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills processes at the same time, so that none of them reacts to the end of another one.
    pub(crate) fn kill_all<'a>(gateways: impl IntoIterator<Item = &'a mut Self>) {
        let mut gateways: Vec<&mut Self> = gateways.into_iter().collect();
        for gateway in &mut gateways {
            let _ = gateway.child.kill();
        }
        gateways.into_iter().for_each(Self::kill);
    }

    /// Changes the settings of later starts: the system does not start for the first time any more.
    pub(crate) fn end_first_start(&self) {
        self.change_settings(|settings| settings["Bootstrap"] = false.into());
    }

    /// Changes the settings of later starts.
    pub(crate) fn change_settings(&self, change: impl FnOnce(&mut Value)) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings");
        let mut settings: Value = serde_json::from_str(&text).expect("settings");
        change(&mut settings);
        // A process that starts must not read half of the file.
        let written = self.settings.with_extension("new");
        std::fs::write(&written, settings.to_string()).expect("a settings file");
        std::fs::rename(&written, &self.settings).expect("a settings file");
    }

    /// Adds bounds of quotas to the settings of later starts, with a window of 5 s.
    pub(crate) fn bound_quotas(&self, over: f64, slack: f64) {
        self.change_settings(|settings| {
            settings["Bounds"]["QuotaWindow"] = "5s".into();
            settings["Bounds"]["QuotaOver"] = over.into();
            settings["Bounds"]["QuotaSlack"] = slack.into();
        });
    }

    /// Starts the process again after it has exited.
    pub(crate) fn start_again(&mut self) {
        (self.child, self.reader) = spawn(&self.settings, &self.lines);
    }

    /// Returns whether the process has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Returns whether readiness is answered with 200.
    pub(crate) fn is_ready(&self) -> bool {
        let response = try_call(self.readiness, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        response.is_some_and(|response| response.head.status == 200)
    }

    /// Sends a request on a connection of its own.
    pub(crate) fn call(&self, kind: &str, id: &str, body: &str) -> Response {
        call(self.callers, &request(kind, id, 1_500, body))
    }

    /// Sends a request. Returns nothing if there is no response.
    pub(crate) fn try_call(&self, kind: &str, id: &str) -> Option<Response> {
        try_call(self.callers, &request(kind, id, 1_500, ""))
    }

    /// Returns the metrics, or an empty text if the process does not respond.
    pub(crate) fn metrics(&self) -> String {
        let response = try_call(self.admin, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        response.map(|response| response.body).unwrap_or_default()
    }

    /// Returns the state dump, or an empty text if the process does not respond.
    pub(crate) fn dump(&self) -> String {
        let response = try_call(self.admin, "GET /dump HTTP/1.1\r\nHost: x\r\n\r\n");
        response.map(|response| response.body).unwrap_or_default()
    }

    /// Returns the number of VMs on the list of this one.
    pub(crate) fn listed_vms(&self) -> usize {
        let dump: Value = serde_json::from_str(&self.dump()).unwrap_or_default();
        dump["list"]["vms"].as_u64().unwrap_or(0) as usize
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Waits until the process has exited and its log is read. Returns whether it exited
    /// successfully.
    pub(crate) fn wait_for_exit(&mut self) -> bool {
        let mut status = None;
        wait("the gateway ends", || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        if let Some(reader) = self.reader.take() {
            reader.join().expect("the reader of the log");
        }
        status.is_some_and(|status| status.success())
    }

    /// Starts to read the log.
    pub(crate) fn read_log(&mut self) {
        self.reader = Some(collect(&mut self.child, &self.lines));
    }

    /// Returns the lines of the log.
    pub(crate) fn lines(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.clone()
    }

    /// Returns how often the process has chosen another gateway to poll since its last start.
    pub(crate) fn polls(&self) -> usize {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let last = lines.iter().rev();
        last.take_while(|line| !line.contains("the gateway starts"))
            .filter(|line| line.contains("another VM is asked for changes"))
            .count()
    }

    /// Waits until the log has a line with all of the texts. Another thread collects the log, so that a
    /// line may be read later than the response to its request.
    pub(crate) fn wait_for_line(&self, texts: &[&str]) {
        wait(&format!("a line with {texts:?}"), || self.has_line(texts));
    }

    /// Waits until all lines are collected that the process has logged so far: up to that of a request
    /// which is refused.
    pub(crate) fn flush_log(&self) {
        let id = format!("flush-{}", self.lines().len());
        let text = format!("GET /none/ HTTP/1.1\r\nHost: x\r\n{REQUEST_ID}: {id}\r\n\r\n");
        let status = call(self.callers, &text).head.status;
        assert!([401, 404].contains(&status), "{status}");
        self.wait_for_line(&[&format!("\"{id}\"")]);
    }

    /// Returns whether the log has a line with all of the texts so far.
    pub(crate) fn has_line(&self, texts: &[&str]) -> bool {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines
            .iter()
            .any(|line| texts.iter().all(|text| line.contains(text)))
    }
}

/// The number of log lines of each gateway that a failed test prints.
const PRINTED_LINES: usize = 60;

impl Drop for Gateway {
    fn drop(&mut self) {
        if thread::panicking() {
            let lines = self.lines();
            eprintln!("log of {}:", self.settings.display());
            let first = lines.len().saturating_sub(PRINTED_LINES);
            lines[first..].iter().for_each(|line| eprintln!("{line}"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

type Lines = Arc<Mutex<Vec<String>>>;
type Spawn = fn(&Path, &Lines) -> (Child, Option<JoinHandle<()>>);

/// Held while a process is started and while ports are tried: until a new process runs its own program,
/// it holds copies of all sockets of this one, so that their ports are in use.
static STARTING: Mutex<()> = Mutex::new(());

fn start_process(command: &mut Command) -> Child {
    let _lock = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("a process")
}

/// Starts a process that logs every request and whose log stays in the pipe.
fn spawn_unread(settings: &Path, _: &Lines) -> (Child, Option<JoinHandle<()>>) {
    let child = start_process(command(settings).args(["--log-rate", "1000000"]));
    (child, None)
}

/// Starts a process with `--crossing share` and collects its log.
fn spawn_sharing(settings: &Path, lines: &Lines) -> (Child, Option<JoinHandle<()>>) {
    let mut child = start_process(command(settings).args(["--crossing", "share"]));
    let reader = collect(&mut child, lines);
    (child, Some(reader))
}

/// Starts a process with a lower limit of open files, and collects its log. The shell replaces itself
/// by the process.
fn spawn_limited(settings: &Path, lines: &Lines) -> (Child, Option<JoinHandle<()>>) {
    let mut shell = Command::new("sh");
    let script = format!("ulimit -n {LOW_DESCRIPTORS} && exec \"$@\"");
    shell.args([
        "-c",
        &script,
        "sh",
        env!("CARGO_BIN_EXE_carobshore-gateway"),
    ]);
    let mut child = start_process(with_settings(&mut shell, settings));
    let reader = collect(&mut child, lines);
    (child, Some(reader))
}

fn command(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobshore-gateway"));
    with_settings(&mut command, settings);
    command
}

fn with_settings<'a>(command: &'a mut Command, settings: &Path) -> &'a mut Command {
    command
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
}

/// Collects the log of a process in a thread.
fn collect(child: &mut Child, lines: &Lines) -> JoinHandle<()> {
    let out = child.stdout.take().expect("its output");
    let sink = Arc::clone(lines);
    thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            sink.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(line);
        }
    })
}

/// Starts a process and collects its log.
fn spawn(settings: &Path, lines: &Lines) -> (Child, Option<JoinHandle<()>>) {
    let mut child = start_process(&mut command(settings));
    let reader = collect(&mut child, lines);
    (child, Some(reader))
}

/// Returns the seeds that a variable names, as in `1..50`, or else the given ones.
pub(crate) fn seeds(variable: &str, usual: &[u64]) -> Vec<u64> {
    let Ok(text) = std::env::var(variable) else {
        return usual.to_vec();
    };
    let (first, last) = text.split_once("..").expect("a range such as 1..50");
    let bound = |text: &str| text.parse::<u64>().expect("a number");
    (bound(first)..=bound(last)).collect()
}

/// Sends bytes on a new connection and reads one response.
pub(crate) fn call(addr: SocketAddr, text: &str) -> Response {
    try_call(addr, text).expect("a response")
}

/// Sends bytes on a new connection and reads one response. Returns nothing if the connection ends
/// first.
pub(crate) fn try_call(addr: SocketAddr, text: &str) -> Option<Response> {
    let mut stream = connect(addr)?;
    stream.write_all(text.as_bytes()).ok()?;
    read_response(&mut stream, &mut BytesMut::new())
}

/// Opens a connection.
pub(crate) fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, WAIT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    Some(stream)
}

/// Reads the next response of a connection.
pub(crate) fn read_response(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<Response> {
    let head = loop {
        if let Some(head) = ResponseHead::take(buffer, 64 << 10).ok()? {
            break head;
        }
        fill(stream, buffer)?;
    };
    let mut body = BodyReader::new(head.framing("GET").ok()?, 16 << 20).ok()?;
    while !body.advance(buffer).ok()? {
        fill(stream, buffer)?;
    }
    let body = String::from_utf8_lossy(&body.into_body()).into_owned();
    Some(Response { head, body })
}

fn fill(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<()> {
    let mut bytes = [0; 4_096];
    let count = stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&bytes[..count]);
    Some(())
}

/// Waits until the condition holds, for [`WAIT_TIMEOUT`] at most.
pub(crate) fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < until,
            "{what}: not within {WAIT_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

/// Returns an unused address that no other test gets.
///
/// The kernel takes ports for outgoing connections and for [`ANY_PORT`] from 32768 on. So a port
/// below that stays free until the gateway listens on it, also between two starts of a process.
pub(crate) fn free_port() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    // Test processes that run concurrently start at different ports.
    let first = std::process::id().wrapping_mul(PROCESS_PORTS);
    let _lock = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let number = first.wrapping_add(TAKEN.fetch_add(1, Ordering::SeqCst)) % PORTS.len() as u32;
        let port = PORTS.start + u16::try_from(number).expect("a number below 20,000");
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Returns whether something listens on the address.
pub(crate) fn connect_now(addr: SocketAddr) -> bool {
    TcpStream::connect_timeout(&addr, Duration::from_millis(100)).is_ok()
}
