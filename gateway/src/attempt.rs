//! One attempt of a request at one target.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::client::EncodedRequest;
use carobshore_http::client::ExchangeFailure;
use carobshore_http::client::Response;
use carobshore_http::fields::Fields;
use carobshore_http::head::ResponseHead;
use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::load_report::LoadReport;
use carobshore_lib::prelude::RequestRate;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::route::Route;
use carobshore_lib::target_estimator::AttemptOutcome;
use carobshore_lib::target_selector;
use carobshore_platform::header_fields;
use carobshore_platform::header_fields::ResponseFields;
use carobshore_platform::header_fields::StatedKeepAlive;
use carobshore_platform::header_fields::StatedLoad;

use crate::access::Grant;
use crate::crossing;
use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::health_check;
use crate::limits;
use crate::response_memory::ResponseMemory;
use crate::target_connections::Purpose;
use crate::target_notices;
use crate::warmup;

/// A request as it is forwarded to targets.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The request method.
    pub method: Box<str>,
    /// Path and query.
    pub target: Box<str>,
    /// The header fields to forward.
    pub fields: Fields,
    /// The request body.
    pub body: Rc<Vec<u8>>,
    /// The request id, if the caller sent one.
    pub id: Option<Box<str>>,
    /// The route that matched the request.
    pub route: Rc<Route>,
    /// The right to send it; nothing if no request needs a key.
    pub grant: Option<Grant>,
    /// Expected time on an idle target whose machine runs no other work.
    pub work: Duration,
    /// When the response must have arrived.
    pub deadline: Instant,
}

impl ForwardedRequest {
    /// Returns whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.route.rule.kind.is_repeatable()
    }

    /// Returns the organisation that sent the request, if requests need keys.
    pub fn organisation(&self) -> Option<&str> {
        let id = self.grant.as_ref().and_then(Grant::id);
        id.map(OrganisationId::as_str)
    }

    /// Returns the priority; 0 is the most urgent.
    pub fn priority(&self) -> u32 {
        let grant = self.grant.as_ref();
        grant.map_or(self.route.rule.priority, |grant| {
            grant.priority(&self.route)
        })
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete response from the target.
    Answered(Response),
    /// No byte of the request was sent, because of the target.
    NotSent,
    /// No byte of the request was sent, because the target has just said that it wants none, its
    /// domain was evacuated, its warm-up allows none now, or no time was left.
    Withheld,
    /// The target reports that it did not run the request.
    NotRun,
    /// No usable response arrived; the request may have run.
    Unknown,
}

impl AttemptEnd {
    /// Returns whether the target handled the request: any response with a status below 500.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answered(response) if response.head.status < 500)
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(response) if response.head.status >= 500 => "error-status",
            Self::Answered(_) => "answered",
            Self::NotSent => "not-sent",
            Self::Withheld => "withheld",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Name in the log of an attempt that was dropped before it ended.
pub const GIVEN_UP: &str = "given-up";

/// An attempt that counts as load of its target. It is uncounted and logged when it is dropped.
struct ActiveAttempt {
    gateway: Rc<Gateway>,
    forwarded: Rc<ForwardedRequest>,
    usable: UsableTarget,
    attempt: u64,
    started: Instant,
    expected: Duration,
    /// The last load report of the target at the start, with its time.
    report: Option<(Instant, LoadReport)>,
    /// The limit that the target had named at the start.
    limit: Option<RequestRate>,
    /// How the attempt ended; nothing while it is running.
    end: Option<LoggedEnd>,
}

/// The end of an attempt, for the log and the outlook of the target.
struct LoggedEnd {
    name: &'static str,
    success: bool,
    /// What the end implies about the target.
    verdict: AttemptOutcome,
}

impl ActiveAttempt {
    /// Returns the elapsed time divided by the expected time.
    fn ratio(&self) -> f64 {
        self.started.elapsed().as_secs_f64() / self.expected.as_secs_f64().max(0.001)
    }

    /// Logs the attempt: what was known about the target when it was chosen, and how the attempt
    /// ended.
    fn log_end(&self, end: &LoggedEnd) {
        let Some(left_out) = self.gateway.take_log_line(Instant::now(), !end.success) else {
            return;
        };
        let report = self.report.map(|(at, load)| {
            let age = self.started.saturating_duration_since(at).as_millis();
            let LoadReport {
                running,
                waiting,
                slots,
                pace,
            } = load;
            format!(
                "{running} running, {waiting} waiting, {slots} slots, pace {pace}, {age} ms old"
            )
        });
        let usable = &self.usable;
        let directory = self.gateway.directory.borrow();
        let entry = directory.position(&usable.connections.id);
        let departure = self.gateway.crossing.departure(usable);
        let left = departure.map(|departure| departure.to_string());
        log::info!(
            id = self.forwarded.id.as_deref().unwrap_or_default(), target = usable.connections.id.as_str(),
            local = usable.local, left = left.as_deref(), preferred = usable.preferred, missing = usable.missing,
            entry_at = entry.map(|at| at.to_string()),
            report = report.as_deref().unwrap_or("none"),
            limit = self.limit.map(|rate| rate.per_second()),
            expected_ms = self.expected.as_millis() as u64,
            ms = self.started.elapsed().as_millis() as u64, end = end.name, left_out;
            "attempt"
        );
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let ratio = self.ratio();
        let end = self.end.take().unwrap_or(LoggedEnd {
            name: GIVEN_UP,
            success: false,
            verdict: AttemptOutcome::GivenUp { ratio },
        });
        self.log_end(&end);
        let mut outlook = self.usable.connections.outlook.borrow_mut();
        outlook.ended(Instant::now(), self.attempt, end.verdict);
    }
}

/// Sends the request to a target and waits for the response. Dropping the future closes the
/// connection, which makes the target stop working on the request. It is not sent after `send_by`, if
/// there is such a time.
pub async fn run(
    gateway: Rc<Gateway>,
    service: ServiceId,
    usable: UsableTarget,
    forwarded: Rc<ForwardedRequest>,
    send_by: Option<Instant>,
) -> (UsableTarget, AttemptEnd) {
    let started = Instant::now();
    let outlook = &usable.connections.outlook;
    let (expected, alone, running, report) = {
        let outlook = outlook.borrow();
        (
            outlook.expected(started, forwarded.work, usable.slots),
            outlook.expected_alone(started, forwarded.work),
            outlook.running(started),
            outlook.last_report(),
        )
    };
    let mut active = ActiveAttempt {
        gateway: Rc::clone(&gateway),
        forwarded: Rc::clone(&forwarded),
        usable: usable.clone(),
        attempt: gateway.next_attempt(),
        started,
        expected,
        report,
        limit: limits::known_rate(&usable.connections),
        end: None,
    };
    outlook
        .borrow_mut()
        .started(started, active.attempt, expected);
    let was_ideal = target_selector::was_ideal(started, report);
    let end = exchange(&gateway, &usable, &forwarded, send_by).await;
    let ratio = active.ratio();
    if was_ideal && end.is_success() {
        let took = started.elapsed().as_secs_f64();
        gateway
            .services
            .observe_work(&forwarded.route, took / forwarded.work.as_secs_f64());
    }
    if let Some(running) = running
        && end.is_success()
        && gateway.services.is_work_known(&forwarded.route)
    {
        let ratio = started.elapsed().as_secs_f64() / alone.as_secs_f64().max(0.001);
        gateway
            .services
            .observe_crowding(&service, running, usable.slots, ratio);
    }
    if matches!(end, AttemptEnd::Answered(_)) {
        gateway.services.observe_time(&service, started.elapsed());
    }
    let verdict = match &end {
        AttemptEnd::Answered(response) if response.head.status >= 500 => AttemptOutcome::Failed,
        AttemptEnd::Answered(_) => AttemptOutcome::Answered { ratio },
        AttemptEnd::NotRun => AttemptOutcome::Refused,
        AttemptEnd::Withheld => AttemptOutcome::Withheld,
        AttemptEnd::NotSent | AttemptEnd::Unknown => AttemptOutcome::Failed,
    };
    let (name, success) = (end.as_str(), end.is_success());
    gateway.metrics.attempt(&service, name, started.elapsed());
    if !matches!(end, AttemptEnd::NotSent | AttemptEnd::Withheld) {
        crossing::count(&gateway, &usable, transferred(&forwarded, &end));
    }
    active.end = Some(LoggedEnd {
        name,
        success,
        verdict,
    });
    drop(active);
    gateway.services.slot_freed(&service).notify_one();
    (usable, end)
}

/// Returns the size of the bodies of a request and its response, in bytes.
fn transferred(forwarded: &ForwardedRequest, end: &AttemptEnd) -> usize {
    let answered = match end {
        AttemptEnd::Answered(response) => response.body.len(),
        _ => 0,
    };
    forwarded.body.len() + answered
}

async fn exchange(
    gateway: &Gateway,
    usable: &UsableTarget,
    forwarded: &ForwardedRequest,
    send_by: Option<Instant>,
) -> AttemptEnd {
    let connections = &usable.connections;
    let started = Instant::now();
    let purpose = Purpose::Request {
        id: forwarded.id.as_deref(),
        repeatable: forwarded.is_repeatable(),
    };
    let was_cold = warmup::is_cold(connections);
    let mut connection = match connections.checkout(purpose).await {
        Ok(connection) => connection,
        Err(error) => {
            warmup::not_connected(gateway, connections, &error);
            return AttemptEnd::NotSent;
        }
    };
    if let Some(reason) = connection.opened {
        gateway.metrics.connection_opened(reason);
    }
    warmup::note_ended(gateway, connections);
    let now = Instant::now();
    let deadline = gateway.exit.borrow().limit(forwarded.deadline);
    let remaining = deadline.saturating_duration_since(now);
    // Another answer of the target, or the evacuation of its domain, may have arrived while the
    // connection was opened.
    let is_late = remaining.is_zero() || send_by.is_some_and(|send_by| now >= send_by);
    if is_late
        || !target_notices::is_available(gateway, connections)
        || !warmup::may_send(connections, started, was_cold)
    {
        connections.checkin(now, connection, StatedKeepAlive::None);
        return AttemptEnd::Withheld;
    }
    let mut fields = forwarded.fields.clone();
    header_fields::add_target_fields(&mut fields, &connections.id, remaining);
    let request = EncodedRequest::new(
        &forwarded.method,
        &forwarded.target,
        &fields,
        &forwarded.body,
    );
    let belongs = |head: &ResponseHead| {
        let response_fields = header_fields::decode_response(head);
        let belongs = response_fields.request_id == forwarded.id;
        target_notices::hear(gateway, connections, &response_fields, belongs);
        belongs
    };
    let mut memory = ResponseMemory::new(gateway, connections);
    let may_use = |bytes| memory.may_use(bytes);
    let response = connection
        .client
        .exchange_within(&request, belongs, may_use);
    match response.await {
        Ok(response) => {
            let response_fields = header_fields::decode_response(&response.head);
            // Nothing tells a late response from that to the next request without an id.
            if forwarded.id.is_some() && !response_fields.contradictory {
                connections.checkin(Instant::now(), connection, response_fields.keep_alive);
            }
            if !response_fields.misdirected {
                if let StatedLoad::Report(report) = response_fields.load {
                    crossing::hear_load(gateway, connections, report);
                }
                limits::hear(gateway, connections, started, &response_fields);
            }
            classify(usable, response, &response_fields)
        }
        Err(ExchangeFailure { sent: false, error }) => {
            warmup::broken(gateway, connections, &error);
            AttemptEnd::NotSent
        }
        Err(failure) => {
            warmup::broken(gateway, connections, &failure.error);
            log::debug!(target = connections.id.as_str(), reason:% = failure.error; "attempt failed");
            AttemptEnd::Unknown
        }
    }
}

/// Classifies a response.
fn classify(
    usable: &UsableTarget,
    response: Response,
    response_fields: &ResponseFields,
) -> AttemptEnd {
    let now = Instant::now();
    if let StatedLoad::Report(report) = response_fields.load {
        usable.connections.outlook.borrow_mut().report(now, report);
    }
    if response_fields.misdirected {
        health_check::mark_displaced(&usable.connections);
        return AttemptEnd::NotRun;
    }
    if response_fields.not_run {
        return AttemptEnd::NotRun;
    }
    if response_fields.contradictory {
        return AttemptEnd::Unknown;
    }
    let success = (200..300).contains(&response.head.status);
    let encoded = response.head.fields.count("content-encoding") > 0;
    // A successful response that is unsigned or has a content coding is not the target's own. One
    // that states no length and has no body may have been cut off after its head.
    if success && (!response_fields.signed || encoded || response.is_unproven()) {
        return AttemptEnd::Unknown;
    }
    AttemptEnd::Answered(response)
}
