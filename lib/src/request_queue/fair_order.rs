//! The order of waiting requests: by priority, then fair between organisations, then by arrival.
//! Organisations that have got more than their fair share elsewhere go after others.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::access::organisation_id::OrganisationId;
use crate::request_queue::entry_id::EntryId;
use crate::request_queue::priority::Priority;
use crate::request_queue::queued_request::QueuedRequest;

/// Orders requests by start-time fair queueing on their expected work: an organisation that has been
/// served less than others goes first. Only requests that are served count.
#[derive(Clone, Debug, Default)]
pub struct FairOrder {
    places: BTreeMap<Place, Waiting>,
    by_id: HashMap<EntryId, Place>,
    classes: HashMap<Tier, Class>,
    next: u64,
}

/// A request's place. `start` is the work that its organisation has been given before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    tier: Tier,
    start: Duration,
    id: EntryId,
}

/// Requests of organisations above their fair share come after others of the same priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Tier {
    priority: Priority,
    above_share: bool,
}

type Owner = Option<OrganisationId>;

#[derive(Clone, Debug)]
struct Waiting {
    owner: Owner,
    wait_end: Instant,
}

/// The requests of one tier.
#[derive(Clone, Debug, Default)]
struct Class {
    /// The largest start of a request that was served.
    served: Duration,
    waiting: usize,
    lanes: HashMap<Owner, Lane>,
}

/// The requests of one organisation in a class.
#[derive(Clone, Debug, Default)]
struct Lane {
    /// The start of its first request.
    start: Duration,
    entries: VecDeque<Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: EntryId,
    work: Duration,
}

impl FairOrder {
    /// Adds a request.
    pub fn push(&mut self, request: QueuedRequest) -> EntryId {
        let QueuedRequest {
            priority,
            organisation: owner,
            above_share,
            work,
            wait_end,
        } = request;
        let tier = Tier {
            priority,
            above_share,
        };
        let id = EntryId::from(self.next);
        self.next += 1;
        let class = self.classes.entry(tier).or_default();
        class.waiting += 1;
        let lane = class.lanes.entry(owner.clone()).or_default();
        if lane.entries.is_empty() {
            lane.start = lane.start.max(class.served);
        }
        let ahead: Duration = lane.entries.iter().map(|entry| entry.work).sum();
        let start = lane.start + ahead;
        lane.entries.push_back(Entry { id, work });
        let place = Place { tier, start, id };
        self.place(place, Waiting { owner, wait_end });
        id
    }

    /// Removes a request that has been served. Its work counts for its organisation.
    pub fn remove_served(&mut self, id: EntryId) {
        self.remove(id, true);
    }

    /// Removes a request that has not been served. Those behind it move up.
    pub fn remove_unserved(&mut self, id: EntryId) {
        self.remove(id, false);
    }

    /// Returns the requests in the order in which they are to be served.
    pub fn iter(&self) -> impl Iterator<Item = (Priority, EntryId)> {
        self.places
            .keys()
            .map(|place| (place.tier.priority, place.id))
    }

    /// Returns the requests in the same order, with the ends of their waits.
    pub fn wait_ends(&self) -> impl Iterator<Item = (EntryId, Instant)> {
        let places = self.places.iter();
        places.map(|(place, waiting)| (place.id, waiting.wait_end))
    }

    /// Returns the waiting requests of each organisation.
    pub fn owners(&self) -> BTreeMap<Owner, usize> {
        let mut owners = BTreeMap::new();
        for waiting in self.places.values() {
            *owners.entry(waiting.owner.clone()).or_default() += 1;
        }
        owners
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether there is no request.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    fn place(&mut self, place: Place, waiting: Waiting) {
        self.by_id.insert(place.id, place);
        self.places.insert(place, waiting);
    }

    fn remove(&mut self, id: EntryId, served: bool) {
        let Some(place) = self.by_id.remove(&id) else {
            return;
        };
        let Some(Waiting { owner, .. }) = self.places.remove(&place) else {
            return;
        };
        let Some(class) = self.classes.get_mut(&place.tier) else {
            return;
        };
        class.waiting -= 1;
        if class.waiting == 0 {
            // Nobody competes any more, so what was served before doesn't count.
            self.classes.remove(&place.tier);
            return;
        }
        let Some(lane) = class.lanes.get_mut(&owner) else {
            return;
        };
        let index = lane.entries.binary_search_by_key(&id, |entry| entry.id);
        let removed = index.ok().and_then(|index| lane.entries.remove(index));
        if served {
            class.served = class.served.max(place.start);
            lane.start += removed.map_or(Duration::ZERO, |entry| entry.work);
        }
        if lane.entries.is_empty() && lane.start <= class.served {
            class.lanes.remove(&owner);
            return;
        }
        let moved = moved_places(place.tier, lane, &self.by_id);
        for (old, new) in moved {
            if let Some(waiting) = self.places.remove(&old) {
                self.place(new, waiting);
            }
        }
    }
}

/// Returns the old and new places of the requests of a lane whose start has changed.
fn moved_places(tier: Tier, lane: &Lane, by_id: &HashMap<EntryId, Place>) -> Vec<(Place, Place)> {
    let mut start = lane.start;
    let mut moved = Vec::new();
    for Entry { id, work } in &lane.entries {
        let id = *id;
        let new = Place { tier, start, id };
        if let Some(old) = by_id.get(&id).filter(|old| **old != new) {
            moved.push((*old, new));
        }
        start += *work;
    }
    moved
}
