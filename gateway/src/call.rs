//! One request from its admission to its response.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::client::Response;
use carobshore_lib::call_times::CallTimes;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::search_step::Times;
use carobshore_lib::target_choice::Demand;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::attempt;
use crate::attempt::AttemptEnd;
use crate::attempt::ForwardedRequest;
use crate::attempt::GIVEN_UP;
use crate::failed_call::FailedCall;
use crate::failed_call::refuse;
use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::reply::Refusal;
use crate::reply::Reply;
use crate::target_connections::TargetConnections;
use crate::target_search;
use crate::target_search::Search;
use crate::target_search::SearchResult;

/// Bytes of a typical response, for the cost of crossing failure domains.
const RESPONSE_BYTES: usize = 2 << 10;
/// Pause between two looks for an idle target for a second copy.
const HEDGE_PAUSE: Duration = Duration::from_millis(120);
/// How long after the end of its time a request waits for the target's own word, which arrives at
/// about the same moment and leaves the connection usable.
const LATE_ANSWER: Duration = Duration::from_millis(60);

/// A request on its way.
pub(crate) struct Call {
    gateway: Rc<Gateway>,
    service: ServiceId,
    forwarded: Rc<ForwardedRequest>,
    arrived: Instant,
    /// The targets that the request was given to.
    tried: Vec<Rc<TargetConnections>>,
    /// Those of them that have not ended.
    under_way: Vec<Rc<TargetConnections>>,
    /// How many targets it may have arrived at.
    arrivals: u32,
    /// Whether it may have run without an answer that can be passed on.
    unknown: bool,
    /// Whether a target refused it.
    refused: bool,
    /// An error of a target, in case nothing better comes.
    fallback: Option<Response>,
    ends: Vec<Box<str>>,
    /// When a second copy may be sent at the earliest.
    hedge_from: Instant,
    /// Whether the caller has left, so that no further target is given the request.
    left: bool,
}

type Running = FuturesUnordered<Pin<Box<dyn Future<Output = (UsableTarget, AttemptEnd)>>>>;

impl Call {
    /// Builds a call that has been admitted.
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        service: ServiceId,
        forwarded: ForwardedRequest,
        arrived: Instant,
    ) -> Self {
        Self {
            gateway,
            service,
            forwarded: Rc::new(forwarded),
            arrived,
            tried: Vec::new(),
            under_way: Vec::new(),
            arrivals: 0,
            unknown: false,
            refused: false,
            fallback: None,
            ends: Vec::new(),
            hedge_from: arrived,
            left: false,
        }
    }

    /// Serves the request. Returns nothing if the caller has left.
    pub(crate) async fn run(mut self, mut gone: watch::Receiver<bool>) -> Option<Reply> {
        let repeatable = self.forwarded.is_repeatable();
        let mut running = Running::new();
        let ended = loop {
            if running.is_empty() {
                if self.left {
                    break None;
                }
                let found = tokio::select! {
                    biased;
                    () = left_by(&mut gone) => break None,
                    found = self.search() => found,
                };
                match found {
                    Ok(usable) => self.start(&mut running, usable),
                    Err(failed) => break Some(Err(failed)),
                }
            }
            let hedge = self.hedge_at();
            tokio::select! {
                biased;
                Some((usable, end)) = running.next() => {
                    if let Some(ended) = self.on_end(&usable, end, running.is_empty()) {
                        break Some(ended);
                    }
                }
                () = left_by(&mut gone), if !self.left => {
                    self.left = true;
                    if repeatable {
                        break None;
                    }
                }
                () = sleep_until((self.forwarded.deadline + LATE_ANSWER).into()) => break Some(Err(FailedCall::retry_soon(Refusal::TimedOut))),
                () = sleep_until(hedge.unwrap_or(self.forwarded.deadline).into()), if hedge.is_some() && running.len() == 1 => {
                    self.hedge(&mut running).await;
                }
            }
        };
        // Copies that are still under way lose: their connections are closed.
        drop(running);
        self.note_given_up();
        self.conclude(ended)
    }

    /// Notes the attempts that were still under way at the end.
    fn note_given_up(&mut self) {
        let given_up = self.under_way.drain(..);
        self.ends
            .extend(given_up.map(|connections| format!("{}:{GIVEN_UP}", connections.id).into()));
    }

    /// Takes in the end of an attempt. Returns how the call ends, if it does.
    fn on_end(
        &mut self,
        usable: &UsableTarget,
        end: AttemptEnd,
        last: bool,
    ) -> Option<Result<Response, FailedCall>> {
        self.under_way
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
            AttemptEnd::NotSent => self.arrivals = self.arrivals.saturating_sub(1),
            AttemptEnd::NotRun => self.refused = true,
            AttemptEnd::Unknown => {
                self.unknown = true;
                if !self.forwarded.is_repeatable() {
                    return Some(Err(FailedCall::retry_soon(Refusal::Broken)));
                }
            }
        }
        match last && !self.left && !self.may_try_again() {
            true => Some(self.give_up()),
            false => None,
        }
    }

    /// Returns whether another attempt may follow, and takes it from the allowance.
    fn may_try_again(&self) -> bool {
        let now = Instant::now();
        let time = self.times().has_time(now);
        let attempts = self.arrivals < self.forwarded.route.rule.attempts;
        let free = self.arrivals == 0;
        time && attempts && (free || self.gateway.take_retry(now, &self.service))
    }

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
            limit: self.forwarded.deadline,
        }
    }

    fn search_for(&self, patience: Instant) -> Search<'_> {
        Search {
            service: &self.service,
            demand: Demand {
                work: self.forwarded.work,
                bytes: self.forwarded.body.len() + RESPONSE_BYTES,
            },
            times: Times {
                patience,
                aim: self.times().aim(),
                limit: self.forwarded.deadline,
            },
        }
    }

    async fn search(&self) -> Result<UsableTarget, FailedCall> {
        let patience = self.times().wait_end(Instant::now());
        let search = self.search_for(patience);
        match target_search::find(&self.gateway, search, &self.tried).await {
            SearchResult::Target(usable) => Ok(usable),
            _ if self.unknown => Err(FailedCall::retry_soon(Refusal::Broken)),
            SearchResult::NoTarget if self.refused => {
                Err(FailedCall::retry_soon(Refusal::TargetsRefused))
            }
            SearchResult::NoTarget => Err(FailedCall::retry_soon(Refusal::NoTarget)),
            SearchResult::NoRoom(found) => Err(FailedCall {
                refusal: Refusal::NoRoom,
                retry: Some(found.retry),
                why: Some(found.to_string().into()),
            }),
        }
    }

    fn start(&mut self, running: &mut Running, usable: UsableTarget) {
        self.arrivals += 1;
        self.tried.push(Rc::clone(&usable.connections));
        self.under_way.push(Rc::clone(&usable.connections));
        let gateway = Rc::clone(&self.gateway);
        let forwarded = Rc::clone(&self.forwarded);
        let attempt = attempt::run(gateway, self.service.clone(), usable, forwarded);
        running.push(Box::pin(attempt));
    }

    /// Returns when a second copy may be sent.
    fn hedge_at(&self) -> Option<Instant> {
        let allowed = self.forwarded.is_repeatable()
            && self.arrivals == 1
            && self.forwarded.route.rule.attempts > 1
            && self.gateway.retries_left(Instant::now(), &self.service) > 0;
        let at = self.times().hedge_at(self.hedge_from);
        at.filter(|_| allowed)
    }

    /// Sends a second copy if a target is idle: anywhere else it would take the place of a request
    /// that has had none.
    async fn hedge(&mut self, running: &mut Running) {
        let now = Instant::now();
        let found = target_search::find_ideal(&self.gateway, self.search_for(now), &self.tried);
        if let Some(usable) = found.await
            && self.gateway.take_retry(now, &self.service)
        {
            self.ends.push("hedged".into());
            self.start(running, usable);
        } else {
            self.hedge_from = Instant::now() + HEDGE_PAUSE;
        }
    }

    fn conclude(mut self, ended: Option<Result<Response, FailedCall>>) -> Option<Reply> {
        let left = self.left;
        let time = self.arrived.elapsed();
        let id = self.forwarded.id.clone().unwrap_or_default();
        let ended = match ended {
            Some(Err(failed)) if !left => match self.fallback.take() {
                Some(response) => Some(Ok(response)),
                None => Some(Err(failed)),
            },
            ended => ended,
        };
        match ended {
            None => {
                self.gateway
                    .metrics
                    .request(&self.forwarded.route.name, "caller-left", time);
                self.note(&id, 0, "caller-left", time);
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
                self.note(&id, response.head.status, outcome, time);
                (!left).then(|| Reply::from_target(response))
            }
            Some(Err(failed)) => {
                let gateway = &self.gateway;
                let reply = refuse(
                    gateway,
                    &self.forwarded.route.name,
                    Some(&id),
                    self.arrived,
                    &failed,
                    &self.ends,
                );
                (!left).then_some(reply)
            }
        }
    }

    fn note(&self, id: &str, status: u16, outcome: &str, time: Duration) {
        let failed = !(200..300).contains(&status);
        if let Some(left_out) = self.gateway.take_log_line(Instant::now(), failed) {
            let version = self.gateway.routes.borrow().config().version.0;
            log::info!(
                id, route = &*self.forwarded.route.name, service = self.service.as_str(), version, status,
                outcome, ms = time.as_millis() as u64, attempts = self.ends.join(" "),
                work_ms = self.forwarded.work.as_millis() as u64, left_out;
                "request"
            );
        }
    }
}

/// Waits until the caller has left.
async fn left_by(gone: &mut watch::Receiver<bool>) {
    // The sender is dropped with the connection.
    let _ = gone.wait_for(|gone| *gone).await;
}
