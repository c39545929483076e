//! The request queue of a pool, fair between callers.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::ticket::CallerId;
use crate::ticket::Ticket;
use crate::ticket::TicketId;

/// Cost of a typical request, and the credit that a caller gets per round.
const QUANTUM: f64 = 1.0;
/// Bounds of a request's cost. The upper one limits the rounds until a request is served.
const COST_BOUNDS: (f64, f64) = (0.25, 8.0);
/// Size of the table of costs. Callers whose ids map to the same entry share a cost.
const COST_ENTRIES: usize = 1024;
/// Weight of a new service time in the moving average that is a caller's cost.
const COST_WEIGHT: f64 = 0.2;

/// Serves callers by deficit round-robin. The cost of a request is its caller's recent service time
/// relative to the typical one, so that a caller with long uploads gets the same slot time as one
/// with short reads, rather than the same number of requests.
#[derive(Clone, Debug)]
pub struct FairQueue {
    queues: HashMap<CallerId, CallerQueue>,
    ring: VecDeque<CallerId>,
    positions: HashMap<TicketId, Position>,
    expiries: BTreeSet<(Instant, Position)>,
    spillable: BTreeSet<Position>,
    costs: Vec<f64>,
    next: u64,
}

#[derive(Clone, Debug)]
struct CallerQueue {
    entries: VecDeque<Entry>,
    deficit: f64,
}

#[derive(Clone, Debug)]
struct Entry {
    position: Position,
    expiry: Instant,
    ticket: Ticket,
}

/// The arrival number and the caller of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    order: u64,
    caller: CallerId,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            queues: HashMap::new(),
            ring: VecDeque::new(),
            positions: HashMap::new(),
            expiries: BTreeSet::new(),
            spillable: BTreeSet::new(),
            costs: vec![QUANTUM; COST_ENTRIES],
            next: 0,
        }
    }
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of callers with waiting requests.
    pub fn callers(&self) -> usize {
        self.ring.len()
    }

    /// Appends a request that expires unless it starts before `expiry`.
    pub fn push(&mut self, ticket: Ticket, expiry: Instant) {
        let caller = ticket.caller;
        let position = Position {
            order: self.next,
            caller,
        };
        self.next += 1;
        self.positions.insert(ticket.id, position);
        self.expiries.insert((expiry, position));
        if !ticket.spilled {
            self.spillable.insert(position);
        }
        // The initial credit lets a caller without waiting requests be served on its first turn.
        let queue = self.queues.entry(caller).or_insert_with(|| CallerQueue {
            entries: VecDeque::new(),
            deficit: QUANTUM,
        });
        if queue.entries.is_empty() {
            self.ring.push_back(caller);
        }
        queue.entries.push_back(Entry {
            position,
            expiry,
            ticket,
        });
    }

    /// Removes and returns the next request in round-robin order.
    pub fn pop(&mut self) -> Option<Ticket> {
        loop {
            let caller = *self.ring.front()?;
            let cost = self.cost(caller);
            let queue = self.queues.get_mut(&caller)?;
            if queue.deficit < cost {
                queue.deficit += QUANTUM;
                self.ring.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            let position = queue.entries.front()?.position;
            return self.remove_at(position);
        }
    }

    /// Removes a request whose caller has disconnected.
    pub fn remove(&mut self, id: TicketId) -> Option<Ticket> {
        let position = *self.positions.get(&id)?;
        self.remove_at(position)
    }

    /// Removes and returns a request that can no longer start in time.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Ticket> {
        let (expiry, position) = *self.expiries.first()?;
        if expiry > now {
            return None;
        }
        self.remove_at(position)
    }

    /// Removes and returns the oldest request that has not been spilled yet.
    pub fn pop_spillable(&mut self) -> Option<Ticket> {
        let position = *self.spillable.first()?;
        self.remove_at(position)
    }

    /// Returns whether any request may be spilled.
    pub fn has_spillable(&self) -> bool {
        !self.spillable.is_empty()
    }

    /// Returns when the next request expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Updates the caller's cost with the service time of a request, relative to the typical one.
    pub fn record_cost(&mut self, caller: CallerId, relative: f64) {
        let cost = &mut self.costs[cost_index(caller)];
        *cost += COST_WEIGHT * (relative.clamp(COST_BOUNDS.0, COST_BOUNDS.1) - *cost);
    }

    fn cost(&self, caller: CallerId) -> f64 {
        self.costs[cost_index(caller)]
    }

    fn remove_at(&mut self, position: Position) -> Option<Ticket> {
        let queue = self.queues.get_mut(&position.caller)?;
        let index = queue
            .entries
            .binary_search_by_key(&position, |entry| entry.position)
            .ok()?;
        let entry = queue.entries.remove(index)?;
        if queue.entries.is_empty() {
            self.queues.remove(&position.caller);
            if self.ring.front() == Some(&position.caller) {
                self.ring.pop_front();
            } else {
                self.ring.retain(|caller| *caller != position.caller);
            }
        }
        self.positions.remove(&entry.ticket.id);
        self.expiries.remove(&(entry.expiry, position));
        self.spillable.remove(&position);
        Some(entry.ticket)
    }
}

fn cost_index(caller: CallerId) -> usize {
    usize::try_from(caller.0 % COST_ENTRIES as u64).unwrap_or(0)
}
