//! Requests for targets that are cold, or that may be without this VM knowing it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::message_error::MessageError;
use carobshore_lib::announced_target::AnnouncedTarget;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::warmup::cold_limit::ColdLimit;
use carobshore_lib::warmup::cold_share::ColdShare;
use carobshore_lib::warmup::cold_target::ColdTarget;
use carobshore_lib::warmup::cold_target::WarmupChange;
use carobshore_lib::warmup::warmup_rule::WarmupRule;
use carobshore_platform::header_fields::ResponseFields;

use crate::gateway::Gateway;
use crate::target_connections::TargetConnections;

/// The number of targets of which the state is kept before what is over is dropped.
const MAX_TARGETS: usize = 4_096;
/// Longest time between taking a request from the limit and sending it. The bound counts requests
/// when they are sent, so that late ones would add to those of a later second.
const MAX_DELAY: Duration = Duration::from_millis(100);

/// What one VM knows of the warm-up of one target.
pub(crate) type SharedTarget = Rc<RefCell<ColdTarget>>;

/// What one VM knows of the warm-up of all targets. It is kept when the connections to a target are
/// dropped.
#[derive(Debug)]
pub(crate) struct Warmups {
    /// When the process started.
    started: Instant,
    targets: RefCell<BTreeMap<TargetId, SharedTarget>>,
}

impl Warmups {
    /// Creates the state of a process that has sent nothing yet.
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            started,
            targets: RefCell::default(),
        }
    }

    /// Returns the state of a target.
    pub(crate) fn of(&self, target: &TargetId) -> SharedTarget {
        let mut targets = self.targets.borrow_mut();
        if targets.len() >= MAX_TARGETS && !targets.contains_key(target) {
            let now = Instant::now();
            // The connections of a target share its state.
            targets.retain(|_, cold| Rc::strong_count(cold) > 1 || !cold.borrow().is_over(now));
        }
        let new = || Rc::new(RefCell::new(ColdTarget::new(self.started)));
        Rc::clone(targets.entry(target.clone()).or_insert_with(new))
    }

    /// Forgets this VM's parts, because the list of VMs has changed.
    pub(crate) fn list_changed(&self) {
        let targets = self.targets.borrow();
        targets
            .values()
            .for_each(|cold| cold.borrow_mut().forget_share());
    }
}

/// Records the announcement of a target that is new or has changed.
pub(crate) fn announced(gateway: &Gateway, target: &TargetId) {
    let directory = gateway.directory.borrow();
    let Some(entry) = directory.get(target) else {
        return;
    };
    if gateway.boot.borrow().warmup.is_none() {
        return;
    }
    // A target of the first read may have started long before this VM.
    let rule = rule(gateway, &entry.service).filter(|_| gateway.targets_known.get());
    let cold = gateway.warmup.of(target);
    cold.borrow_mut()
        .announced(Instant::now(), entry.generation(), rule);
    // Brings the state up to date now, so that the log shows the change.
    gateway.connections(entry);
}

/// Brings the state of a target up to date with its entry, the configuration and the list of VMs.
pub(crate) fn refresh(gateway: &Gateway, connections: &TargetConnections, entry: &AnnouncedTarget) {
    note_ended(gateway, connections);
    let mut outlook = connections.outlook.borrow_mut();
    let Some(bounds) = gateway.boot.borrow().warmup else {
        outlook.set_cold_until(entry.cold_until);
        return;
    };
    let rule = rule(gateway, &entry.service);
    let now = Instant::now();
    let mut cold = connections.cold.borrow_mut();
    cold.set_limit(rule.map(|rule| ColdLimit::new(rule.rate, bounds.over, bounds.slack)));
    cold.set_entry(entry.cold_until);
    if let Some(limit) = cold.missing_share().filter(|_| cold.is_cold(now)) {
        cold.set_share(now, share(gateway, &connections.id, limit));
    }
    cold.fill(now);
    outlook.set_cold_until(match rule {
        Some(_) => cold.cold_until(now),
        None => entry.cold_until,
    });
    note_change(gateway, connections, &mut cold, now);
}

/// Records the response to a health check that was sent at `sent`.
pub(crate) fn answered(
    gateway: &Gateway,
    connections: &TargetConnections,
    sent: Instant,
    fields: &ResponseFields,
) {
    let now = Instant::now();
    let mut cold = connections.cold.borrow_mut();
    cold.answered(now, sent, fields.warmup_left);
    if let Some(limit) = cold.missing_share().filter(|_| cold.is_cold(now)) {
        cold.set_share(now, share(gateway, &connections.id, limit));
    }
    note_change(gateway, connections, &mut cold, now);
}

/// Records that a target has not accepted a connection. One that is refused may have started again.
pub(crate) fn not_connected(gateway: &Gateway, connections: &TargetConnections, error: &io::Error) {
    // Other errors, such as a lack of descriptors, say nothing of the target.
    let is_refused = matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
    );
    if is_refused {
        doubt(gateway, connections, "its connection was refused");
    }
}

/// Records that an exchange with a target has failed. One whose connection broke may have started
/// again.
pub(crate) fn broken(gateway: &Gateway, connections: &TargetConnections, error: &MessageError) {
    let is_broken = matches!(
        error,
        MessageError::Closed | MessageError::NoMessage | MessageError::Broken(_)
    );
    if is_broken {
        doubt(gateway, connections, "its connection broke");
    }
}

/// Records that an idle connection to a target has ended early, if one has: the target may have started
/// again.
pub(crate) fn note_ended(gateway: &Gateway, connections: &TargetConnections) {
    if connections.ended_early.take() {
        doubt(gateway, connections, "it ended an idle connection early");
    }
}

/// Records that the evacuation of a domain was withdrawn: its targets may have become cold.
pub(crate) fn domain_returned(gateway: &Gateway, domain: &DomainId) {
    let directory = gateway.directory.borrow();
    for target in directory.iter().filter(|target| target.domain == *domain) {
        let connections = gateway.connections(target);
        doubt(
            gateway,
            &connections,
            "its domain is not evacuated any more",
        );
    }
}

/// Returns whether a request that was taken at `taken`, when the target was cold or not
/// (`was_cold`), may be sent now. Takes one from the limit if the target has become cold meanwhile.
pub(crate) fn may_send(connections: &TargetConnections, taken: Instant, was_cold: bool) -> bool {
    let now = Instant::now();
    let mut cold = connections.cold.borrow_mut();
    if cold.is_unverified() {
        return false;
    }
    match (cold.is_cold(now), was_cold) {
        (false, _) => true,
        (true, true) => now.saturating_duration_since(taken) <= MAX_DELAY,
        (true, false) => cold.take(now),
    }
}

/// Returns until when a request that was taken at `taken` must be sent; nothing if its target is not cold.
pub(crate) fn send_by(connections: &TargetConnections, taken: Instant) -> Option<Instant> {
    let is_cold = connections.cold.borrow().is_cold(taken);
    is_cold.then(|| taken + MAX_DELAY)
}

/// Takes a request for another VM. Returns nothing if no limit of the target is known here.
pub(crate) fn give_up(gateway: &Gateway, connections: &TargetConnections) -> Option<bool> {
    let now = Instant::now();
    let mut cold = connections.cold.borrow_mut();
    let limit = cold.limit()?;
    if cold.missing_share().is_some() {
        cold.set_share(now, share(gateway, &connections.id, limit));
    }
    let is_given = cold.give_up(now);
    if is_given {
        gateway.metrics.warmup("given-up");
    }
    Some(is_given)
}

/// Returns whether a target is cold, as far as this VM knows.
pub(crate) fn is_cold(connections: &TargetConnections) -> bool {
    connections.cold.borrow().is_cold(Instant::now())
}

/// Returns what the state dump shows of a target's warm-up.
pub(crate) fn dump(now: Instant, connections: &TargetConnections) -> serde_json::Value {
    let cold = connections.cold.borrow();
    let Some(limit) = cold.limit() else {
        return serde_json::Value::Null;
    };
    let left = cold.cold_until(now).map(|end| end - now);
    serde_json::json!({
        "cold_ms": left.map(|left| left.as_millis() as u64),
        "unverified": cold.is_unverified(),
        "group": limit,
        "share": cold.share(),
        "open": cold.is_open(now),
    })
}

fn doubt(gateway: &Gateway, connections: &TargetConnections, reason: &str) {
    if connections.cold.borrow_mut().doubt(Instant::now()) {
        gateway.metrics.warmup("unverified");
        log::info!(target = connections.id.as_str(), reason; "a target gets no request before it has answered a health check");
    }
}

fn rule(gateway: &Gateway, service: &ServiceId) -> Option<WarmupRule> {
    let routes = gateway.routes.borrow();
    routes.config().services.get(service)?.warmup
}

fn share(gateway: &Gateway, target: &TargetId, limit: ColdLimit) -> ColdShare {
    let (roster, boot) = (gateway.roster(), gateway.boot.borrow());
    ColdShare::new(&roster, &boot.vm_name, gateway.is_new(), target, limit)
}

fn note_change(
    gateway: &Gateway,
    connections: &TargetConnections,
    cold: &mut ColdTarget,
    now: Instant,
) {
    let target = connections.id.as_str();
    match cold.take_change(now) {
        Some(WarmupChange::Cold) => {
            let left = cold.cold_until(now).unwrap_or(now) - now;
            let part = cold.share().unwrap_or_default().rate;
            gateway.metrics.warmup("cold");
            log::info!(target, left_ms = left.as_millis() as u64, part; "target is cold");
        }
        Some(WarmupChange::Warm) => {
            gateway.metrics.warmup("warm");
            log::info!(target; "target is warm");
        }
        None => {}
    }
}
