//! Selects the target of a request by querying targets for their load.

use std::cell::Ref;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::access::region_rule::RegionRule;
use carobshore_lib::check_value::check_plan::CheckPlan;
use carobshore_lib::check_value::prospect::Prospect;
use carobshore_lib::domain_choice::search_scope::SearchScope;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::request_queue::priority::Priority;
use carobshore_lib::request_queue::queue_refusal::QueueRefusal;
use carobshore_lib::search_step::BestTarget;
use carobshore_lib::search_step::SEARCH_PAUSE;
use carobshore_lib::search_step::SearchDeadlines;
use carobshore_lib::search_step::SearchStep;
use carobshore_lib::target_estimator::TargetEstimator;
use carobshore_lib::target_selector;
use carobshore_lib::target_selector::Candidate;
use carobshore_lib::target_selector::Demand;
use carobshore_lib::target_signals::Unavailable;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::health_check;
use crate::health_check::CheckEnd;
use crate::limit_client;
use crate::limited_targets::LimitTurn;
use crate::limited_targets::unused_limit;
use crate::limited_targets::wait_for_limit;
use crate::limited_targets::within_limits;
use crate::limits;
use crate::request_queue;
use crate::target_connections::TargetConnections;
use crate::target_notices;

/// A target with a load report younger than this is not queried again.
const REPORT_VALIDITY: Duration = Duration::from_millis(4);

/// Largest number of targets that one pass queries, normally and while this VM's share of the
/// health checks runs low.
const MAX_QUERIED: usize = 16;
const MAX_QUERIED_WHEN_LOW: usize = 4;

/// The request that a search is for.
#[derive(Clone, Copy, Debug)]
pub struct Search<'a> {
    /// The service whose targets are searched.
    pub service: &'a ServiceId,
    /// The regions in which the request may be handled.
    pub regions: RegionRule<'a>,
    /// The expected work and the size of the request.
    pub demand: Demand,
    /// How long the request may wait, and when the response must have arrived.
    pub times: SearchDeadlines,
    /// How urgent the request is.
    pub priority: Priority,
    /// The organisation that sent it, if any.
    pub organisation: Option<&'a OrganisationId>,
    /// Which targets are considered.
    pub scope: &'a SearchScope,
}

/// The result of a search.
#[derive(Clone, Debug)]
pub enum SearchResult {
    /// The target to send the request to.
    Target(UsableTarget),
    /// There is no target that has not been tried.
    NoTarget,
    /// No target may get the request, for this reason.
    Unavailable(Unavailable),
    /// No target has capacity in time.
    NoRoom(NoRoom),
    /// The request cannot be served in time in the order of its queue.
    Overloaded(QueueRefusal),
}

/// What a refusal for lack of capacity is based on. The log shows it.
#[derive(Clone, Debug)]
pub struct NoRoom {
    /// Time after which a target may have capacity.
    pub retry: Duration,
    /// The best target.
    pub best: TargetId,
    /// Number of requests ahead in its queue.
    pub ahead: f64,
    /// How long the request is expected to take there.
    pub expected: Duration,
    /// Number of targets that were compared.
    pub known: usize,
    /// Whether the limits that the targets name are used up.
    pub limited: bool,
}

impl std::fmt::Display for NoRoom {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            best, ahead, known, ..
        } = self;
        if self.limited {
            return write!(f, "the limits of {known} targets are used up");
        }
        let expected = self.expected.as_millis();
        write!(
            f,
            "best of {known} is {best}, {ahead:.1} ahead, expected {expected} ms"
        )
    }
}

/// The end of one look for a target.
#[derive(Clone, Debug)]
pub(crate) enum Look {
    /// The search has ended.
    Ended(SearchResult),
    /// Another request took the limit of the target; look again now.
    Again,
    /// All targets are limited; look again later.
    Limited,
    /// No target has capacity; look again later.
    Full,
}

/// Finds the best target that is not in `excluded`, and waits for capacity while there is time.
pub async fn find(
    gateway: &Rc<Gateway>,
    search: Search<'_>,
    excluded: &[Rc<TargetConnections>],
) -> SearchResult {
    if request_queue::is_used(gateway) {
        return request_queue::find(gateway, search, excluded).await;
    }
    let slot_freed = gateway.services.slot_freed(search.service);
    // Whether an attempt of this VM has just ended. Its response reported the load of its target.
    let mut just_freed = false;
    let mut turn = None;
    loop {
        match look(gateway, &search, excluded, &mut turn, just_freed).await {
            Look::Ended(result) => return result,
            Look::Again => {}
            Look::Limited => sleep(SEARCH_PAUSE).await,
            Look::Full => {
                just_freed = timeout(SEARCH_PAUSE, slot_freed.notified()).await.is_ok();
            }
        }
    }
}

/// Looks for a target once.
pub(crate) async fn look(
    gateway: &Rc<Gateway>,
    search: &Search<'_>,
    excluded: &[Rc<TargetConnections>],
    turn: &mut Option<LimitTurn>,
    just_freed: bool,
) -> Look {
    let usable = untried(gateway, search, excluded);
    if usable.is_empty() {
        return Look::Ended(
            match target_notices::all_unavailable(gateway, search.service, search.regions) {
                Some(reason) => SearchResult::Unavailable(reason),
                None => SearchResult::NoTarget,
            },
        );
    }
    let usable = match within_limits(gateway, search, usable) {
        Ok(open) => open,
        Err(limited) => {
            if let Some(borrowed) = limit_client::borrow(gateway, &limited).await {
                return Look::Ended(SearchResult::Target(borrowed));
            }
            return match wait_for_limit(gateway, search, &limited, turn) {
                Ok(()) => Look::Limited,
                Err(no_room) => Look::Ended(SearchResult::NoRoom(no_room)),
            };
        }
    };
    if let Some(unused) = unused_limit(search, &usable) {
        return Look::Ended(SearchResult::Target(unused));
    }
    if !just_freed && let Some(ideal) = query_targets(gateway, search, &usable).await {
        // Another request may have used the limit meanwhile.
        return match limits::take(&ideal.connections) {
            true => Look::Ended(SearchResult::Target(ideal)),
            false => Look::Again,
        };
    }
    look_for_best(gateway, search, &usable)
}

/// Takes the best target if it has capacity.
fn look_for_best(gateway: &Gateway, search: &Search<'_>, usable: &[UsableTarget]) -> Look {
    let now = Instant::now();
    let Some(best) = best(gateway, now, search.demand, usable) else {
        return Look::Ended(SearchResult::NoTarget);
    };
    let outlook = best.connections.outlook.borrow().clone();
    let limit = gateway.services.slot_limit(now, search.service, best.slots);
    let queued = outlook.queue_ahead(now, best.slots);
    let mut ahead = queued + f64::from(best.slots - limit);
    let expected = outlook.expected(now, search.demand.work, best.slots);
    let kept_free = gateway.queues.kept_free(gateway, now, search, best.slots);
    if ahead > 0.0
        && queued <= 0.0
        && kept_free == 0
        && gateway
            .services
            .start_trial(now, search.service, limit, best.slots)
    {
        ahead = 0.0;
    }
    ahead += f64::from(kept_free);
    match SearchStep::decide(now, search.times, BestTarget { ahead, expected }) {
        SearchStep::Take if limits::take(&best.connections) => {
            Look::Ended(SearchResult::Target(best))
        }
        SearchStep::Take | SearchStep::Wait => Look::Full,
        SearchStep::Refuse => Look::Ended(SearchResult::NoRoom(NoRoom {
            retry: search.demand.work / 2,
            best: best.connections.id.clone(),
            ahead,
            expected,
            known: usable.len(),
            limited: false,
        })),
    }
}

/// Queries targets once for an idle one whose machine runs no other work, and that is not in
/// `excluded`.
pub async fn find_ideal(
    gateway: &Rc<Gateway>,
    search: Search<'_>,
    excluded: &[Rc<TargetConnections>],
) -> Option<UsableTarget> {
    let usable = untried(gateway, &search, excluded);
    let usable = within_limits(gateway, &search, usable).ok()?;
    let found = query_targets(gateway, &search, &usable).await?;
    let is_ideal = target_selector::is_ideal(Instant::now(), &found.connections.outlook.borrow());
    // A target that was not asked may have other requests.
    let ideal = is_ideal.then_some(found)?;
    limits::take(&ideal.connections).then_some(ideal)
}

/// Queries targets once, and returns the best one that has a free slot by a recent report.
pub(crate) async fn find_free(
    gateway: &Rc<Gateway>,
    search: Search<'_>,
    excluded: &[Rc<TargetConnections>],
) -> Option<UsableTarget> {
    let usable = untried(gateway, &search, excluded);
    let mut usable = within_limits(gateway, &search, usable).ok()?;
    let ideal = query_targets(gateway, &search, &usable).await;
    let now = Instant::now();
    let free = ideal.or_else(|| {
        usable.retain(|usable| is_free(gateway, now, &search, usable));
        best(gateway, now, search.demand, &usable)
    })?;
    limits::take(&free.connections).then_some(free)
}

fn untried(
    gateway: &Rc<Gateway>,
    search: &Search<'_>,
    excluded: &[Rc<TargetConnections>],
) -> Vec<UsableTarget> {
    let mut usable = gateway.usable_targets(search.service);
    if !search.regions.is_unrestricted() {
        let boot = gateway.boot.borrow();
        let region = |usable: &UsableTarget| boot.regions.get(&usable.connections.domain);
        usable.retain(|usable| search.regions.allows(region(usable)));
    }
    health_check::check_unverified(gateway, search.service, &usable);
    let tried = |usable: &UsableTarget| {
        excluded
            .iter()
            .any(|other| Rc::ptr_eq(other, &usable.connections))
    };
    usable.retain(|usable| !tried(usable));
    search.scope.retain(
        &mut usable,
        |usable| usable.local,
        |usable| &usable.connections.domain,
    );
    usable
}

/// Queries targets in rounds, the most promising first, and returns the first ideal one.
async fn query_targets(
    gateway: &Rc<Gateway>,
    search: &Search<'_>,
    usable: &[UsableTarget],
) -> Option<UsableTarget> {
    if !gateway.services.reports_load(search.service) {
        return None;
    }
    let order = {
        let outlooks: Vec<_> = usable
            .iter()
            .map(|u| u.connections.outlook.borrow())
            .collect();
        let candidates = candidates(gateway, usable, &outlooks);
        let mut choice = gateway.choice.borrow_mut();
        let mut order = choice.order(Instant::now(), search.demand, &candidates);
        order.retain(|(_, index)| is_worth_querying(search, &usable[*index]));
        if search.scope.weighs_checks() {
            order.retain(|(_, index)| !is_known_full(gateway, search, &usable[*index]));
        }
        let usual = match gateway.is_check_budget_low(Instant::now()) {
            true => MAX_QUERIED_WHEN_LOW,
            false => MAX_QUERIED,
        };
        order.truncate(search.scope.max_queried(usual));
        let indices = order.into_iter().map(|(_, index)| index);
        indices.collect::<Vec<usize>>()
    };
    let connected: Vec<bool> = usable
        .iter()
        .map(|usable| usable.connections.is_connected())
        .collect();
    let mut rest = &*order;
    let (sender, mut ended) = mpsc::unbounded_channel();
    while let Some(round) = target_selector::rounds(rest, |index| connected[index]).first() {
        let count = worth_asking(gateway, search, usable, rest).min(round.targets.len());
        if count == 0 {
            return unasked(gateway, search, usable);
        }
        let asked;
        (asked, rest) = rest.split_at(count);
        let mut pending = 0;
        for index in asked {
            let connections = &usable[*index].connections;
            if has_current_report(connections) {
                let _ = sender.send(CheckEnd::answered(*index));
            } else if gateway.take_check(Instant::now()) {
                health_check::start_check(
                    gateway,
                    search.service,
                    connections,
                    *index,
                    sender.clone(),
                );
            } else {
                continue;
            }
            pending += 1;
        }
        let end = (Instant::now() + round.patience).min(search.times.deadline);
        while pending > 0
            && let Ok(Some(CheckEnd { index, answered })) =
                timeout_at(end.into(), ended.recv()).await
        {
            // Late answers to earlier rounds count, too.
            pending -= usize::from(asked.contains(&index));
            let outlook = usable[index].connections.outlook.borrow();
            if answered && target_selector::is_ideal(Instant::now(), &outlook) {
                return Some(usable[index].clone());
            }
        }
        if Instant::now() >= search.times.wait_end {
            break;
        }
    }
    None
}

/// Returns how many of the targets at the indices `next`, which are in the order in which to ask them,
/// are worth asking.
fn worth_asking(
    gateway: &Gateway,
    search: &Search<'_>,
    usable: &[UsableTarget],
    next: &[usize],
) -> usize {
    if !search.scope.weighs_checks() {
        return next.len();
    }
    let now = Instant::now();
    let cost_ms =
        |usable: &UsableTarget| cost(gateway, now, search, usable).as_secs_f64() * 1_000.0;
    let known = usable.iter();
    let known = known.filter(|usable| is_free(gateway, now, search, usable));
    let known = known.map(cost_ms).reduce(f64::min);
    let spread = gateway.crossing.spread(search.service);
    let prospect = |index: &usize| {
        let reported = usable[*index].connections.outlook.borrow().last_report();
        Prospect {
            mean: cost_ms(&usable[*index]),
            spread: spread.get(now, search.demand.work, reported.map(|(at, _)| at)),
        }
    };
    let next: Vec<Prospect> = next.iter().map(prospect).collect();
    CheckPlan::new(gateway.is_check_budget_low(now)).count(known, &next)
}

/// Returns the best target that has a free slot by a recent report, if it is good enough to be used
/// without asking others.
fn unasked(
    gateway: &Gateway,
    search: &Search<'_>,
    usable: &[UsableTarget],
) -> Option<UsableTarget> {
    let now = Instant::now();
    let free = usable.iter();
    let free = free.filter(|usable| is_free(gateway, now, search, usable));
    let best = free.min_by_key(|usable| cost(gateway, now, search, usable))?;
    let (ahead, expected) = expectation(gateway, now, search, best);
    let step = SearchStep::decide(now, search.times, BestTarget { ahead, expected });
    (step == SearchStep::Take).then(|| best.clone())
}

/// Returns whether a target has just reported that it has no free slot.
fn is_known_full(gateway: &Gateway, search: &Search<'_>, usable: &UsableTarget) -> bool {
    let now = Instant::now();
    let report = usable.connections.outlook.borrow().last_report();
    target_selector::is_recent(now, report) && !is_free(gateway, now, search, usable)
}

fn cost(gateway: &Gateway, now: Instant, search: &Search<'_>, usable: &UsableTarget) -> Duration {
    let outlook = usable.connections.outlook.borrow();
    let candidate = candidate(gateway, usable, &outlook);
    target_selector::cost(now, search.demand, &candidate)
}

/// Returns how many requests would be ahead of a request on a target, and its expected time there.
fn expectation(
    gateway: &Gateway,
    now: Instant,
    search: &Search<'_>,
    usable: &UsableTarget,
) -> (f64, Duration) {
    let outlook = usable.connections.outlook.borrow();
    let limit = gateway
        .services
        .slot_limit(now, search.service, usable.slots);
    let ahead = outlook.queue_ahead(now, usable.slots) + f64::from(usable.slots - limit);
    let expected = outlook.expected(now, search.demand.work, usable.slots);
    (ahead, expected)
}

/// Returns whether a request finds a free slot on a target, by a recent report.
fn is_free(gateway: &Gateway, now: Instant, search: &Search<'_>, usable: &UsableTarget) -> bool {
    let report = usable.connections.outlook.borrow().last_report();
    let (ahead, expected) = expectation(gateway, now, search, usable);
    let in_time = now + expected <= search.times.deadline;
    target_selector::is_recent(now, report) && ahead <= 0.0 && in_time
}

fn best(
    gateway: &Gateway,
    now: Instant,
    demand: Demand,
    usable: &[UsableTarget],
) -> Option<UsableTarget> {
    let outlooks: Vec<_> = usable
        .iter()
        .map(|u| u.connections.outlook.borrow())
        .collect();
    let candidates = candidates(gateway, usable, &outlooks);
    let best = gateway.choice.borrow_mut().best(now, demand, &candidates)?;
    Some(usable[best].clone())
}

fn candidates<'a>(
    gateway: &Gateway,
    usable: &[UsableTarget],
    outlooks: &'a [Ref<'_, TargetEstimator>],
) -> Vec<Candidate<'a>> {
    let pairs = usable.iter().zip(outlooks);
    pairs
        .map(|(usable, outlook)| candidate(gateway, usable, outlook))
        .collect()
}

fn candidate<'a>(
    gateway: &Gateway,
    usable: &UsableTarget,
    estimator: &'a TargetEstimator,
) -> Candidate<'a> {
    Candidate {
        estimator,
        slots: usable.slots,
        local: usable.local,
        round_trip: gateway.crossing.round_trip(usable),
        connected: usable.connections.is_connected(),
        preferred: usable.preferred,
        missing: usable.missing,
    }
}

/// Returns whether to query a target. A target whose connections are all in use by requests of this
/// VM is known to be busy, and a query would open one more connection. One with a low limit is
/// spared.
fn is_worth_querying(search: &Search<'_>, usable: &UsableTarget) -> bool {
    let connections = &usable.connections;
    let is_light = limits::is_light(connections, search.demand.work, usable.slots);
    let is_idle = connections.is_connected() || connections.outlook.borrow().own_in_flight() == 0;
    is_idle && !is_light
}

fn has_current_report(connections: &TargetConnections) -> bool {
    let report = connections.outlook.borrow().last_report();
    report.is_some_and(|(at, _)| at.elapsed() < REPORT_VALIDITY)
}
