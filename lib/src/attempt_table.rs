//! The attempts in flight of a slot pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use crate::pool_event::AttemptId;
use crate::ticket::CallerId;
use crate::ticket::TicketId;
use crate::window_limiter::ChargeId;

/// Why an attempt was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first copy of a request.
    First {
        /// The request.
        ticket: TicketId,
        /// The request's caller.
        caller: CallerId,
    },
    /// The hedge: a second copy of a request.
    Hedge {
        /// The request.
        ticket: TicketId,
        /// Its charge against the hedge budget.
        charge: ChargeId,
    },
    /// A probe.
    Probe {
        /// Its charge against the measurement budget.
        charge: ChargeId,
    },
}

impl AttemptKind {
    /// Returns the request, or `None` for a probe.
    pub fn ticket(self) -> Option<TicketId> {
        match self {
            Self::First { ticket, .. } | Self::Hedge { ticket, .. } => Some(ticket),
            Self::Probe { .. } => None,
        }
    }
}

/// One attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Why it was started.
    pub kind: AttemptKind,
    /// The index of the target in the target table.
    pub target: usize,
    /// When it was started.
    pub started: Instant,
    /// When the first byte of the response arrived.
    pub first_byte: Option<Instant>,
    /// Whether its cancellation was requested. It counts as in flight until it ends.
    pub cancelled: bool,
}

/// The attempts in flight, in the order in which they started.
#[derive(Clone, Debug, Default)]
pub struct AttemptTable {
    attempts: BTreeMap<AttemptId, Attempt>,
    copies: HashMap<TicketId, Vec<AttemptId>>,
    hedgeable: BTreeSet<AttemptId>,
    next: u64,
}

impl AttemptTable {
    /// Returns the id that [`Self::insert`] assigns next.
    pub fn next_id(&self) -> AttemptId {
        AttemptId(self.next)
    }

    /// Adds an attempt and returns its id. `hedgeable` allows a second copy of its request.
    pub fn insert(&mut self, attempt: Attempt, hedgeable: bool) -> AttemptId {
        let id = self.next_id();
        self.next += 1;
        if let Some(ticket) = attempt.kind.ticket() {
            self.copies.entry(ticket).or_default().push(id);
        }
        if hedgeable {
            self.hedgeable.insert(id);
        }
        self.attempts.insert(id, attempt);
        id
    }

    /// Returns an attempt, or `None` if it has ended.
    pub fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id)
    }

    /// Records the first byte of a response, after which the attempt is not hedged, and returns the
    /// attempt.
    pub fn first_byte(&mut self, now: Instant, id: AttemptId) -> Option<&Attempt> {
        let attempt = self.attempts.get_mut(&id)?;
        attempt.first_byte.get_or_insert(now);
        self.hedgeable.remove(&id);
        Some(attempt)
    }

    /// Removes an attempt that ended, or returns `None` if it is unknown.
    pub fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.hedgeable.remove(&id);
        if let Some(ticket) = attempt.kind.ticket()
            && let Some(copies) = self.copies.get_mut(&ticket)
        {
            copies.retain(|copy| *copy != id);
            if copies.is_empty() {
                self.copies.remove(&ticket);
            }
        }
        Some(attempt)
    }

    /// Excludes the attempt from hedging.
    pub fn mark_not_hedgeable(&mut self, id: AttemptId) {
        self.hedgeable.remove(&id);
    }

    /// Returns the attempts that may be hedged, the oldest first.
    pub fn hedgeable(&self) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        let ids = self.hedgeable.iter();
        ids.filter_map(|id| self.attempts.get(id).map(|attempt| (*id, attempt)))
    }

    /// Returns all attempts, the oldest first.
    pub fn by_age(&self) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        self.attempts.iter().map(|(id, attempt)| (*id, attempt))
    }

    /// Marks the attempts of a request other than `winner` as cancelled, and returns those that
    /// were not cancelled before.
    pub fn cancel_copies(&mut self, ticket: TicketId, winner: Option<AttemptId>) -> Vec<AttemptId> {
        let mut losers = Vec::new();
        for id in self.copies.get(&ticket).into_iter().flatten() {
            let Some(attempt) = self.attempts.get_mut(id) else {
                continue;
            };
            if Some(*id) != winner && !attempt.cancelled {
                attempt.cancelled = true;
                self.hedgeable.remove(id);
                losers.push(*id);
            }
        }
        losers
    }

    /// Marks an attempt as cancelled. Returns whether it is in flight and was not cancelled before.
    pub fn cancel(&mut self, id: AttemptId) -> bool {
        let attempt = self.attempts.get_mut(&id);
        attempt.is_some_and(|attempt| !std::mem::replace(&mut attempt.cancelled, true))
    }

    /// Returns the number of attempts in flight, including cancelled ones that have not ended.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}
