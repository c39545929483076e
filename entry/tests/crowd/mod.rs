//! Clients that nobody controls, and what a process must keep while they are connected.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(unreachable_pub)]

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::common::site::Site;

/// How long a test waits for an expected event.
pub const WAIT: Duration = Duration::from_secs(20);
/// The number of files that the process may open.
pub const DESCRIPTORS: usize = 400;
/// The receive buffer of a client that reads slowly, in bytes.
const RECEIVE_BUFFER: usize = 4 << 10;
/// The last part of the address from which the ordinary request comes.
const ORDINARY: u8 = 99;

/// A process of the daemon with a site. It is killed when it is dropped.
pub struct Daemon {
    pub callers: SocketAddr,
    child: Child,
    _site: Site,
}

/// Starts a daemon that may open [`DESCRIPTORS`] files, and waits until it serves.
pub fn daemon(extra: &[&str]) -> Daemon {
    daemon_of(Site::new(4), extra)
}

/// Starts a daemon of this site, and waits until it serves.
pub fn daemon_of(site: Site, extra: &[&str]) -> Daemon {
    let (log, vm_list) = (site.log.addr(), site.vm_list.addr());
    let daemon = start(site, log, vm_list, extra);
    wait("the daemon serves", || daemon.serves());
    daemon
}

/// Starts a daemon that reads the log and the list of VMs at these addresses.
pub fn start(site: Site, log: SocketAddr, vm_list: SocketAddr, extra: &[&str]) -> Daemon {
    // All are bound at once, so that the ports differ.
    let ports: Vec<_> = (0..4)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"))
        .collect();
    let addrs: Vec<_> = ports
        .iter()
        .map(|port| port.local_addr().expect("an address"))
        .collect();
    drop(ports);
    let script = format!("ulimit -n {DESCRIPTORS} && exec \"$@\"");
    let child = Command::new("sh")
        .args(["-c", &script, "sh", env!("CARGO_BIN_EXE_carobshore-entry")])
        .args(["--vm-name=entry-0", "--domain=d0", "--log-level=warn"])
        .args([
            format!("--log={log}"),
            format!("--vm-list={vm_list}"),
            format!("--listen={}", addrs[0]),
            format!("--forward={}", addrs[1]),
            format!("--rpc={}", addrs[2]),
            format!("--admin={}", addrs[3]),
        ])
        .args(extra)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    Daemon {
        callers: addrs[0],
        child: child.expect("a process"),
        _site: site,
    }
}

impl Daemon {
    /// Checks, while the crowd is still connected, that the process lives within its bounds and serves an
    /// ordinary caller, who tries again after a refusal.
    pub fn assert_holds(&mut self, peak: u64, descriptors: usize) {
        let ended = self.child.try_wait().expect("a status");
        assert!(ended.is_none(), "the process has ended: {ended:?}");
        let (used, open) = (self.peak_memory(), self.descriptors());
        eprintln!("peak {used:?} KiB, {open} descriptors, bounds {peak} KiB and {descriptors}");
        assert!(used.is_some_and(|used| used < peak), "{used:?} KiB");
        assert!(open < descriptors, "{open} descriptors");
        wait("an ordinary request is answered", || self.serves());
        let ended = self.child.try_wait().expect("a status");
        assert!(ended.is_none(), "the process has ended: {ended:?}");
    }

    fn serves(&self) -> bool {
        let Some(mut stream) = send_from(ORDINARY, self.callers, request("/x").as_bytes()) else {
            return false;
        };
        let mut start = [0; 12];
        stream.read_exact(&mut start).is_ok() && start == *b"HTTP/1.1 200"
    }

    /// Returns the largest memory that the process has used, in KiB; nothing if it has ended.
    pub fn peak_memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    fn descriptors(&self) -> usize {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.map_or(0, Iterator::count)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a request that may be repeated, for a path of a target of the site.
pub fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: booking.example\r\n\r\n")
}

/// Connects from 127.0.0.`host` with a small receive buffer. Returns nothing if it is refused.
pub fn connect_from(host: u8, addr: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
    let own = SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), 0));
    socket.bind(&own.into()).ok()?;
    socket.connect_timeout(&addr.into(), WAIT).ok()?;
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT)).ok()?;
    stream.set_write_timeout(Some(WAIT)).ok()?;
    Some(stream)
}

/// Sends bytes from 127.0.0.`host`. Returns the connection, which may have been refused or closed.
pub fn send_from(host: u8, addr: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = connect_from(host, addr)?;
    stream.write_all(bytes).ok()?;
    Some(stream)
}

/// Waits until the first bytes arrive or the connection ends.
pub fn await_first_bytes(stream: &mut TcpStream) {
    let _ = stream.read(&mut [0; 64]);
}

/// Waits until the condition holds, for [`WAIT`] at most.
pub fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT;
    while !condition() {
        assert!(Instant::now() < until, "{what}: not within {WAIT:?}");
        thread::sleep(Duration::from_millis(10));
    }
}
