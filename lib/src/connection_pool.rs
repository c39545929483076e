//! The pool of connections to one target, and which of them a request may use.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The longest time since a connection's last response for it to carry a run-once request.
pub const FRESH_AGE: Duration = Duration::from_millis(250);

/// Idle connections are closed after this time.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Identifies a connection within one pool; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// How fresh a connection a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any connection that is not suspect (idempotent requests).
    Any,
    /// A connection that answered within [`FRESH_AGE`], or a new one (run-once requests).
    Fresh,
}

/// The result of a checkout: which connection to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// An idle connection.
    Reuse(ConnId),
    /// A new connection, to be opened under this id. It already counts against the limit.
    Open {
        /// The id of the new connection.
        conn: ConnId,
        /// An idle connection that has to be closed first to stay within the limit.
        close: Option<ConnId>,
    },
    /// All connections are in use.
    AtLimit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting,
    Busy,
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct Conn {
    phase: Phase,
    opened: Instant,
    answered: Instant,
}

/// The connections of one VM to one target.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    limit: usize,
    conns: BTreeMap<ConnId, Conn>,
    next: u64,
    /// Connections opened at or before this time are suspect, because one opened at this time did
    /// not answer.
    suspect: Option<Instant>,
}

impl ConnectionPool {
    /// Creates an empty pool. `limit` is this VM's share of the target's connection budget; at
    /// least one connection is allowed.
    pub fn new(limit: u32) -> Self {
        Self {
            limit: limit.max(1) as usize,
            conns: BTreeMap::new(),
            next: 0,
            suspect: None,
        }
    }

    /// Changes the limit and returns the idle connections that the caller has to close for it.
    pub fn set_limit(&mut self, limit: u32) -> Vec<ConnId> {
        self.limit = limit.max(1) as usize;
        let mut closed = Vec::new();
        while self.conns.len() > self.limit {
            let Some(conn) = self.oldest_idle() else {
                break;
            };
            self.conns.remove(&conn);
            closed.push(conn);
        }
        closed
    }

    /// Chooses a connection. The most recently used one is preferred, so that the others become
    /// idle long enough to be closed.
    pub fn checkout(&mut self, now: Instant, need: Freshness) -> Checkout {
        let usable = |conn: &Conn| {
            let age = now.saturating_duration_since(conn.answered);
            let bound = match need {
                Freshness::Any => MAX_IDLE_TIME,
                Freshness::Fresh => FRESH_AGE,
            };
            conn.phase == Phase::Idle && !self.is_suspect(conn) && age <= bound
        };
        let idle = self.conns.iter().filter(|(_, conn)| usable(conn));
        let best = idle.max_by_key(|(id, conn)| (conn.answered, **id));
        if let Some(id) = best.map(|(id, _)| *id) {
            self.set_phase(id, Phase::Busy);
            return Checkout::Reuse(id);
        }
        let close = match self.conns.len() < self.limit {
            true => None,
            false => match self.oldest_idle() {
                Some(idle) => Some(idle),
                None => return Checkout::AtLimit,
            },
        };
        if let Some(conn) = close {
            self.conns.remove(&conn);
        }
        Checkout::Open {
            conn: self.add(now),
            close,
        }
    }

    /// Records that a connection is established. It belongs to the request that checked it out.
    pub fn opened(&mut self, now: Instant, conn: ConnId) {
        if let Some(found) = self.conns.get_mut(&conn) {
            found.phase = Phase::Busy;
            found.opened = now;
            found.answered = now;
        }
    }

    /// Returns whether a request may be written to a connection that it has checked out. A request
    /// that was delayed between checkout and its first byte may need another connection.
    pub fn may_send(&self, now: Instant, conn: ConnId, need: Freshness) -> bool {
        let Some(found) = self.conns.get(&conn) else {
            return false;
        };
        let age = now.saturating_duration_since(found.answered);
        let fresh = need == Freshness::Any || age <= FRESH_AGE;
        found.phase == Phase::Busy && fresh && !self.is_suspect(found)
    }

    /// Records a complete response and returns whether the connection stays open. On `false` the
    /// caller has to close it.
    pub fn answered(&mut self, now: Instant, conn: ConnId, keep_alive: bool) -> bool {
        let Some(found) = self.conns.get(&conn).copied() else {
            return false;
        };
        if !keep_alive || found.phase != Phase::Busy || self.is_suspect(&found) {
            self.conns.remove(&conn);
            return false;
        }
        let answered = now;
        let phase = Phase::Idle;
        let idle = Conn {
            phase,
            answered,
            ..found
        };
        self.conns.insert(conn, idle);
        true
    }

    /// Returns a connection to the pool on which nothing was written.
    pub fn release_unused(&mut self, conn: ConnId) {
        self.set_phase(conn, Phase::Idle);
    }

    /// Records that a connection was closed or could not be opened. A request that ends before its
    /// response is complete always closes its connection.
    pub fn closed(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
    }

    /// Records that a connection did not answer in time and is being closed. Connections of the
    /// same age or older become suspect; returns the idle ones among them, which have to be closed.
    pub fn timed_out(&mut self, conn: ConnId) -> Vec<ConnId> {
        let Some(found) = self.conns.remove(&conn) else {
            return Vec::new();
        };
        if found.phase == Phase::Connecting {
            return Vec::new();
        }
        self.suspect = self.suspect.max(Some(found.opened));
        self.close_idle(|pool, conn| pool.is_suspect(conn))
    }

    /// Removes the connections that were idle for `MAX_IDLE_TIME` and returns them for closing.
    pub fn expire(&mut self, now: Instant) -> Vec<ConnId> {
        self.close_idle(|_, conn| now.saturating_duration_since(conn.answered) >= MAX_IDLE_TIME)
    }

    /// Returns the number of connections, including those being opened.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Returns whether no connection is open or being opened.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    fn add(&mut self, now: Instant) -> ConnId {
        let id = ConnId(self.next);
        self.next += 1;
        let conn = Conn {
            phase: Phase::Connecting,
            opened: now,
            answered: now,
        };
        self.conns.insert(id, conn);
        id
    }

    fn is_suspect(&self, conn: &Conn) -> bool {
        conn.phase != Phase::Connecting && self.suspect.is_some_and(|until| conn.opened <= until)
    }

    fn oldest_idle(&self) -> Option<ConnId> {
        let idle = self
            .conns
            .iter()
            .filter(|(_, conn)| conn.phase == Phase::Idle);
        idle.min_by_key(|(id, conn)| (conn.answered, **id))
            .map(|(id, _)| *id)
    }

    fn close_idle(&mut self, should_close: impl Fn(&Self, &Conn) -> bool) -> Vec<ConnId> {
        let idle = self
            .conns
            .iter()
            .filter(|(_, conn)| conn.phase == Phase::Idle);
        let closed: Vec<_> = idle
            .filter(|(_, conn)| should_close(self, conn))
            .map(|(id, _)| *id)
            .collect();
        for conn in &closed {
            self.conns.remove(conn);
        }
        closed
    }

    fn set_phase(&mut self, conn: ConnId, phase: Phase) {
        if let Some(found) = self.conns.get_mut(&conn) {
            found.phase = phase;
        }
    }
}
