//! The connections of clients, and the bytes that the process holds for each.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use crate::memory_budget::client_id::ClientId;
use crate::memory_budget::connection_bounds::ConnectionBounds;
use crate::memory_budget::memory_bounds::MemoryBounds;
use crate::memory_budget::phase::Phase;

/// A response counts as small up to this multiple of what a connection may hold.
const RESPONSE_FACTOR: u64 = 2;

/// How long a client must have made no progress before its connection may be closed for another one.
pub const MIN_STALL: Duration = Duration::from_secs(1);

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted.
    Admitted {
        /// Its number.
        client: ClientId,
        /// The connection that is to be closed for it.
        closed: Option<ClientId>,
    },
    /// It is closed.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Client {
    /// The address; nothing for a response that a target sends.
    addr: Option<IpAddr>,
    phase: Phase,
    /// When the phase began, or when the last progress was made in it.
    since: Instant,
    bytes: u64,
}

/// The connections of clients, and the bytes that the process holds for each.
///
/// Clients that hold little and those that hold much are counted apart, so that the latter can't use up
/// the reserve.
#[derive(Clone, Debug)]
pub struct ClientTable {
    connections: ConnectionBounds,
    memory: MemoryBounds,
    clients: BTreeMap<ClientId, Client>,
    counts: BTreeMap<IpAddr, u32>,
    total: u32,
    small: u64,
    large: u64,
    last: ClientId,
}

impl ClientTable {
    /// Creates an empty table.
    pub fn new(connections: ConnectionBounds, memory: MemoryBounds) -> Self {
        Self {
            connections,
            memory,
            clients: BTreeMap::new(),
            counts: BTreeMap::new(),
            total: 0,
            small: 0,
            large: 0,
            last: ClientId::default(),
        }
    }

    /// Returns the bounds of the memory.
    pub fn memory(&self) -> MemoryBounds {
        self.memory
    }

    /// Returns the bounds of the connections.
    pub fn connections(&self) -> ConnectionBounds {
        self.connections
    }

    /// Changes the bounds, for connections and bytes that come from now on.
    pub fn set_bounds(&mut self, connections: ConnectionBounds, memory: MemoryBounds) {
        self.connections = connections;
        self.memory = memory;
    }

    /// Returns the number of connections.
    pub fn len(&self) -> u32 {
        self.total
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> u64 {
        self.small + self.large
    }

    /// Decides on a new connection. One that is to be closed for it is no longer in the table.
    pub fn admit(&mut self, now: Instant, addr: IpAddr) -> Admission {
        let own = self.count(addr);
        let full = self.total >= self.connections.total;
        let half_used = self.total * 2 >= self.connections.total;
        let address_full = own >= self.connections.address && half_used;
        let mut closed = None;
        if full || address_full {
            closed = self.replaceable(now, addr, full && !address_full);
            match closed {
                Some(client) => self.remove(client),
                None => return Admission::Refused,
            }
        }
        *self.counts.entry(addr).or_default() += 1;
        self.total += 1;
        let client = self.insert(now, Some(addr), Phase::Idle);
        Admission::Admitted { client, closed }
    }

    /// Adds a response that a target sends. It counts as no connection and is not closed for others.
    pub fn add_response(&mut self, now: Instant) -> ClientId {
        self.insert(now, None, Phase::Serving)
    }

    /// Removes a connection or a response, with all that is held for it.
    pub fn remove(&mut self, client: ClientId) {
        let Some(removed) = self.clients.remove(&client) else {
            return;
        };
        let small = self.small_limit(removed.addr);
        *self.class(small, removed.bytes) -= removed.bytes;
        let Some(addr) = removed.addr else { return };
        self.total -= 1;
        if let Some(count) = self.counts.get_mut(&addr) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&addr);
            }
        }
    }

    /// Records what a connection is doing now, or that it has made progress in it.
    pub fn progress(&mut self, now: Instant, client: ClientId, phase: Phase) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.phase = phase;
            client.since = now;
        }
    }

    /// Changes a part of what is held for a client. Returns whether there is that much memory. Less is
    /// always possible, and so is anything for a client that was closed.
    pub fn resize(&mut self, client: ClientId, from: u64, to: u64) -> bool {
        let Some((bytes, addr)) = self
            .clients
            .get(&client)
            .map(|known| (known.bytes, known.addr))
        else {
            return true;
        };
        let new = bytes.saturating_sub(from).saturating_add(to);
        let allowed = to <= from || self.allows(self.small_limit(addr), bytes, new);
        if allowed {
            self.replace(client, bytes, new);
        }
        allowed
    }

    /// Adds bytes that are held already, whether or not there is that much memory.
    pub fn force(&mut self, client: ClientId, bytes: u64) {
        if let Some(held) = self.clients.get(&client).map(|client| client.bytes) {
            self.replace(client, held, held.saturating_add(bytes));
        }
    }

    /// Chooses connections to close so that a client can hold this many bytes more: those that hold most
    /// for longest without progress. They are no longer in the table. Returns none if closing all that
    /// may be closed is not enough.
    pub fn make_room(&mut self, now: Instant, asker: ClientId, bytes: u64) -> Vec<ClientId> {
        let asks = self.clients.get(&asker).map_or(0, |client| client.bytes);
        let wants_little = asks.saturating_add(bytes) <= self.memory.small.0;
        let mut ranked: Vec<_> = self
            .clients
            .iter()
            .filter(|(id, client)| **id != asker && client.is_stalled(now) && client.bytes > 0)
            .filter(|(_, client)| wants_little || client.bytes > self.memory.small.0)
            .map(|(id, client)| (Reverse(client.weight(now)), *id, client.bytes))
            .collect();
        ranked.sort_unstable();
        let mut closed = Vec::new();
        let mut freed = 0_u64;
        for (_, id, held) in ranked {
            if freed >= bytes {
                break;
            }
            freed += held;
            closed.push(id);
        }
        if freed < bytes {
            return Vec::new();
        }
        closed.iter().for_each(|id| self.remove(*id));
        closed
    }

    fn insert(&mut self, now: Instant, addr: Option<IpAddr>, phase: Phase) -> ClientId {
        self.last.0 += 1;
        let client = Client {
            addr,
            phase,
            since: now,
            bytes: 0,
        };
        self.clients.insert(self.last, client);
        self.last
    }

    fn count(&self, addr: IpAddr) -> u32 {
        self.counts.get(&addr).copied().unwrap_or(0)
    }

    /// Returns the connection to close for a new one: of the address that holds most, the one that was
    /// idle for longest, or else one that has begun a request and made no progress. `any` says whether it
    /// may be that of another address, which must hold more.
    fn replaceable(&self, now: Instant, addr: IpAddr, any: bool) -> Option<ClientId> {
        let own = self.count(addr);
        let ranked = self.clients.iter().filter_map(|(id, client)| {
            let held_by = client.addr?;
            let count = self.count(held_by);
            let may_go = held_by == addr || any && count > own;
            let idle = client.phase == Phase::Idle;
            let stalled = client.phase == Phase::Receiving && client.is_stalled(now);
            (may_go && (idle || stalled)).then_some((count, idle, Reverse(client.since), *id))
        });
        ranked.max().map(|(.., id)| id)
    }

    /// Returns up to how many bytes an entry counts as small. A response of usual length must find
    /// memory while one large body is held: the request has run by then.
    fn small_limit(&self, addr: Option<IpAddr>) -> u64 {
        match addr {
            Some(_) => self.memory.small.0,
            None => self.memory.small.0 * RESPONSE_FACTOR,
        }
    }

    /// Returns whether an entry that counts as small up to `small`, and holds `old` bytes, may hold `new`.
    fn allows(&self, small: u64, old: u64, new: u64) -> bool {
        let MemoryBounds {
            total,
            reserve,
            lone,
            ..
        } = self.memory;
        let (mut others_small, mut others_large) = (self.small, self.large);
        match old <= small {
            true => others_small -= old,
            false => others_large -= old,
        }
        let all = others_small
            .saturating_add(others_large)
            .saturating_add(new);
        if new <= small {
            return others_small + new <= reserve.0 || all <= total.0;
        }
        let large = others_large.saturating_add(new);
        large <= total.0 - reserve.0 && all <= total.0 || others_large == 0 && new <= lone.0
    }

    fn replace(&mut self, client: ClientId, old: u64, new: u64) {
        let addr = self.clients.get(&client).and_then(|client| client.addr);
        let small = self.small_limit(addr);
        *self.class(small, old) -= old;
        *self.class(small, new) += new;
        if let Some(client) = self.clients.get_mut(&client) {
            client.bytes = new;
        }
    }

    /// Returns the sum to which this many bytes of an entry belong.
    fn class(&mut self, small: u64, bytes: u64) -> &mut u64 {
        match bytes <= small {
            true => &mut self.small,
            false => &mut self.large,
        }
    }
}

impl Client {
    fn is_stalled(&self, now: Instant) -> bool {
        self.addr.is_some()
            && self.phase.waits_for_client()
            && now.saturating_duration_since(self.since) >= MIN_STALL
    }

    /// Returns what the client holds for how long without progress, in bytes times milliseconds.
    fn weight(&self, now: Instant) -> u128 {
        let stalled = now.saturating_duration_since(self.since).as_millis();
        u128::from(self.bytes) * stalled
    }
}
