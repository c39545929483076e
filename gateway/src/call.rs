//! The processing of one request, from admission to response.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::client::Response;
use carobshore_lib::access::region_rule::RegionRule;
use carobshore_lib::call_times::CallTimes;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::search_step::SearchDeadlines;
use carobshore_lib::target_selector::Demand;
use carobshore_lib::target_signals::Unavailable;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::access::Grant;
use crate::attempt;
use crate::attempt::AttemptEnd;
use crate::attempt::ForwardedRequest;
use crate::attempt::GIVEN_UP;
use crate::crossing;
use crate::failed_call::FailedCall;
use crate::failed_call::RequestName;
use crate::failed_call::refuse;
use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::quota_charge::QuotaCharge;
use crate::reply::Refusal;
use crate::reply::Reply;
use crate::target_connections::TargetConnections;
use crate::target_search;
use crate::target_search::Search;
use crate::target_search::SearchResult;
use crate::warmup;

/// Assumed size of a response in bytes, for the cost of crossing failure domains.
const RESPONSE_BYTES: usize = 2 << 10;
/// Pause between two searches for an idle target to hedge to.
const HEDGE_SEARCH_PAUSE: Duration = Duration::from_millis(120);
/// When a caller may return whose service has targets in evacuated domains only.
const EVACUATED_RETRY: Duration = Duration::from_secs(1);
/// How long after its deadline a request waits for the target's own response, which arrives at
/// about the same time and leaves the connection reusable.
const DEADLINE_GRACE: Duration = Duration::from_millis(60);

/// A request that is being served.
pub(crate) struct Call {
    gateway: Rc<Gateway>,
    service: ServiceId,
    forwarded: Rc<ForwardedRequest>,
    arrived: Instant,
    /// Targets to which the request was given.
    tried: Vec<Rc<TargetConnections>>,
    /// Targets whose attempts are still running.
    active: Vec<Rc<TargetConnections>>,
    /// Number of targets that may have received the request.
    arrivals: u32,
    /// Whether the request may have run without a usable response.
    unknown: bool,
    /// Whether a target refused the request.
    refused: bool,
    /// An error response from a target, returned if no better response arrives.
    fallback: Option<Response>,
    /// The target and end of each attempt, for the log.
    ends: Vec<Box<str>>,
    /// Earliest time for a hedge.
    hedge_from: Instant,
    /// Whether the caller has disconnected, so that no further target gets the request.
    caller_left: bool,
    /// What the request takes from the quota of its organisation.
    charge: QuotaCharge,
    /// Until when the next attempt must be sent, if its target is cold.
    send_by: Option<Instant>,
}

type Running = FuturesUnordered<Pin<Box<dyn Future<Output = (UsableTarget, AttemptEnd)>>>>;

impl Call {
    /// Creates a call for an admitted request.
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        service: ServiceId,
        forwarded: ForwardedRequest,
        arrived: Instant,
    ) -> Self {
        let charge = QuotaCharge::new(Rc::clone(&gateway), forwarded.grant.as_ref());
        Self {
            gateway,
            service,
            forwarded: Rc::new(forwarded),
            arrived,
            tried: Vec::new(),
            active: Vec::new(),
            arrivals: 0,
            unknown: false,
            refused: false,
            fallback: None,
            ends: Vec::new(),
            hedge_from: arrived,
            caller_left: false,
            charge,
            send_by: None,
        }
    }

    /// Serves the request. Returns nothing if the caller has disconnected.
    pub(crate) async fn run(mut self, mut caller_gone: watch::Receiver<bool>) -> Option<Reply> {
        let repeatable = self.forwarded.is_repeatable();
        let mut running = Running::new();
        let result = loop {
            if running.is_empty() {
                if self.caller_left {
                    break None;
                }
                let gateway = Rc::clone(&self.gateway);
                let found = tokio::select! {
                    biased;
                    () = wait_for_disconnect(&mut caller_gone) => break None,
                    found = self.charge_and_search() => found,
                    () = gateway.stop_deadline_passed() => Err(self.unserved(Refusal::Stopping)),
                };
                match found {
                    Ok(_) if !self.may_send() => break Some(Err(self.right_lost())),
                    Ok(usable) => self.start(&mut running, usable),
                    Err(failed) => break Some(Err(failed)),
                }
            }
            let hedge = self.hedge_at();
            tokio::select! {
                biased;
                Some((usable, end)) = running.next() => {
                    if let Some(result) = self.on_end(&usable, end, running.is_empty()) {
                        break Some(result);
                    }
                }
                () = wait_for_disconnect(&mut caller_gone), if !self.caller_left => {
                    self.caller_left = true;
                    if repeatable {
                        break None;
                    }
                }
                () = self.gateway.deadline_passed(self.forwarded.deadline, DEADLINE_GRACE) => break Some(Err(FailedCall::retry_soon(Refusal::TimedOut))),
                () = sleep_until(hedge.unwrap_or(self.forwarded.deadline).into()), if hedge.is_some() && running.len() == 1 => {
                    self.hedge(&mut running).await;
                }
            }
        };
        // Dropping the attempts that are still running closes their connections.
        drop(running);
        self.record_given_up();
        self.finish(result)
    }

    /// Records the attempts that were still running at the end.
    fn record_given_up(&mut self) {
        let given_up = self.active.drain(..);
        self.ends
            .extend(given_up.map(|connections| format!("{}:{GIVEN_UP}", connections.id).into()));
    }

    /// Processes the end of an attempt. Returns the result of the call if this decides it.
    fn on_end(
        &mut self,
        usable: &UsableTarget,
        end: AttemptEnd,
        none_running: bool,
    ) -> Option<Result<Response, FailedCall>> {
        self.active
            .retain(|connections| !Rc::ptr_eq(connections, &usable.connections));
        self.ends
            .push(format!("{}:{}", usable.connections.id, end.as_str()).into());
        match end {
            AttemptEnd::Answered(response) => {
                if response.head.status < 500 {
                    return Some(Ok(response));
                }
                self.fallback = Some(response);
                if !self.forwarded.is_repeatable() {
                    return self.fallback.take().map(Ok);
                }
            }
            AttemptEnd::NotSent | AttemptEnd::Withheld => {
                self.arrivals = self.arrivals.saturating_sub(1);
                self.charge.not_run();
            }
            AttemptEnd::NotRun => {
                self.refused = true;
                self.charge.not_run();
            }
            AttemptEnd::Unknown => {
                self.unknown = true;
                if !self.forwarded.is_repeatable() {
                    return Some(Err(FailedCall::retry_soon(Refusal::Broken)));
                }
            }
        }
        match none_running && !self.caller_left && !self.take_next_attempt() {
            true => Some(self.give_up()),
            false => None,
        }
    }

    /// Returns whether another attempt may follow. Takes a retry from the budget unless no target
    /// has received the request.
    fn take_next_attempt(&self) -> bool {
        let now = Instant::now();
        let in_time = self.times().has_time(now);
        let below_limit = self.arrivals < self.forwarded.route.rule.attempts;
        let unreceived = self.arrivals == 0;
        in_time && below_limit && (unreceived || self.gateway.take_retry(now, &self.service))
    }

    /// Returns the result of a call that gets no further attempt.
    fn give_up(&mut self) -> Result<Response, FailedCall> {
        if let Some(response) = self.fallback.take() {
            return Ok(response);
        }
        if self.unknown {
            return Err(FailedCall::retry_soon(Refusal::Broken));
        }
        Err(FailedCall {
            refusal: Refusal::TargetsRefused,
            retry: Some(self.forwarded.work / 4),
            why: None,
        })
    }

    fn times(&self) -> CallTimes {
        CallTimes {
            arrived: self.arrived,
            latency: self.forwarded.route.rule.latency,
            work: self.forwarded.work,
            deadline: self.forwarded.deadline,
        }
    }

    fn search_for(&self, wait_end: Instant) -> Search<'_> {
        let grant = self.forwarded.grant.as_ref();
        let organisation = grant.and_then(|grant| grant.organisation.as_ref());
        Search {
            service: &self.service,
            regions: RegionRule {
                route: &self.forwarded.route.access.regions,
                organisation: organisation.map(|organisation| &organisation.regions),
            },
            demand: Demand {
                work: self.forwarded.work,
                bytes: self.forwarded.body.len() + RESPONSE_BYTES,
                price: self.gateway.crossing.price(),
            },
            scope: self.gateway.crossing.usual_scope(),
            times: SearchDeadlines {
                wait_end,
                soft_deadline: self.times().soft_deadline(),
                deadline: self.forwarded.deadline,
            },
            priority: self.forwarded.priority().into(),
            organisation: self.forwarded.grant.as_ref().and_then(Grant::id),
        }
    }

    /// Searches a target with a token of the organisation's quota at hand.
    async fn charge_and_search(&mut self) -> Result<UsableTarget, FailedCall> {
        self.take_token().await?;
        let usable = self.search().await?;
        self.send_by = warmup::send_by(&usable.connections, Instant::now());
        // The search may have outlasted the token.
        self.take_token().await?;
        Ok(usable)
    }

    async fn take_token(&mut self) -> Result<(), FailedCall> {
        let taken = self.charge.take().await;
        taken.map_err(|failed| match self.unknown {
            true => self.unserved(failed.refusal),
            false => failed,
        })
    }

    async fn search(&self) -> Result<UsableTarget, FailedCall> {
        let wait_end = self.times().wait_end(Instant::now());
        let search = self.search_for(wait_end);
        match crossing::find(&self.gateway, search, &self.tried).await {
            SearchResult::Target(usable) => Ok(usable),
            SearchResult::NoRoom(found) if !self.unknown => Err(FailedCall {
                refusal: Refusal::NoRoom,
                retry: Some(found.retry),
                why: Some(found.to_string().into()),
            }),
            SearchResult::Overloaded(refusal) if !self.unknown => Err(FailedCall {
                refusal: Refusal::NoRoom,
                retry: Some(refusal.retry),
                why: Some(refusal.to_string().into()),
            }),
            SearchResult::Unavailable(reason) if !self.unknown => Err(unavailable(reason)),
            _ if self.refused => Err(self.unserved(Refusal::TargetsRefused)),
            _ => Err(self.unserved(Refusal::NoTarget)),
        }
    }

    /// Returns whether the request may still be sent by the configuration in force.
    fn may_send(&self) -> bool {
        let routes = self.gateway.routes.borrow();
        match &self.forwarded.grant {
            Some(grant) => grant.holds(&routes),
            None => routes.config().access.is_none(),
        }
    }

    /// Returns the failure of a call that may not be sent any more. One that was admitted before there
    /// were organisations may return, to be admitted with its key.
    fn right_lost(&self) -> FailedCall {
        self.unserved(match self.forwarded.grant {
            Some(_) => Refusal::UnknownKey,
            None => Refusal::NotReady,
        })
    }

    /// Returns the failure of a call that gets no target: `refusal`, unless an earlier attempt may
    /// have run.
    fn unserved(&self, refusal: Refusal) -> FailedCall {
        FailedCall::retry_soon(match self.unknown {
            true => Refusal::Broken,
            false => refusal,
        })
    }

    fn start(&mut self, running: &mut Running, usable: UsableTarget) {
        self.arrivals += 1;
        self.tried.push(Rc::clone(&usable.connections));
        self.active.push(Rc::clone(&usable.connections));
        let gateway = Rc::clone(&self.gateway);
        let forwarded = Rc::clone(&self.forwarded);
        let attempt = attempt::run(
            gateway,
            self.service.clone(),
            usable,
            forwarded,
            [self.charge.spend(), self.send_by.take()]
                .into_iter()
                .flatten()
                .min(),
        );
        running.push(Box::pin(attempt));
    }

    /// Returns when a hedge may be sent, or nothing if none is allowed.
    fn hedge_at(&self) -> Option<Instant> {
        let allowed = self.forwarded.is_repeatable()
            && self.arrivals == 1
            && self.forwarded.route.rule.attempts > 1
            && self.gateway.retries_left(Instant::now(), &self.service) > 0;
        let at = self.times().hedge_at(self.hedge_from);
        at.filter(|_| allowed)
    }

    /// Sends a hedge if there is an idle target. On a busy target it would take the slot of a
    /// request that has not been sent to any target yet.
    async fn hedge(&mut self, running: &mut Running) {
        let now = Instant::now();
        let found = target_search::find_ideal(&self.gateway, self.search_for(now), &self.tried);
        if let Some(usable) = found.await
            && self.charge.take_quickly().await
            && self.may_send()
            && self.gateway.take_retry(now, &self.service)
        {
            self.ends.push("hedged".into());
            self.start(running, usable);
        } else {
            self.hedge_from = Instant::now() + HEDGE_SEARCH_PAUSE;
        }
    }

    fn finish(mut self, result: Option<Result<Response, FailedCall>>) -> Option<Reply> {
        let caller_left = self.caller_left;
        let time = self.arrived.elapsed();
        let id = self.forwarded.id.clone().unwrap_or_default();
        let result = match result {
            Some(Err(failed)) if !caller_left => match self.fallback.take() {
                Some(response) => Some(Ok(response)),
                None => Some(Err(failed)),
            },
            result => result,
        };
        match result {
            None => {
                self.gateway
                    .metrics
                    .request(&self.forwarded.route.name, "caller-left", time);
                self.log_request(&id, 0, "caller-left", time);
                None
            }
            Some(Ok(response)) => {
                let outcome = match response.head.status {
                    200..300 => "served",
                    _ => "error-of-target",
                };
                self.gateway
                    .metrics
                    .request(&self.forwarded.route.name, outcome, time);
                self.log_request(&id, response.head.status, outcome, time);
                let method = &self.forwarded.method;
                (!caller_left).then(|| Reply::from_target(response, method))
            }
            Some(Err(failed)) => {
                let name = RequestName {
                    route: &self.forwarded.route.name,
                    id: Some(&id),
                    organisation: self.forwarded.organisation(),
                    arrived: self.arrived,
                };
                let reply = refuse(&self.gateway, name, &failed, &self.ends);
                (!caller_left).then_some(reply)
            }
        }
    }

    fn log_request(&self, id: &str, status: u16, outcome: &str, time: Duration) {
        let failed = !(200..300).contains(&status);
        if let Some(left_out) = self.gateway.take_log_line(Instant::now(), failed) {
            let version = self.gateway.routes.borrow().config().version.0;
            let age_ms = self.gateway.config_age(Instant::now());
            let at = self.gateway.config_position().map(|at| at.to_string());
            log::info!(
                id, route = &*self.forwarded.route.name, service = self.service.as_str(),
                organisation = self.forwarded.organisation(), version, age_ms, at, status,
                outcome, ms = time.as_millis() as u64, attempts = self.ends.join(" "),
                work_ms = self.forwarded.work.as_millis() as u64, left_out;
                "request"
            );
        }
    }
}

/// Returns the failure of a call that no target of the service may get.
fn unavailable(reason: Unavailable) -> FailedCall {
    let soon = FailedCall::retry_soon(Refusal::TargetsUnavailable);
    FailedCall {
        retry: match reason {
            Unavailable::Paused(left) => Some(left),
            Unavailable::Evacuated => Some(EVACUATED_RETRY),
            Unavailable::Leaving | Unavailable::OutsideRegions => soon.retry,
        },
        why: Some(format!("no target may get the request; the first one is {reason}").into()),
        ..soon
    }
}

/// Waits until the caller has disconnected.
async fn wait_for_disconnect(caller_gone: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped with the connection.
    let _ = caller_gone.wait_for(|caller_gone| *caller_gone).await;
}
