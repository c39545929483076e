//! The connections to targets and other entry VMs, by address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::connection_pool::Checkout;
use carobshore_lib::connection_pool::ConnId;
use carobshore_lib::connection_pool::ConnectionPool;
use carobshore_lib::connection_pool::Freshness;
use tokio::sync::Notify;

use crate::connection::Connection;

/// The connections to one address.
#[derive(Debug)]
pub struct AddressConnections {
    addr: SocketAddr,
    connect_timeout: Duration,
    pool: RefCell<ConnectionPool>,
    idle: RefCell<HashMap<ConnId, Rc<Connection>>>,
    released: Notify,
}

impl AddressConnections {
    /// Builds the state of an address without connections, of which at most `limit` are opened.
    pub fn new(addr: SocketAddr, limit: u32, connect_timeout: Duration) -> Rc<Self> {
        Rc::new(Self {
            addr,
            connect_timeout,
            pool: RefCell::new(ConnectionPool::new(limit)),
            idle: RefCell::default(),
            released: Notify::new(),
        })
    }

    /// Changes the largest number of connections, and closes idle ones above it.
    pub fn set_limit(&self, limit: u32) {
        let surplus = self.pool.borrow_mut().set_limit(limit);
        self.drop_idle(&surplus);
    }

    /// Takes an idle connection or opens one. Waits while all allowed connections are in use.
    pub async fn checkout(self: &Rc<Self>, need: Freshness) -> io::Result<ConnectionGuard> {
        loop {
            let choice = self.pool.borrow_mut().checkout(Instant::now(), need);
            match choice {
                Checkout::Reuse(id) => {
                    if let Some(guard) = self.take_idle(id) {
                        return Ok(guard);
                    }
                }
                Checkout::Open { conn, close } => {
                    self.drop_idle(close.as_slice());
                    return self.open(conn).await;
                }
                Checkout::AtLimit => self.released.notified().await,
            }
        }
    }

    /// Records that a connection did not answer in time, and closes the idle ones of the same age.
    pub fn timed_out(&self, id: ConnId) {
        let suspects = self.pool.borrow_mut().timed_out(id);
        self.drop_idle(&suspects);
    }

    /// Closes connections that were idle for too long, and removes those that the peer has closed.
    pub fn sweep(&self, now: Instant) {
        let expired = self.pool.borrow_mut().expire(now);
        self.drop_idle(&expired);
        let mut pool = self.pool.borrow_mut();
        self.idle.borrow_mut().retain(|id, connection| {
            let closed = connection.is_closed();
            if closed {
                pool.closed(*id);
            }
            !closed
        });
    }

    /// Returns the number of connections, including those being opened.
    pub fn len(&self) -> usize {
        self.pool.borrow().len()
    }

    /// Returns whether there are no connections, not even ones being opened.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn take_idle(self: &Rc<Self>, id: ConnId) -> Option<ConnectionGuard> {
        let connection = self.idle.borrow_mut().remove(&id);
        let usable = connection.filter(|connection| !connection.is_closed());
        if usable.is_none() {
            self.pool.borrow_mut().closed(id);
        }
        usable.map(|connection| ConnectionGuard {
            owner: Rc::clone(self),
            id,
            connection: Some(connection),
        })
    }

    async fn open(self: &Rc<Self>, id: ConnId) -> io::Result<ConnectionGuard> {
        // If the attempt is cancelled meanwhile, dropping the guard frees the place in the pool.
        let mut guard = ConnectionGuard {
            owner: Rc::clone(self),
            id,
            connection: None,
        };
        let connection = Connection::open(self.addr, self.connect_timeout).await?;
        self.pool.borrow_mut().opened(Instant::now(), id);
        guard.connection = Some(Rc::new(connection));
        Ok(guard)
    }

    fn drop_idle(&self, ids: &[ConnId]) {
        let mut idle = self.idle.borrow_mut();
        for id in ids {
            idle.remove(id);
        }
    }
}

/// A connection in use by one attempt. Dropping the guard closes the connection.
#[derive(Debug)]
pub struct ConnectionGuard {
    owner: Rc<AddressConnections>,
    id: ConnId,
    connection: Option<Rc<Connection>>,
}

impl ConnectionGuard {
    /// Returns the id of the connection within its address.
    pub fn id(&self) -> ConnId {
        self.id
    }

    /// Returns the connection, or `None` while it is being opened.
    pub fn connection(&self) -> Option<&Rc<Connection>> {
        self.connection.as_ref()
    }

    /// Returns whether a request may be written to the connection now.
    pub fn may_send(&self, need: Freshness) -> bool {
        let open = self.connection().is_some_and(|conn| !conn.is_closed());
        open && self
            .owner
            .pool
            .borrow()
            .may_send(Instant::now(), self.id, need)
    }

    /// Returns a connection on which nothing was written to the idle ones.
    pub fn release_unused(mut self) {
        if let Some(connection) = self.connection.take() {
            self.owner.pool.borrow_mut().release_unused(self.id);
            self.keep(connection);
        }
    }

    /// Returns a connection to the idle ones after a complete response, if it is `reusable`.
    pub fn release(mut self, reusable: bool) {
        let now = Instant::now();
        let kept = self
            .owner
            .pool
            .borrow_mut()
            .answered(now, self.id, reusable);
        if let Some(connection) = self.connection.take()
            && kept
        {
            self.keep(connection);
        }
        // The pool has already released a connection that is not kept. Dropping the guard releases
        // it once more, which has no effect.
    }

    fn keep(&self, connection: Rc<Connection>) {
        self.owner.idle.borrow_mut().insert(self.id, connection);
        self.owner.released.notify_one();
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let kept = self.owner.idle.borrow().contains_key(&self.id);
        if !kept {
            self.owner.pool.borrow_mut().closed(self.id);
            self.owner.released.notify_one();
        }
    }
}

/// The connections to all addresses.
#[derive(Debug)]
pub struct ConnectionTable {
    connect_timeout: Duration,
    addresses: RefCell<HashMap<SocketAddr, Rc<AddressConnections>>>,
}

impl ConnectionTable {
    /// Builds an empty table.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            addresses: RefCell::default(),
        }
    }

    /// Returns the connections to an address, and sets their limit.
    pub fn get_or_create(&self, addr: SocketAddr, limit: u32) -> Rc<AddressConnections> {
        let mut addresses = self.addresses.borrow_mut();
        let found = addresses
            .entry(addr)
            .or_insert_with(|| AddressConnections::new(addr, limit, self.connect_timeout));
        found.set_limit(limit);
        Rc::clone(found)
    }

    /// Closes connections that were idle for too long, and removes addresses that have none and are
    /// not in use.
    pub fn sweep(&self, now: Instant) {
        self.addresses.borrow_mut().retain(|_, connections| {
            connections.sweep(now);
            !connections.is_empty() || Rc::strong_count(connections) > 1
        });
    }

    /// Returns the number of connections to all addresses.
    pub fn count(&self) -> usize {
        self.addresses
            .borrow()
            .values()
            .map(|connections| connections.len())
            .sum()
    }
}
