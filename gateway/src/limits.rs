//! The limits that targets name: learned from their answers and from other VMs.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use carobshore_lib::limit_news::HeardLimit;
use carobshore_lib::limit_queue::LimitedSupply;
use carobshore_lib::limit_share;
use carobshore_lib::preferred_targets;
use carobshore_lib::prelude::Clock;
use carobshore_lib::prelude::RequestRate;
use carobshore_lib::prelude::SystemClock;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::target_limit::TargetLimit;
use carobshore_platform::header_fields::NamedLimit;
use carobshore_platform::header_fields::ResponseFields;

use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::target_connections::TargetConnections;

/// Header field in which VMs tell each other of limits.
pub const NEWS_FIELD: &str = "Target-Limits";
/// Time over which the VMs of a failure domain return to a target whose limit has ended.
const RETURN_SPREAD_MS: u64 = 2_000;

/// Records what a target's answer to a request that was sent at `sent` says about its limit.
pub fn hear(
    gateway: &Gateway,
    connections: &TargetConnections,
    sent: Instant,
    fields: &ResponseFields,
) {
    let now = Instant::now();
    let known = connections.limit.borrow().as_ref().map(TargetLimit::heard);
    let heard = match fields.limit {
        NamedLimit::Rate(rate) => Some(rate),
        // The answer may be older than the limit. Only a signed answer is complete.
        NamedLimit::None if fields.signed && known.is_some_and(|heard| heard <= sent) => None,
        NamedLimit::None => return,
        NamedLimit::Malformed => {
            log::debug!(target = connections.id.as_str(); "a malformed limit is ignored");
            return;
        }
    };
    let heard = HeardLimit {
        rate: heard,
        at: now,
    };
    if gateway.limit_news.borrow_mut().hear(&connections.id, heard) {
        apply(gateway, connections, now, heard, None);
    }
}

/// Records what another VM says of limits.
pub fn read_news(gateway: &Gateway, from: &str, message: &str) {
    let now = Instant::now();
    let changed = gateway.limit_news.borrow_mut().read(now, message);
    for target in changed {
        let heard = gateway.limit_news.borrow().get(&target);
        if let (Some(heard), Some(connections)) = (heard, gateway.known_connections(&target)) {
            apply(gateway, &connections, now, heard, Some(from));
        }
    }
}

/// Applies what is known of the limit of a target to new connections.
pub fn apply_news(gateway: &Gateway, connections: &TargetConnections) {
    let heard = gateway.limit_news.borrow().get(&connections.id);
    if let Some(heard) = heard {
        apply(
            gateway,
            connections,
            Instant::now(),
            heard,
            Some("another VM"),
        );
    }
}

/// Divides a known limit anew, because the list of VMs has changed.
pub fn divide_again(gateway: &Gateway, connections: &TargetConnections) {
    let mut limit = connections.limit.borrow_mut();
    if let Some(limit) = &mut *limit {
        let share = gateway.limit_share(&connections.id, limit.rate());
        limit.set_share(Instant::now(), share);
    }
}

/// Returns what this VM tells others of limits; nothing if it knows of none.
pub fn news(gateway: &Gateway) -> Option<String> {
    let message = gateway.limit_news.borrow_mut().message(Instant::now());
    Some(message).filter(|message| !message.is_empty())
}

/// Applies the last word of a target's limit. `from` is the VM that passed it on, if any.
fn apply(
    gateway: &Gateway,
    connections: &TargetConnections,
    now: Instant,
    heard: HeardLimit,
    from: Option<&str>,
) {
    let target = connections.id.as_str();
    let from = from.unwrap_or("the target");
    let mut limit = connections.limit.borrow_mut();
    match (heard.rate, &mut *limit) {
        (Some(rate), Some(limit)) if limit.rate() == rate => {
            limit.hear(now, heard.at, rate, limit.share());
        }
        (Some(rate), Some(limit)) => {
            let share = gateway.limit_share(&connections.id, rate);
            log::info!(target, rate:% = rate, part = share.rate, from; "a target names another limit");
            limit.hear(now, heard.at, rate, share);
        }
        (Some(rate), limit @ None) => {
            let share = gateway.limit_share(&connections.id, rate);
            log::info!(target, rate:% = rate, part = share.rate, from; "a target names a limit");
            *limit = Some(TargetLimit::new(now, heard.at, rate, share));
        }
        (None, Some(limit)) => {
            log::info!(target, from; "a target names no limit any more");
            limit.end_at(now + return_delay(gateway, &connections.id));
        }
        (None, None) => {}
    }
}

/// Returns how long this VM waits before it sends freely to a target whose limit has ended, so that
/// not all VMs do so at once.
fn return_delay(gateway: &Gateway, target: &TargetId) -> Duration {
    let boot = gateway.boot.borrow();
    let rank = preferred_targets::rank(&boot.vm_name, target.as_str());
    Duration::from_millis(rank % RETURN_SPREAD_MS)
}

/// Returns the limit that a target has named, as far as it still holds.
pub fn known_rate(connections: &TargetConnections) -> Option<RequestRate> {
    let now = Instant::now();
    let mut limit = connections.limit.borrow_mut();
    if limit.as_ref().is_some_and(|limit| limit.has_ended(now)) {
        *limit = None;
    }
    limit.as_ref().map(TargetLimit::rate)
}

/// Returns the lower of the rates that a target takes from all VMs together: by the limit that it has
/// named, and while it is cold.
pub(crate) fn common_rate(connections: &TargetConnections) -> Option<RequestRate> {
    let cold = connections.cold.borrow();
    let cold = cold.limit().filter(|_| cold.is_cold(Instant::now()));
    let cold = cold.and_then(|limit| limit.rate().try_into().ok());
    let rates = [known_rate(connections), cold].into_iter().flatten();
    rates.reduce(|one, other| if other < one { other } else { one })
}

/// Returns how many VMs, of `vms`, share what a target takes; nothing if it takes any number.
pub(crate) fn group_size(connections: &TargetConnections, vms: usize) -> Option<usize> {
    let cold = connections.cold.borrow();
    let cold = cold.limit().filter(|_| cold.is_cold(Instant::now()));
    let cold = cold.map(|limit| limit.members(vms));
    let named = known_rate(connections).map(|rate| limit_share::group_size(rate, vms));
    // A member must have a part of both. The smaller group is a part of the larger one.
    named.into_iter().chain(cold).min()
}

/// Returns whether a target's limit and its warm-up allow a request now.
pub fn is_open(connections: &TargetConnections) -> bool {
    let now = Instant::now();
    is_limit_open(connections, now) && connections.cold.borrow().is_open(now)
}

/// Returns whether the limit that a target has named allows a request.
fn is_limit_open(connections: &TargetConnections, now: Instant) -> bool {
    let limit = connections.limit.borrow();
    let limit = limit.as_ref();
    limit.is_none_or(|limit| limit.is_open(now, since_epoch()))
}

/// Takes a request from what a target's limit and its warm-up allow. Returns false if one of them
/// allows none.
pub fn take(connections: &TargetConnections) -> bool {
    is_open(connections)
        && take_named(connections)
        && connections.cold.borrow_mut().take(Instant::now())
}

/// Takes a request from what the limit that a target has named allows.
pub(crate) fn take_named(connections: &TargetConnections) -> bool {
    let mut limit = connections.limit.borrow_mut();
    let limit = limit.as_mut();
    limit.is_none_or(|limit| limit.take(Instant::now(), since_epoch()))
}

/// Returns what a target takes from this VM by its limit and its warm-up; nothing if it takes any
/// number, or if this VM has no part.
pub(crate) fn own_supply(connections: &TargetConnections) -> Option<LimitedSupply> {
    let now = Instant::now();
    let (limit, cold) = (connections.limit.borrow(), connections.cold.borrow());
    let named = limit.as_ref().map(|limit| {
        let next = limit.next_in(now)?;
        let rate = limit.share().rate;
        Some(LimitedSupply { rate, next })
    });
    let warming = cold.is_cold(now).then(|| {
        let next = cold.next_in(now)?;
        let rate = cold.share()?.rate;
        Some(LimitedSupply { rate, next })
    });
    match (named, warming) {
        (Some(named), Some(warming)) => Some(named?.within(warming?)),
        (named, warming) => named.or(warming)?,
    }
}

/// Returns the time until this VM's part allows a request; nothing if it has none.
pub fn next_in(connections: &TargetConnections) -> Option<Duration> {
    own_supply(connections).map(|supply| supply.next)
}

/// Returns whether a target's limit keeps it mostly idle, so that its load need not be queried.
pub fn is_light(connections: &TargetConnections, work: Duration, slots: u32) -> bool {
    let limit = connections.limit.borrow();
    limit
        .as_ref()
        .is_some_and(|limit| limit.is_light(work, slots))
}

/// Returns what limited targets take from this VM; nothing if it has no part of any of them.
pub fn supply(targets: &[UsableTarget]) -> Option<LimitedSupply> {
    let parts = targets
        .iter()
        .filter_map(|target| own_supply(&target.connections));
    parts.reduce(LimitedSupply::and)
}

/// Returns what the state dump shows of a target's limit.
pub fn dump(now: Instant, connections: &TargetConnections) -> serde_json::Value {
    let limit = connections.limit.borrow();
    let Some(limit) = limit.as_ref() else {
        return serde_json::Value::Null;
    };
    serde_json::json!({
        "rate": limit.rate(),
        "age_ms": now.saturating_duration_since(limit.heard()).as_millis() as u64,
        "share": limit.share(),
        "open": limit.is_open(now, since_epoch()),
    })
}

/// Returns the time of day as the time since the Unix epoch.
fn since_epoch() -> Duration {
    let time = SystemClock.wall().duration_since(SystemTime::UNIX_EPOCH);
    time.unwrap_or_default()
}
