//! The connections of clients to a listener, and the bytes that the process holds for them.
//!
//! Carries out what a [`ClientTable`] decides: it closes connections, wakes those that wait for memory,
//! counts, and logs when a bound is met and when it is free again.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::memory_budget::client_id::ClientId;
use carobshore_lib::memory_budget::client_table::Admission;
use carobshore_lib::memory_budget::client_table::ClientTable;
use carobshore_lib::memory_budget::connection_bounds::ConnectionBounds;
use carobshore_lib::memory_budget::memory_bounds::MemoryBounds;
use carobshore_lib::memory_budget::phase::Phase;
use carobshore_lib::memory_budget::pressure::Pressure;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::held_bytes::HeldBytes;

/// How long a reader waits for memory before its request is refused. Longer than a client must be
/// stalled before it makes room.
const MEMORY_WAIT: Duration = Duration::from_secs(2);
/// How often a reader that waits for memory looks for stalled clients.
const MEMORY_TICK: Duration = Duration::from_millis(100);

/// Why a connection is closed, or a new one refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// There are too many connections, and this one waited longest for its client.
    Replaced,
    /// There are too many connections, and none of them can be closed for the new one.
    Refused,
    /// Others need the memory that it holds.
    Memory,
    /// Its client has taken nothing of a response for too long.
    Stalled,
}

impl CloseReason {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Memory => "memory",
            Self::Stalled => "stalled",
        }
    }
}

/// The connections of clients to a listener. Clones share them.
#[derive(Clone)]
pub struct Clients(Rc<Shared>);

struct Shared {
    /// The listener, for the log.
    name: &'static str,
    table: RefCell<ClientTable>,
    closers: RefCell<HashMap<ClientId, Rc<Closer>>>,
    /// Notified when memory is released.
    released: Notify,
    crowded: RefCell<Pressure>,
    short: RefCell<Pressure>,
    closures: Counter<u64>,
}

/// Tells the tasks of a connection that it is to be closed.
#[derive(Default)]
struct Closer {
    closed: Cell<bool>,
    notify: Notify,
}

/// An admitted connection. It leaves the table when it is dropped.
pub struct ClientConnection {
    clients: Clients,
    id: ClientId,
    closer: Rc<Closer>,
}

impl Clients {
    /// Creates the state of a listener. `closures` counts closed connections by reason.
    pub fn new(
        name: &'static str,
        (connections, memory): (ConnectionBounds, MemoryBounds),
        closures: Counter<u64>,
    ) -> Self {
        Self(Rc::new(Shared {
            name,
            table: RefCell::new(ClientTable::new(connections, memory)),
            closers: RefCell::default(),
            released: Notify::new(),
            crowded: RefCell::default(),
            short: RefCell::default(),
            closures,
        }))
    }

    /// Changes the bounds.
    pub fn set_bounds(&self, (connections, memory): (ConnectionBounds, MemoryBounds)) {
        let mut table = self.0.table.borrow_mut();
        table.set_bounds(connections, memory);
    }

    /// Returns the bounds of the memory.
    pub fn memory(&self) -> MemoryBounds {
        self.0.table.borrow().memory()
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> u64 {
        self.0.table.borrow().held()
    }

    /// Admits a new connection, or returns nothing if it is to be closed.
    pub fn admit(&self, now: Instant, addr: IpAddr) -> Option<ClientConnection> {
        let admission = self.0.table.borrow_mut().admit(now, addr);
        let (id, closed) = match admission {
            Admission::Admitted { client, closed } => (Some(client), closed),
            Admission::Refused => (None, None),
        };
        if id.is_none() || closed.is_some() {
            self.on_crowded(now);
        }
        match (id, closed) {
            (None, _) => self.count(CloseReason::Refused),
            (_, Some(closed)) => self.close(closed, CloseReason::Replaced),
            (_, None) => {}
        }
        let closer = Rc::new(Closer::default());
        let id = id?;
        self.0.closers.borrow_mut().insert(id, Rc::clone(&closer));
        Some(ClientConnection {
            clients: self.clone(),
            id,
            closer,
        })
    }

    /// Starts to count a response that a target sends.
    pub fn begin_response(&self, now: Instant) -> HeldBytes {
        let id = self.0.table.borrow_mut().add_response(now);
        HeldBytes::of_response(self.clone(), id)
    }

    /// Logs that a bound is free again.
    pub fn tick(&self, now: Instant) {
        let Shared {
            name,
            crowded,
            short,
            ..
        } = &*self.0;
        if crowded.borrow_mut().is_over(now) {
            log::info!(listener = name; "connections are below their bound again");
        }
        if short.borrow_mut().is_over(now) {
            log::info!(listener = name; "there is memory for callers again");
        }
    }

    /// Returns what the state dump shows.
    pub fn dump(&self) -> serde_json::Value {
        let table = self.0.table.borrow();
        let (connections, memory) = (table.connections(), table.memory());
        serde_json::json!({
            "connections": table.len(),
            "connections_bound": connections.total,
            "address_bound": connections.address,
            "bytes": table.held(),
            "bytes_bound": memory.total.0,
            "reserve": memory.reserve.0,
        })
    }

    /// Changes a part of what is held for a client. Connections that hold most for longest without
    /// progress are closed if there is not enough memory.
    pub(crate) fn resize(&self, client: ClientId, from: u64, to: u64) -> bool {
        let now = Instant::now();
        if self.0.table.borrow_mut().resize(client, from, to) {
            if to < from {
                self.0.released.notify_waiters();
            }
            return true;
        }
        self.on_short(now);
        self.make_room(now, client, to - from);
        self.0.table.borrow_mut().resize(client, from, to)
    }

    /// Adds bytes that are held already.
    pub(crate) fn force(&self, client: ClientId, bytes: u64) {
        let now = Instant::now();
        let excess = {
            let mut table = self.0.table.borrow_mut();
            table.force(client, bytes);
            table.held().saturating_sub(table.memory().total.0)
        };
        if excess > 0 {
            self.on_short(now);
            self.make_room(now, client, excess);
        }
    }

    /// Counts bytes apart from the connection that sent them, which may end before.
    pub(crate) fn detach(&self, bytes: u64) -> ClientId {
        let mut table = self.0.table.borrow_mut();
        let id = table.add_response(Instant::now());
        table.force(id, bytes);
        id
    }

    /// Removes a response or a connection.
    pub(crate) fn remove(&self, client: ClientId) {
        self.0.table.borrow_mut().remove(client);
        self.0.closers.borrow_mut().remove(&client);
        self.0.released.notify_waiters();
    }

    fn make_room(&self, now: Instant, asker: ClientId, bytes: u64) {
        let closed = self.0.table.borrow_mut().make_room(now, asker, bytes);
        for client in closed {
            self.close(client, CloseReason::Memory);
        }
    }

    fn close(&self, client: ClientId, reason: CloseReason) {
        let closer = self.0.closers.borrow_mut().remove(&client);
        if let Some(closer) = closer {
            self.count(reason);
            closer.closed.set(true);
            closer.notify.notify_waiters();
        }
    }

    fn count(&self, reason: CloseReason) {
        let labels = [
            KeyValue::new("listener", self.0.name),
            KeyValue::new("reason", reason.as_str()),
        ];
        self.0.closures.add(1, &labels);
    }

    fn on_crowded(&self, now: Instant) {
        if self.0.crowded.borrow_mut().met(now) {
            let table = self.0.table.borrow();
            let (bound, address) = (table.connections().total, table.connections().address);
            log::warn!(listener = self.0.name, connections = table.len(), bound, address; "too many connections");
        }
    }

    fn on_short(&self, now: Instant) {
        if self.0.short.borrow_mut().met(now) {
            let (held, bound) = (self.held(), self.memory().total.0);
            log::warn!(listener = self.0.name, held, bound; "callers need too much memory");
        }
    }
}

impl fmt::Debug for Clients {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clients")
            .field("name", &self.0.name)
            .finish_non_exhaustive()
    }
}

impl ClientConnection {
    /// Records what the connection is doing now, or that it has made progress in it.
    pub fn progress(&self, phase: Phase) {
        let mut table = self.clients.0.table.borrow_mut();
        table.progress(Instant::now(), self.id, phase);
    }

    /// Starts to count what the connection holds.
    pub fn hold(&self) -> HeldBytes {
        HeldBytes::of_connection(self.clients.clone(), self.id)
    }

    /// Raises what the connection holds. Waits for a while if there is not enough memory. Returns whether
    /// there is.
    pub async fn grow(&self, held: &mut HeldBytes, bytes: u64) -> bool {
        let until = Instant::now() + MEMORY_WAIT;
        while !held.resize(bytes) {
            if Instant::now() >= until {
                return false;
            }
            // It waits for this VM, and must not be closed as one that waits for its client.
            self.progress(Phase::Serving);
            let _ = timeout(MEMORY_TICK, self.clients.0.released.notified()).await;
        }
        true
    }

    /// Closes the connection.
    pub fn close(&self, reason: CloseReason) {
        self.clients.0.table.borrow_mut().remove(self.id);
        self.clients.close(self.id, reason);
        self.clients.0.released.notify_waiters();
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        while !self.closer.closed.get() {
            self.closer.notify.notified().await;
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.clients.remove(self.id);
    }
}
