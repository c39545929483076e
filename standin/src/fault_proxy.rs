//! A loopback TCP proxy that injects network faults.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::raw_server::lock;
use crate::server::ANY_PORT;

/// The fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Forwards traffic unchanged.
    #[default]
    None,
    /// Delays each read chunk by this time.
    Delay(Duration),
    /// Silently drops what the server sends.
    OneWay,
    /// Silently drops traffic in both directions.
    Silence,
    /// Resets open and new connections.
    Reset,
}

/// A running proxy. Dropping it resets all connections.
#[derive(Debug)]
pub struct FaultProxy {
    stopped: Arc<AtomicBool>,
    addr: SocketAddr,
    fault: Arc<Mutex<ProxyFault>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl FaultProxy {
    /// Starts a proxy in front of a server.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT)?;
        let proxy = Self {
            stopped: Arc::default(),
            addr: listener.local_addr()?,
            fault: Arc::default(),
            connections: Arc::default(),
        };
        let stopped = Arc::clone(&proxy.stopped);
        let (fault, connections) = (Arc::clone(&proxy.fault), Arc::clone(&proxy.connections));
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                if *lock(&fault) == ProxyFault::Reset {
                    reset(&caller);
                } else if let Err(error) = forward(&caller, server, &fault, &connections) {
                    log::debug!(reason:% = error; "failed to forward a connection");
                }
            }
        });
        Ok(proxy)
    }

    /// Returns the address on which the proxy listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the injected fault, also for open connections.
    pub fn set_fault(&self, fault: ProxyFault) {
        *lock(&self.fault) = fault;
        if fault == ProxyFault::Reset {
            lock(&self.connections)
                .drain(..)
                .for_each(|stream| reset(&stream));
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Unblocks the accept loop so that it sees the flag.
        drop(TcpStream::connect(self.addr));
        self.set_fault(ProxyFault::Reset);
    }
}

fn forward(
    caller: &TcpStream,
    server: SocketAddr,
    fault: &Arc<Mutex<ProxyFault>>,
    connections: &Mutex<Vec<TcpStream>>,
) -> io::Result<()> {
    let server = TcpStream::connect(server)?;
    lock(connections).extend([caller.try_clone()?, server.try_clone()?]);
    let directions = [
        (caller.try_clone()?, server.try_clone()?, false),
        (server, caller.try_clone()?, true),
    ];
    for (from, to, is_response) in directions {
        let fault = Arc::clone(fault);
        thread::spawn(move || copy_direction(from, to, is_response, &fault));
    }
    Ok(())
}

/// Copies bytes in one direction until either side closes.
fn copy_direction(
    mut from: TcpStream,
    mut to: TcpStream,
    is_response: bool,
    fault: &Mutex<ProxyFault>,
) {
    let mut bytes = [0; 16 << 10];
    let mut has_gap = false;
    loop {
        let count = match from.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let fault = *lock(fault);
        if let ProxyFault::Delay(time) = fault {
            thread::sleep(time);
        }
        // After dropped bytes the stream has a gap, so nothing more is forwarded.
        has_gap |= fault == ProxyFault::Silence || (is_response && fault == ProxyFault::OneWay);
        if !has_gap && to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    if !has_gap {
        let _ = to.shutdown(Shutdown::Write);
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
