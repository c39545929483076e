//! TCP socket options.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// When an unresponsive connection is closed. The sum of the keep-alive times is the longest time
/// for which a dead path goes undetected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAliveOptions {
    /// Idle time before the first keep-alive probe.
    pub idle: Duration,
    /// Time between keep-alive probes.
    pub interval: Duration,
    /// Unanswered probes after which the connection is closed.
    pub probes: u32,
    /// Longest time for which written data may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub unacknowledged: Duration,
}

impl KeepAliveOptions {
    /// For connections on which long silence of the peer is normal, so that only keep-alive probes
    /// detect a dead path.
    pub const SHORT: Self = Self {
        idle: Duration::from_secs(1),
        interval: Duration::from_secs(1),
        probes: 2,
        unacknowledged: Duration::from_secs(3),
    };
}

/// Sets `SO_KEEPALIVE`, `TCP_USER_TIMEOUT` and `TCP_NODELAY`.
pub fn configure(stream: &TcpStream, options: KeepAliveOptions) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(options.idle)
        .with_interval(options.interval)
        .with_retries(options.probes);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(options.unacknowledged))?;
    socket.set_tcp_nodelay(true)
}

/// Bounds what the kernel takes of a response before the peer has read it.
pub fn limit_send_buffer(stream: &TcpStream, bytes: usize) -> io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(bytes)
}

/// Connects within `limit` and sets the socket options.
pub async fn connect(
    addr: SocketAddr,
    limit: Duration,
    options: KeepAliveOptions,
) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream, options)?;
    Ok(stream)
}
