//! A proxy on loopback that harms the connections that pass through it.

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

/// What a proxy does with what passes through it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Nothing.
    #[default]
    None,
    /// It holds everything up for so long.
    Delay(Duration),
    /// It drops what the server sends, without a word.
    OneWay,
    /// It drops everything, without a word.
    Silence,
    /// It resets connections, old and new.
    Reset,
}

/// A running proxy. It ends all connections when it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    stopped: Arc<AtomicBool>,
    addr: SocketAddr,
    harm: Arc<Mutex<ProxyFault>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl FaultProxy {
    /// Starts a proxy in front of a server.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT)?;
        let proxy = Self {
            stopped: Arc::default(),
            addr: listener.local_addr()?,
            harm: Arc::default(),
            connections: Arc::default(),
        };
        let stopped = Arc::clone(&proxy.stopped);
        let (harm, connections) = (Arc::clone(&proxy.harm), Arc::clone(&proxy.connections));
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                if *lock(&harm) == ProxyFault::Reset {
                    reset(&caller);
                } else if let Err(error) = join(&caller, server, &harm, &connections) {
                    log::debug!(reason:% = error; "a connection could not be passed on");
                }
            }
        });
        Ok(proxy)
    }

    /// Returns the address for callers.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what the proxy does, for open connections too.
    pub fn set_fault(&self, harm: ProxyFault) {
        *lock(&self.harm) = harm;
        if harm == ProxyFault::Reset {
            lock(&self.connections)
                .drain(..)
                .for_each(|stream| reset(&stream));
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread.
        drop(TcpStream::connect(self.addr));
        self.set_fault(ProxyFault::Reset);
    }
}

fn join(
    caller: &TcpStream,
    server: SocketAddr,
    harm: &Arc<Mutex<ProxyFault>>,
    connections: &Mutex<Vec<TcpStream>>,
) -> io::Result<()> {
    let server = TcpStream::connect(server)?;
    lock(connections).extend([caller.try_clone()?, server.try_clone()?]);
    let directions = [
        (caller.try_clone()?, server.try_clone()?, false),
        (server, caller.try_clone()?, true),
    ];
    for (from, to, back) in directions {
        let harm = Arc::clone(harm);
        thread::spawn(move || pump(from, to, back, &harm));
    }
    Ok(())
}

/// Passes bytes on in one direction until either side ends.
fn pump(mut from: TcpStream, mut to: TcpStream, back: bool, harm: &Mutex<ProxyFault>) {
    let mut bytes = [0; 16 << 10];
    let mut lossy = false;
    loop {
        let count = match from.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let harm = *lock(harm);
        if let ProxyFault::Delay(time) = harm {
            thread::sleep(time);
        }
        // A connection that has lost bytes carries nothing any more.
        lossy |= harm == ProxyFault::Silence || (back && harm == ProxyFault::OneWay);
        if !lossy && to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    if !lossy {
        let _ = to.shutdown(Shutdown::Write);
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
