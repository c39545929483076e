//! The queue of a pool, fair over callers.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::ticket::CallerId;
use crate::ticket::Ticket;
use crate::ticket::TicketId;

/// Cost of a typical request, and what a caller earns per round.
const QUANTUM: f64 = 1.0;
/// Bounds of a request's cost. The upper one bounds the rounds until a request is served.
const COST: (f64, f64) = (0.25, 8.0);
/// Number of remembered costs. Callers that share a place share the cost.
const COSTS: usize = 1024;
/// Weight of a new service time in a caller's cost.
const COST_WEIGHT: f64 = 0.2;

/// Serves callers by deficit round-robin. The cost of a request is its caller's recent service
/// time relative to the typical one, so that a caller of long uploads gets the same slot time as a
/// caller of short reads, and not the same number of requests.
#[derive(Clone, Debug)]
pub struct FairQueue {
    lanes: HashMap<CallerId, Lane>,
    ring: VecDeque<CallerId>,
    places: HashMap<TicketId, Place>,
    expiries: BTreeSet<(Instant, Place)>,
    spillable: BTreeSet<Place>,
    costs: Vec<f64>,
    next: u64,
}

#[derive(Clone, Debug)]
struct Lane {
    entries: VecDeque<Entry>,
    deficit: f64,
}

#[derive(Clone, Debug)]
struct Entry {
    place: Place,
    expiry: Instant,
    ticket: Ticket,
}

/// The order of arrival and the lane of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    order: u64,
    caller: CallerId,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            lanes: HashMap::new(),
            ring: VecDeque::new(),
            places: HashMap::new(),
            expiries: BTreeSet::new(),
            spillable: BTreeSet::new(),
            costs: vec![QUANTUM; COSTS],
            next: 0,
        }
    }
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of callers with waiting requests.
    pub fn callers(&self) -> usize {
        self.ring.len()
    }

    /// Appends a request that has to start before `expiry`.
    pub fn push(&mut self, ticket: Ticket, expiry: Instant) {
        let caller = ticket.caller;
        let place = Place {
            order: self.next,
            caller,
        };
        self.next += 1;
        self.places.insert(ticket.id, place);
        self.expiries.insert((expiry, place));
        if !ticket.spilled {
            self.spillable.insert(place);
        }
        // A caller that was not waiting is served on its first turn.
        let lane = self.lanes.entry(caller).or_insert_with(|| Lane {
            entries: VecDeque::new(),
            deficit: QUANTUM,
        });
        if lane.entries.is_empty() {
            self.ring.push_back(caller);
        }
        lane.entries.push_back(Entry {
            place,
            expiry,
            ticket,
        });
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<Ticket> {
        loop {
            let caller = *self.ring.front()?;
            let cost = self.cost(caller);
            let lane = self.lanes.get_mut(&caller)?;
            if lane.deficit < cost {
                lane.deficit += QUANTUM;
                self.ring.rotate_left(1);
                continue;
            }
            lane.deficit -= cost;
            let place = lane.entries.front()?.place;
            return self.take(place);
        }
    }

    /// Removes a request whose caller went away.
    pub fn remove(&mut self, id: TicketId) -> Option<Ticket> {
        let place = *self.places.get(&id)?;
        self.take(place)
    }

    /// Takes a request that can no longer start in time.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Ticket> {
        let (expiry, place) = *self.expiries.first()?;
        if expiry > now {
            return None;
        }
        self.take(place)
    }

    /// Takes the oldest request that has not been spilled.
    pub fn pop_spillable(&mut self) -> Option<Ticket> {
        let place = *self.spillable.first()?;
        self.take(place)
    }

    /// Tells whether any request may be spilled.
    pub fn has_spillable(&self) -> bool {
        !self.spillable.is_empty()
    }

    /// Returns when the next request can no longer start in time.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Takes in how long a request of the caller took, relative to the typical time.
    pub fn record_cost(&mut self, caller: CallerId, relative: f64) {
        let cost = &mut self.costs[cost_index(caller)];
        *cost += COST_WEIGHT * (relative.clamp(COST.0, COST.1) - *cost);
    }

    fn cost(&self, caller: CallerId) -> f64 {
        self.costs[cost_index(caller)]
    }

    fn take(&mut self, place: Place) -> Option<Ticket> {
        let lane = self.lanes.get_mut(&place.caller)?;
        let at = lane
            .entries
            .binary_search_by_key(&place, |entry| entry.place)
            .ok()?;
        let entry = lane.entries.remove(at)?;
        if lane.entries.is_empty() {
            self.lanes.remove(&place.caller);
            if self.ring.front() == Some(&place.caller) {
                self.ring.pop_front();
            } else {
                self.ring.retain(|caller| *caller != place.caller);
            }
        }
        self.places.remove(&entry.ticket.id);
        self.expiries.remove(&(entry.expiry, place));
        self.spillable.remove(&place);
        Some(entry.ticket)
    }
}

fn cost_index(caller: CallerId) -> usize {
    usize::try_from(caller.0 % COSTS as u64).unwrap_or(0)
}
