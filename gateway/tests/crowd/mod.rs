//! Clients that nobody controls, and what a process must keep while they are connected.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use bytes::BytesMut;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::common::Gateway;
use crate::common::WAIT_TIMEOUT;
use crate::common::read_response;
use crate::common::request;
use crate::common::wait;

/// The receive buffer of a client that reads slowly, in bytes.
const RECEIVE_BUFFER: usize = 4 << 10;
/// The last part of the address from which the ordinary request comes.
const ORDINARY: u8 = 99;

/// What a process must stay under.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// The peak resident memory, in KiB.
    pub(crate) peak: u64,
    /// The number of open descriptors.
    pub(crate) descriptors: usize,
}

/// Connects from 127.0.0.`host` with a small receive buffer. Returns nothing if it is refused.
pub(crate) fn connect_from(host: u8, addr: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
    let own = SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), 0));
    socket.bind(&own.into()).ok()?;
    socket.connect_timeout(&addr.into(), WAIT_TIMEOUT).ok()?;
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(WAIT_TIMEOUT)).ok()?;
    Some(stream)
}

/// Sends bytes from 127.0.0.`host`. Returns the connection, which may have been refused or closed.
pub(crate) fn send_from(host: u8, addr: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = connect_from(host, addr)?;
    stream.write_all(bytes).ok()?;
    Some(stream)
}

/// Waits until the first bytes arrive or the connection ends.
pub(crate) fn await_first_bytes(stream: &mut TcpStream) {
    let _ = stream.read(&mut [0; 64]);
}

/// Reads a little of what has arrived.
pub(crate) fn sip(stream: &mut TcpStream) {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
    let _ = stream.read(&mut [0; 1_024]);
}

/// Returns the largest memory that the process has used, in KiB; nothing if it has ended.
pub(crate) fn peak_memory(gateway: &Gateway) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.process_id())).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Returns the number of descriptors that the process has open.
pub(crate) fn descriptors(gateway: &Gateway) -> usize {
    let open = std::fs::read_dir(format!("/proc/{}/fd", gateway.process_id()));
    open.map_or(0, Iterator::count)
}

/// Checks, while the crowd is still connected, that the process lives within its bounds and serves an
/// ordinary caller, who tries again after a refusal.
pub(crate) fn assert_holds(gateway: &mut Gateway, bounds: Bounds) {
    assert!(!gateway.has_exited(), "the process has ended");
    let (peak, open) = (peak_memory(gateway), descriptors(gateway));
    eprintln!("peak {peak:?} KiB, {open} descriptors, bounds {bounds:?}");
    assert!(peak.is_some_and(|peak| peak < bounds.peak), "{peak:?} KiB");
    assert!(open < bounds.descriptors, "{open} descriptors");
    let mut tries = 0;
    wait("an ordinary request is answered", || {
        tries += 1;
        let text = request("safe", &format!("ordinary-{tries}"), 1_500, "");
        let stream = send_from(ORDINARY, gateway.callers, text.as_bytes());
        let response =
            stream.and_then(|mut stream| read_response(&mut stream, &mut BytesMut::new()));
        response.is_some_and(|response| response.head.status == 200)
    });
    assert!(!gateway.has_exited(), "the process has ended");
}
