//! Selects the target of a request by querying targets for their load.

use std::cell::Ref;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::client::EncodedRequest;
use carobshore_http::head::ResponseHead;
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
use carobshore_platform::header_fields;
use carobshore_platform::header_fields::StatedKeepAlive;
use carobshore_platform::header_fields::StatedLoad;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::crossing;
use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::limit_client;
use crate::limited_targets::LimitTurn;
use crate::limited_targets::unused_limit;
use crate::limited_targets::wait_for_limit;
use crate::limited_targets::within_limits;
use crate::limits;
use crate::request_queue;
use crate::response_memory;
use crate::target_connections::Purpose;
use crate::target_connections::TargetConnections;
use crate::target_notices;
use crate::warmup;

/// Time limit for one health check, after which its connection is closed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
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
    if ahead > 0.0
        && queued <= 0.0
        && gateway
            .services
            .start_trial(now, search.service, limit, best.slots)
    {
        ahead = 0.0;
    }
    let kept_free = gateway.queues.kept_free(gateway, now, search, best.slots);
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

/// Checks a target only to learn its load, if the budget allows it.
pub(crate) fn check(gateway: &Rc<Gateway>, service: &ServiceId, target: &Rc<TargetConnections>) {
    if gateway.services.reports_load(service) && gateway.take_check(Instant::now()) {
        let (sender, _) = mpsc::unbounded_channel();
        start_check(gateway, service, target, 0, sender);
    }
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
    check_unverified(gateway, search.service, &usable);
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

/// Checks the health of targets that must answer before they get requests.
fn check_unverified(gateway: &Rc<Gateway>, service: &ServiceId, usable: &[UsableTarget]) {
    let now = Instant::now();
    for UsableTarget { connections, .. } in usable {
        let mut cold = connections.cold.borrow_mut();
        if cold.start_check(now, || gateway.take_check(now)) {
            let (sender, _) = mpsc::unbounded_channel();
            start_check(gateway, service, connections, 0, sender);
        }
    }
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
                start_check(gateway, search.service, connections, *index, sender.clone());
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

/// The end of a health check.
#[derive(Clone, Copy, Debug)]
struct CheckEnd {
    /// The index of the target.
    index: usize,
    /// Whether the target has answered.
    answered: bool,
}

impl CheckEnd {
    fn answered(index: usize) -> Self {
        Self {
            index,
            answered: true,
        }
    }
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

/// Starts a health check. It continues after the search has ended, because closing its connection
/// would cost more than its response.
fn start_check(
    gateway: &Rc<Gateway>,
    service: &ServiceId,
    connections: &Rc<TargetConnections>,
    index: usize,
    sender: mpsc::UnboundedSender<CheckEnd>,
) {
    let path = {
        let routes = gateway.routes.borrow();
        let found = routes.config().services.get(service);
        found.map_or_else(|| Box::from("/health"), |service| service.health.clone())
    };
    let gateway = Rc::clone(gateway);
    let service = service.clone();
    let connections = Rc::clone(connections);
    ntex::rt::spawn(async move {
        let checked = timeout(CHECK_TIMEOUT, check_health(&gateway, &connections, &path)).await;
        let now = Instant::now();
        let answered = matches!(checked, Ok(Some(_)));
        match checked {
            Ok(Some(StatedLoad::Report(report))) => {
                gateway.metrics.health_check("answered");
                gateway.services.set_reports_load(&service, true);
                crossing::hear_check(&gateway, &connections, report);
                connections.outlook.borrow_mut().report(now, report);
                gateway.services.observe_load(now, &service, report);
            }
            Ok(Some(StatedLoad::None)) => {
                gateway.metrics.health_check("without-load");
                gateway.services.set_reports_load(&service, false);
            }
            Ok(Some(StatedLoad::Malformed)) => gateway.metrics.health_check("malformed-load"),
            Ok(None) | Err(_) => {
                gateway.metrics.health_check("failed");
                connections.outlook.borrow_mut().check_failed(now);
                connections.cold.borrow_mut().check_failed();
                log::info!(target = connections.id.as_str(), service = service.as_str(); "health check failed");
            }
        }
        let _ = sender.send(CheckEnd { index, answered });
    });
}

/// Sends a health check. Returns what the response says of the load, or nothing if it failed.
async fn check_health(
    gateway: &Gateway,
    connections: &TargetConnections,
    path: &str,
) -> Option<StatedLoad> {
    let connected = connections.checkout(Purpose::HealthCheck).await;
    let connected =
        connected.inspect_err(|error| warmup::not_connected(gateway, connections, error));
    let mut connection = connected.ok()?;
    warmup::note_ended(gateway, connections);
    if let Some(reason) = connection.opened {
        gateway.metrics.connection_opened(reason);
    }
    if !target_notices::is_available(gateway, connections) {
        connections.checkin(Instant::now(), connection, StatedKeepAlive::None);
        return None;
    }
    let fields = header_fields::health_check_fields(&connections.id, &connections.addr.to_string());
    let request = EncodedRequest::new("GET", path, &fields, &[]);
    let sent = Instant::now();
    // A late response to an earlier request carries the id of that request.
    let belongs = |head: &ResponseHead| {
        let response_fields = header_fields::decode_response(head);
        let belongs = response_fields.request_id.is_none();
        target_notices::hear(gateway, connections, &response_fields, belongs);
        belongs
    };
    let may_use = |bytes| bytes <= response_memory::SMALL;
    let response = connection
        .client
        .exchange_within(&request, belongs, may_use);
    let response = response.await.ok()?;
    let response_fields = header_fields::decode_response(&response.head);
    if response_fields.misdirected || !target_notices::is_from(connections, &response_fields) {
        mark_displaced(connections);
        return None;
    }
    crossing::hear_round_trip(gateway, connections, sent.elapsed());
    connections.checkin(Instant::now(), connection, response_fields.keep_alive);
    warmup::answered(gateway, connections, sent, &response_fields);
    Some(response_fields.load)
}

/// Records that a different target instance has answered at the address of a target.
pub fn mark_displaced(connections: &TargetConnections) {
    if !connections.displaced.replace(true) {
        log::warn!(target = connections.id.as_str(), addr:% = connections.addr; "another target answers at the address");
    }
    connections.close();
}
