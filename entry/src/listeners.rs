//! The sockets on which the data thread accepts connections.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

use crate::settings::Settings;

/// The bound sockets of the data thread.
///
/// They are bound before the thread starts, so that the control thread knows the ports that the
/// kernel chose, and so that a restart of the thread keeps them.
#[derive(Debug)]
pub struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) admin: TcpListener,
}

impl Listeners {
    /// Binds all sockets.
    pub fn bind(settings: &Settings) -> io::Result<Self> {
        Ok(Self {
            callers: TcpListener::bind(settings.listen)?,
            peers: TcpListener::bind(settings.forward)?,
            admin: TcpListener::bind(settings.admin)?,
        })
    }

    /// Returns new handles of the same sockets.
    pub fn try_clone(&self) -> io::Result<Self> {
        Ok(Self {
            callers: self.callers.try_clone()?,
            peers: self.peers.try_clone()?,
            admin: self.admin.try_clone()?,
        })
    }

    /// Returns the address for callers.
    pub fn listen(&self) -> io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Returns the address for other entry VMs.
    pub fn forward(&self) -> io::Result<SocketAddr> {
        self.peers.local_addr()
    }

    /// Returns the address of the admin endpoints.
    pub fn admin(&self) -> io::Result<SocketAddr> {
        self.admin.local_addr()
    }
}
