//! Finds the target of a request by asking targets for their load.

use std::cell::Ref;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::client::EncodedRequest;
use carobshore_lib::load_report::LoadReport;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::search_step::Best;
use carobshore_lib::search_step::SEARCH_PAUSE;
use carobshore_lib::search_step::SearchStep;
use carobshore_lib::search_step::Times;
use carobshore_lib::target_choice;
use carobshore_lib::target_choice::ASKED_AT_ONCE;
use carobshore_lib::target_choice::Candidate;
use carobshore_lib::target_choice::Demand;
use carobshore_lib::target_outlook::TargetOutlook;
use carobshore_platform::header_fields;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::target_connections::TargetConnections;

/// Time for the answers of one round of health checks. A target that takes longer is passed by.
const ROUND_TIME: Duration = Duration::from_millis(30);
/// Time for one health check, after which the connection is closed.
const CHECK_TIME: Duration = Duration::from_millis(400);
/// A report that is younger is not asked for again.
const STILL_TRUE: Duration = Duration::from_millis(4);

/// How many targets one look around asks, and how many while this VM's share of the health checks
/// runs short.
const ASKED: usize = 16;
const ASKED_WHEN_SHORT: usize = 4;

/// What a search is for.
#[derive(Clone, Copy, Debug)]
pub struct Search<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// What the request brings along.
    pub demand: Demand,
    /// Until when it may wait, and when the response has to be there.
    pub times: Times,
}

/// What a search found.
#[derive(Clone, Debug)]
pub enum SearchResult {
    /// A target.
    Target(UsableTarget),
    /// No target is known that has not had the request.
    NoTarget,
    /// No target has room in time.
    NoRoom(NoRoom),
}

/// What a refusal for want of room is based on.
#[derive(Clone, Debug)]
pub struct NoRoom {
    /// When a target may have room.
    pub retry: Duration,
    /// The best target that was found.
    pub best: TargetId,
    /// How many requests are ahead there.
    pub ahead: f64,
    /// How long the request is expected to take there.
    pub expected: Duration,
    /// How many targets were known.
    pub known: usize,
}

impl std::fmt::Display for NoRoom {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            best, ahead, known, ..
        } = self;
        let expected = self.expected.as_millis();
        write!(
            f,
            "best of {known} is {best}, {ahead:.1} ahead, expected {expected} ms"
        )
    }
}

/// Looks for the best target, but for those in `except`.
pub async fn find(
    gateway: &Rc<Gateway>,
    search: Search<'_>,
    except: &[Rc<TargetConnections>],
) -> SearchResult {
    let slot_freed = gateway.slot_freed(search.service);
    // Whether an attempt of this VM has just ended: its response told the load of its target.
    let mut told = false;
    loop {
        let usable = untried(gateway, search.service, except);
        if usable.is_empty() {
            return SearchResult::NoTarget;
        }
        if !told && let Some(ideal) = ask_around(gateway, &search, &usable).await {
            return SearchResult::Target(ideal);
        }
        let now = Instant::now();
        let Some(best) = best(gateway, now, search.demand, &usable) else {
            return SearchResult::NoTarget;
        };
        let outlook = best.connections.outlook.borrow().clone();
        let ahead = outlook.queue_ahead(now, best.slots);
        let expected = outlook.expected(now, search.demand.work, best.slots);
        match SearchStep::decide(now, search.times, Best { ahead, expected }) {
            SearchStep::Take => return SearchResult::Target(best),
            SearchStep::Wait => {}
            SearchStep::Refuse => {
                return SearchResult::NoRoom(NoRoom {
                    retry: search.demand.work / 2,
                    best: best.connections.id.clone(),
                    ahead,
                    expected,
                    known: usable.len(),
                });
            }
        }
        told = timeout(SEARCH_PAUSE, slot_freed.notified()).await.is_ok();
    }
}

/// Looks once for an idle, quiet target, but for those in `except`.
pub async fn find_ideal(
    gateway: &Rc<Gateway>,
    search: Search<'_>,
    except: &[Rc<TargetConnections>],
) -> Option<UsableTarget> {
    let usable = untried(gateway, search.service, except);
    ask_around(gateway, &search, &usable).await
}

fn untried(
    gateway: &Gateway,
    service: &ServiceId,
    except: &[Rc<TargetConnections>],
) -> Vec<UsableTarget> {
    let usable = gateway.usable_targets(service).into_iter();
    let tried = |usable: &UsableTarget| {
        except
            .iter()
            .any(|other| Rc::ptr_eq(other, &usable.connections))
    };
    usable.filter(|usable| !tried(usable)).collect()
}

/// Asks targets in rounds, the most promising first, and returns the first ideal one.
async fn ask_around(
    gateway: &Rc<Gateway>,
    search: &Search<'_>,
    usable: &[UsableTarget],
) -> Option<UsableTarget> {
    if !gateway.reports_load(search.service) {
        return None;
    }
    let order = {
        let outlooks: Vec<_> = usable
            .iter()
            .map(|u| u.connections.outlook.borrow())
            .collect();
        let candidates = candidates(usable, &outlooks);
        let mut choice = gateway.choice.borrow_mut();
        let mut order = choice.order(Instant::now(), search.demand, &candidates);
        order.retain(|(_, at)| is_worth_asking(&usable[*at].connections));
        order.truncate(match gateway.is_check_budget_low(Instant::now()) {
            true => ASKED_WHEN_SHORT,
            false => ASKED,
        });
        order
    };
    for round in order.chunks(ASKED_AT_ONCE) {
        let (answers, mut answered) = mpsc::unbounded_channel();
        for (_, at) in round {
            let connections = &usable[*at].connections;
            if is_current(connections) {
                let _ = answers.send(*at);
            } else if gateway.take_check(Instant::now()) {
                check(gateway, search.service, connections, *at, answers.clone());
            }
        }
        drop(answers);
        let end = (Instant::now() + ROUND_TIME).min(search.times.limit);
        while let Ok(Some(at)) = timeout_at(end.into(), answered.recv()).await {
            let outlook = usable[at].connections.outlook.borrow();
            if target_choice::is_ideal(Instant::now(), &outlook) {
                return Some(usable[at].clone());
            }
        }
        if Instant::now() >= search.times.patience {
            break;
        }
    }
    None
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
    let candidates = candidates(usable, &outlooks);
    let best = gateway.choice.borrow_mut().best(now, demand, &candidates)?;
    Some(usable[best].clone())
}

fn candidates<'a>(
    usable: &[UsableTarget],
    outlooks: &'a [Ref<'_, TargetOutlook>],
) -> Vec<Candidate<'a>> {
    let pairs = usable.iter().zip(outlooks);
    pairs
        .map(|(usable, outlook)| candidate(usable, outlook))
        .collect()
}

fn candidate<'a>(usable: &UsableTarget, outlook: &'a TargetOutlook) -> Candidate<'a> {
    Candidate {
        outlook,
        slots: usable.slots,
        local: usable.local,
        connected: usable.connections.is_connected(),
        preferred: usable.preferred,
        missing: usable.missing,
    }
}

/// Returns whether a target is asked. One whose connections are all in use by this VM's own
/// requests is known to be busy, and asking it would open one more.
fn is_worth_asking(connections: &TargetConnections) -> bool {
    connections.is_connected() || connections.outlook.borrow().own() == 0
}

fn is_current(connections: &TargetConnections) -> bool {
    let report = connections.outlook.borrow().last_report();
    report.is_some_and(|(at, _)| at.elapsed() < STILL_TRUE)
}

/// Starts a health check. It goes on when the search has ended, because closing its connection
/// would cost more than its answer.
fn check(
    gateway: &Rc<Gateway>,
    service: &ServiceId,
    connections: &Rc<TargetConnections>,
    at: usize,
    answers: mpsc::UnboundedSender<usize>,
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
        let checked = timeout(CHECK_TIME, ask(&gateway, &connections, &path)).await;
        let now = Instant::now();
        match checked {
            Ok(Some(Some(report))) => {
                gateway.metrics.health_check("answered");
                gateway.set_reports_load(&service, true);
                connections.outlook.borrow_mut().report(now, report);
                gateway.observe_load(now, &service, report);
                let _ = answers.send(at);
            }
            Ok(Some(None)) => {
                gateway.metrics.health_check("without-load");
                gateway.set_reports_load(&service, false);
                let _ = answers.send(at);
            }
            Ok(None) | Err(_) => {
                gateway.metrics.health_check("failed");
                connections.outlook.borrow_mut().check_failed(now);
                log::info!(target = connections.id.as_str(), service = service.as_str(); "health check failed");
            }
        }
    });
}

/// Asks a target for its load. Returns nothing if it cannot be asked.
async fn ask(
    gateway: &Gateway,
    connections: &TargetConnections,
    path: &str,
) -> Option<Option<LoadReport>> {
    let mut connection = connections.checkout(false).await.ok()?;
    if connection.new {
        gateway.metrics.connection_opened();
    }
    let fields = header_fields::health_check_fields(&connections.id, &connections.addr.to_string());
    let request = EncodedRequest::new("GET", path, &fields, &[]);
    // A late response to an earlier request carries that request's id.
    let belongs = |head: &_| header_fields::decode_response(head).request_id.is_none();
    let response = connection.client.exchange(&request, belongs).await.ok()?;
    let answer = header_fields::decode_response(&response.head);
    let other = header_fields::answering_target(&response.head);
    if answer.misdirected || other.is_some_and(|other| other != connections.id.as_str()) {
        mark_displaced(connections);
        return None;
    }
    connections.checkin(Instant::now(), connection.client, answer.keep_alive);
    Some(answer.load)
}

/// Notes that another target or lifetime has answered at a target's address.
pub fn mark_displaced(connections: &TargetConnections) {
    if !connections.displaced.replace(true) {
        log::warn!(target = connections.id.as_str(), addr:% = connections.addr; "another target answers at the address");
    }
    connections.close();
}
