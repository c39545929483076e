//! Options of the sockets to targets, other VMs and callers.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between keep-alive probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered probes after which the connection is closed.
const KEEP_ALIVE_PROBES: u32 = 3;
/// Longest time for which written data may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sets keep-alive, user timeout and no-delay.
///
/// Without keep-alive and user timeout, the kernel keeps a connection whose path is dead open for
/// many minutes.
pub fn set(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_IDLE)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)
}
