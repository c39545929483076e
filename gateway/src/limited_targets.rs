//! Requests for targets that name limits.

use std::rc::Rc;
use std::time::Instant;

use carobshore_lib::limit_queue::LimitQueue;
use carobshore_lib::limit_queue::LimitedSupply;
use carobshore_lib::prelude::ServiceId;

use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::limit_client;
use crate::limits;
use crate::target_search::NoRoom;
use crate::target_search::Search;
use crate::warmup;

/// Largest size of a request and its response, in bytes, that goes to another failure domain only to
/// use a limit.
const MAX_REMOTE_BYTES: usize = 16 << 10;
/// Largest share of failed attempts at a target whose limit is used before others are compared.
const MAX_FAILURE_SHARE: f64 = 0.3;
/// Largest time of a request there, as a multiple of its expected time.
const MAX_SLOWNESS: u32 = 2;

/// Returns the targets whose limits allow a request, or all of them if none does. Cold targets are
/// not among them while a warm one has a free slot: they are idle because they take little.
pub(crate) fn within_limits(
    gateway: &Gateway,
    search: &Search<'_>,
    usable: Vec<UsableTarget>,
) -> Result<Vec<UsableTarget>, Vec<UsableTarget>> {
    let (open, limited): (Vec<_>, Vec<_>) = usable
        .into_iter()
        .partition(|usable| limits::is_open(&usable.connections));
    if open.is_empty() {
        return Err(limited);
    }
    let (warm, cold): (Vec<_>, Vec<_>) = open
        .into_iter()
        .partition(|usable| !warmup::is_cold(&usable.connections));
    let has_room = |usable: &UsableTarget| has_free_slot(gateway, search.service, usable);
    match cold.is_empty() || warm.iter().any(has_room) {
        true => Ok(warm),
        false => Ok([warm, cold].concat()),
    }
}

/// Returns whether a target is expected to have a slot that a request may take.
fn has_free_slot(gateway: &Gateway, service: &ServiceId, usable: &UsableTarget) -> bool {
    let now = Instant::now();
    let outlook = usable.connections.outlook.borrow();
    let kept_free = usable.slots - gateway.services.slot_limit(now, service, usable.slots);
    outlook.queue_ahead(now, usable.slots) + f64::from(kept_free) <= 0.0
}

/// Takes the request of a target that is mostly idle because of its limit. Such a target is used as
/// much as it allows, so that the end of its limit is noticed.
pub(crate) fn unused_limit(search: &Search<'_>, usable: &[UsableTarget]) -> Option<UsableTarget> {
    let is_unused = |usable: &&UsableTarget| {
        let connections = &usable.connections;
        let outlook = connections.outlook.borrow();
        let now = Instant::now();
        let work = search.demand.work;
        (usable.local || search.demand.bytes <= MAX_REMOTE_BYTES)
            && limits::is_light(connections, work, usable.slots)
            && !warmup::is_cold(connections)
            && outlook.own_in_flight() == 0
            && outlook.failure_share(now) < MAX_FAILURE_SHARE
            && outlook.expected_alone(now, work) <= work * MAX_SLOWNESS
    };
    let unused = usable
        .iter()
        .filter(|usable| !usable.missing)
        .find(is_unused)?;
    limits::take(&unused.connections).then(|| unused.clone())
}

/// Lets a request wait for a limit, or fails if it would wait too long.
pub(crate) fn wait_for_limit(
    gateway: &Rc<Gateway>,
    search: &Search<'_>,
    limited: &[UsableTarget],
    turn: &mut Option<LimitTurn>,
) -> Result<(), NoRoom> {
    let now = Instant::now();
    let end = search.times.wait_end;
    if turn.is_some() && now < end {
        return Ok(());
    }
    let is_checked = |usable: &UsableTarget| usable.connections.cold.borrow().is_answer_likely();
    if now < end && limited.iter().any(is_checked) {
        return Ok(());
    }
    let supply = supply(gateway, limited);
    if turn.is_none()
        && gateway.with_limit_queue(search.service, |queue| queue.enter(now, supply, end))
    {
        *turn = Some(LimitTurn {
            gateway: Rc::clone(gateway),
            service: search.service.clone(),
        });
        return Ok(());
    }
    let retry = gateway.with_limit_queue(search.service, |queue| queue.refuse(now, supply));
    Err(NoRoom {
        retry,
        best: limited[0].connections.id.clone(),
        ahead: 0.0,
        expected: search.demand.work,
        known: limited.len(),
        limited: true,
    })
}

/// Returns what limited targets take from this VM: its own parts, or else what others may give up.
fn supply(gateway: &Gateway, limited: &[UsableTarget]) -> Option<LimitedSupply> {
    limits::supply(limited).or_else(|| {
        let rates = limit_client::limited_rates(limited);
        let parts = rates
            .iter()
            .filter_map(|(target, rate)| gateway.borrowed_supply(target, *rate));
        parts.reduce(LimitedSupply::and)
    })
}

/// A request that waits for a limit. It is uncounted when it is dropped.
pub(crate) struct LimitTurn {
    gateway: Rc<Gateway>,
    service: ServiceId,
}

impl Drop for LimitTurn {
    fn drop(&mut self) {
        self.gateway
            .with_limit_queue(&self.service, LimitQueue::leave);
    }
}
