//! The queues of the requests that found no target at once, if the configuration has organisations.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::ServiceId;
use carobshore_lib::request_queue::entry_id::EntryId;
use carobshore_lib::request_queue::fair_share::FairShare;
use carobshore_lib::request_queue::queue_action::QueueAction;
use carobshore_lib::request_queue::queue_refusal::QueueRefusal;
use carobshore_lib::request_queue::queued_request::QueuedRequest;
use carobshore_lib::request_queue::service_queue::ServiceQueue;
use carobshore_lib::request_queue::urgent_share::UrgentShare;
use carobshore_lib::search_step::SEARCH_PAUSE;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::target_connections::TargetConnections;
use crate::target_search;
use crate::target_search::Look;
use crate::target_search::Search;
use crate::target_search::SearchResult;

/// A request that is not the first looks after the one before it has looked in vain, or after this
/// time if that one's health checks take longer.
const LATE_LOOK: Duration = SEARCH_PAUSE.saturating_mul(3);

/// The queues of all services.
#[derive(Debug, Default)]
pub(crate) struct RequestQueues {
    services: RefCell<HashMap<ServiceId, QueueState>>,
}

#[derive(Debug, Default)]
struct QueueState {
    queue: ServiceQueue,
    urgent: UrgentShare,
    fair: FairShare,
    seats: HashMap<EntryId, Rc<Seat>>,
}

/// What a waiting request is told.
#[derive(Debug, Default)]
struct Seat {
    woken: Notify,
    /// Set when it is its turn to look; `true` if a slot has just been freed.
    turn: Cell<Option<bool>>,
    refusal: Cell<Option<QueueRefusal>>,
}

impl QueueState {
    fn carry_out(&mut self, metrics: &Metrics, actions: &[QueueAction]) {
        for action in actions {
            let (QueueAction::Wake(id) | QueueAction::Refuse(id, _)) = action;
            let Some(seat) = self.seats.get(id) else {
                continue;
            };
            if let QueueAction::Refuse(_, refusal) = action {
                metrics.queue_refusal(refusal.cause.as_str());
                seat.refusal.set(Some(*refusal));
            }
            seat.woken.notify_one();
        }
    }
}

impl RequestQueues {
    /// Returns how many slots of a target the request leaves free for more urgent ones, and for
    /// organisations that have got less than their share.
    pub(crate) fn kept_free(
        &self,
        gateway: &Gateway,
        now: Instant,
        search: &Search<'_>,
        slots: u32,
    ) -> u32 {
        if !is_used(gateway) {
            return 0;
        }
        let per_slot = gateway.services.load_per_slot(now, search.service);
        self.with(search.service, |state| {
            let (priority, owner) = (search.priority, search.organisation);
            let urgent = state.urgent.kept_free(priority, slots, per_slot);
            urgent.max(state.fair.kept_free(priority, owner, slots, per_slot))
        })
    }

    /// Returns what the state dump shows.
    pub(crate) fn dump(&self, now: Instant) -> serde_json::Value {
        let services = self.services.borrow();
        let of_one = |(service, state): (&ServiceId, &QueueState)| {
            let queue = &state.queue;
            let by_priority = queue.by_priority().into_iter();
            let by_priority = by_priority.map(|(priority, count)| (priority.to_string(), count));
            let by_organisation = queue.by_organisation().into_iter().map(|(id, count)| {
                let id = id.as_ref().map_or("", |id| id.as_str());
                (id.to_owned(), count)
            });
            let shares = state.urgent.shares();
            let shares = shares.map(|(priority, share)| (priority.to_string(), share));
            let shown = serde_json::json!({
                "waiting": queue.len(),
                "by_priority": by_priority.collect::<HashMap<_, _>>(),
                "by_organisation": by_organisation.collect::<HashMap<_, _>>(),
                "pace": queue.pace(now),
                "urgent_share": shares.collect::<HashMap<_, _>>(),
            });
            (service.to_string(), shown)
        };
        services.iter().map(of_one).collect()
    }

    fn with<R>(&self, service: &ServiceId, act: impl FnOnce(&mut QueueState) -> R) -> R {
        let mut services = self.services.borrow_mut();
        if let Some(state) = services.get_mut(service) {
            return act(state);
        }
        act(services.entry(service.clone()).or_default())
    }
}

/// Returns whether requests queue: only if the configuration has organisations.
pub(crate) fn is_used(gateway: &Gateway) -> bool {
    gateway.routes.borrow().config().access.is_some()
}

fn queued(gateway: &Gateway, search: &Search<'_>) -> QueuedRequest {
    let (priority, owner) = (search.priority, search.organisation);
    let above_share = gateway
        .queues
        .with(search.service, |state| state.fair.is_over(priority, owner));
    QueuedRequest {
        above_share,
        priority: search.priority,
        organisation: search.organisation.cloned(),
        work: search.demand.work,
        wait_end: search.times.wait_end,
    }
}

/// Finds a target for the request, at once or when its turn has come.
pub(crate) async fn find(
    gateway: &Rc<Gateway>,
    search: Search<'_>,
    excluded: &[Rc<TargetConnections>],
) -> SearchResult {
    let mut limit_turn = None;
    let mut looked = None;
    let request = queued(gateway, &search);
    let at_once = gateway.queues.with(search.service, |state| {
        let now = Instant::now();
        state.urgent.observe(now, request.priority, request.work);
        state.fair.wanted(now, &request);
        state.queue.may_search_at_once(search.priority)
    });
    if at_once {
        let look = target_search::look(gateway, &search, excluded, &mut limit_turn, false);
        if let Look::Ended(result) = look.await {
            if let SearchResult::Target(_) = result {
                gateway.queues.with(search.service, |state| {
                    state.fair.given(Instant::now(), &request);
                });
            }
            return result;
        }
        looked = Some(Instant::now());
    }
    let place = Place::enter(gateway, &search, request, looked);
    loop {
        let freed = match place.next_turn(search.times.wait_end).await {
            Ok(freed) => freed,
            Err(refusal) => return SearchResult::Overloaded(refusal),
        };
        let look = target_search::look(gateway, &search, excluded, &mut limit_turn, freed);
        match look.await {
            Look::Ended(result @ SearchResult::Target(_)) => {
                place.found.set(true);
                return result;
            }
            Look::Ended(SearchResult::NoRoom(no_room)) if !no_room.limited => {
                return SearchResult::Overloaded(place.wait_over());
            }
            Look::Ended(result) => return result,
            Look::Again => place.seat.turn.set(Some(false)),
            Look::Full | Look::Limited => place.hand_on(freed),
        }
    }
}

/// The place of a request in the queue. It leaves the queue when it is dropped, which also happens
/// when its caller disconnects.
struct Place {
    gateway: Rc<Gateway>,
    service: ServiceId,
    request: QueuedRequest,
    id: EntryId,
    seat: Rc<Seat>,
    /// When it looked last, or when it entered if it may look from the start.
    looked: Cell<Option<Instant>>,
    entered: Instant,
    found: Cell<bool>,
}

impl Place {
    fn enter(
        gateway: &Rc<Gateway>,
        search: &Search<'_>,
        request: QueuedRequest,
        looked: Option<Instant>,
    ) -> Self {
        let now = Instant::now();
        let seat = Rc::new(Seat::default());
        let id = gateway.queues.with(search.service, |state| {
            let (id, actions) = state.queue.enter(now, request.clone());
            state.seats.insert(id, Rc::clone(&seat));
            state.carry_out(&gateway.metrics, &actions);
            id
        });
        gateway.metrics.queue_waiting(search.priority, 1);
        Self {
            gateway: Rc::clone(gateway),
            service: search.service.clone(),
            request,
            id,
            seat,
            looked: Cell::new(looked),
            entered: now,
            found: Cell::new(false),
        }
    }

    /// Waits until the request may look for a target. Returns whether a slot has just been freed.
    async fn next_turn(&self, wait_end: Instant) -> Result<bool, QueueRefusal> {
        let slot_freed = self.gateway.services.slot_freed(&self.service);
        loop {
            if let Some(refusal) = self.seat.refusal.get() {
                return Err(refusal);
            }
            let rank = self.with_state(|state| state.queue.search_rank(self.id));
            let (now, at) = (Instant::now(), self.next_look(rank, wait_end));
            match rank {
                Some(_) => {
                    if let Some(freed) = self.seat.turn.take() {
                        return Ok(freed);
                    }
                    if now >= at {
                        return Ok(false);
                    }
                }
                None if now >= wait_end => return Err(self.wait_over()),
                None => {}
            }
            tokio::select! {
                () = self.seat.woken.notified() => {}
                () = slot_freed.notified(), if rank == Some(0) => return Ok(true),
                () = sleep_until(at.into()) => {}
            }
        }
    }

    /// Returns when to look next, if nothing happens before.
    fn next_look(&self, rank: Option<usize>, wait_end: Instant) -> Instant {
        let looked = self.looked.get();
        let at = match rank {
            Some(0) => looked.map_or(self.entered, |looked| looked + SEARCH_PAUSE),
            Some(_) => looked.unwrap_or(self.entered) + LATE_LOOK,
            None => return wait_end,
        };
        // The last look is at the end of the wait.
        match looked.is_some_and(|looked| looked >= wait_end) {
            true => at,
            false => at.min(wait_end),
        }
    }

    /// Lets the next request look, after this one has looked in vain. Requests look one after the
    /// other, so that a slot goes to the first of them that can use it.
    fn hand_on(&self, freed: bool) {
        let now = Instant::now();
        self.looked.set(Some(now));
        self.seat.turn.set(None);
        self.with_state(|state| {
            let actions = state.queue.review(now);
            state.carry_out(&self.gateway.metrics, &actions);
            let rank = state.queue.search_rank(self.id);
            let next = rank.and_then(|rank| state.queue.next_searcher(rank));
            if let Some(seat) = next.and_then(|next| state.seats.get(&next)) {
                seat.turn.set(Some(freed));
                seat.woken.notify_one();
            }
        });
    }

    fn wait_over(&self) -> QueueRefusal {
        let refusal = self.with_state(|state| state.queue.wait_over(Instant::now(), self.id));
        self.gateway.metrics.queue_refusal(refusal.cause.as_str());
        refusal
    }

    fn with_state<R>(&self, act: impl FnOnce(&mut QueueState) -> R) -> R {
        self.gateway.queues.with(&self.service, act)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = Instant::now();
        self.with_state(|state| {
            state.seats.remove(&self.id);
            let actions = match self.found.get() {
                true => {
                    state.fair.given(now, &self.request);
                    state.queue.found(now, self.id)
                }
                false => state.queue.leave(now, self.id),
            };
            state.carry_out(&self.gateway.metrics, &actions);
        });
        self.gateway
            .metrics
            .queue_waiting(self.request.priority, -1);
    }
}
