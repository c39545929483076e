//! Evacuated failure domains, whose targets get no requests.

use std::collections::BTreeMap;
use std::time::Instant;

use carobshore_lib::evacuation::domain_state::DomainState;
use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_platform::store_client;

use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::warmup;

/// Applies a complete read of the operators' topic up to `next`.
pub(crate) fn apply_snapshot(gateway: &Gateway, records: &[KeyedRecord], next: StorePosition) {
    if next == StorePosition::new(next.era, 0) {
        return;
    }
    let last = next.last();
    let at = |record: &KeyedRecord| StorePosition::new(next.era, record.offset);
    let evacuating = records.iter().filter(|record| record.value.is_some());
    let listed: BTreeMap<DomainId, StorePosition> = evacuating
        .filter_map(|record| Some((domain(record)?, at(record))))
        .collect();
    let mut evacuations = gateway.evacuations.borrow_mut();
    let changed = evacuations.replace(Instant::now(), last, &listed);
    drop(evacuations);
    for (domain, evacuated) in changed {
        let position = listed.get(&domain).copied().unwrap_or(last);
        on_change(gateway, &domain, position, evacuated);
    }
}

/// Ends the evacuations whose records the store has lost.
pub(crate) fn expire(gateway: &Gateway, now: Instant) {
    let ended = gateway.evacuations.borrow_mut().expire(now);
    for domain in ended {
        let position = gateway.config_position().unwrap_or_default();
        on_change(gateway, &domain, position, false);
    }
}

/// Applies a record. Returns false if it is about something else.
pub(crate) fn apply_change(gateway: &Gateway, era: StoreEra, record: &KeyedRecord) -> bool {
    if store_client::evacuated_domain(&record.key).is_none() {
        return false;
    }
    let Some(domain) = domain(record) else {
        log::warn!(key = &*record.key; "the evacuation of a malformed domain is ignored");
        return true;
    };
    // The value carries no information.
    let evacuated = record.value.is_some();
    let position = StorePosition::new(era, record.offset);
    let mut evacuations = gateway.evacuations.borrow_mut();
    let is_new = evacuations.apply(Instant::now(), position, &domain, evacuated);
    drop(evacuations);
    if is_new {
        on_change(gateway, &domain, position, evacuated);
    }
    true
}

/// Returns whether the targets of a domain are evacuated.
pub(crate) fn is_evacuated(gateway: &Gateway, domain: &DomainId) -> bool {
    gateway.evacuations.borrow().is_evacuated(domain)
}

/// Removes the targets of evacuated domains, and those to which this VM returns later unless there
/// are no others.
pub(crate) fn keep_open(gateway: &Gateway, now: Instant, usable: &mut Vec<UsableTarget>) {
    let evacuations = gateway.evacuations.borrow();
    if evacuations.is_empty() {
        return;
    }
    let boot = gateway.boot.borrow();
    let state =
        |usable: &UsableTarget| evacuations.state(now, &boot.vm_name, &usable.connections.domain);
    usable.retain(|usable| state(usable) != DomainState::Evacuated);
    if usable
        .iter()
        .any(|usable| state(usable) == DomainState::Open)
    {
        usable.retain(|usable| state(usable) == DomainState::Open);
    }
}

/// Returns what the state dump shows.
pub(crate) fn dump(gateway: &Gateway, now: Instant) -> serde_json::Value {
    let evacuations = gateway.evacuations.borrow();
    let of_one = |(domain, position, read): (&DomainId, StorePosition, Instant)| {
        serde_json::json!({
            "domain": domain.as_str(),
            "offset": position.offset,
            "era": position.era,
            "age_ms": now.saturating_duration_since(read).as_millis() as u64,
        })
    };
    evacuations.iter().map(of_one).collect()
}

fn domain(record: &KeyedRecord) -> Option<DomainId> {
    store_client::evacuated_domain(&record.key)?.parse().ok()
}

fn on_change(gateway: &Gateway, domain: &DomainId, position: StorePosition, evacuated: bool) {
    let offset = position.offset.0;
    let name = domain.as_str();
    if evacuated {
        gateway.metrics.evacuation("evacuated");
        log::warn!(domain = name, offset; "the domain is evacuated: its targets get no requests");
        return;
    }
    gateway.metrics.evacuation("withdrawn");
    let since = gateway.evacuations.borrow().since(domain);
    let evacuated_ms = since.map(|since| since.elapsed().as_millis() as u64);
    log::info!(domain = name, offset, evacuated_ms; "the evacuation of the domain is withdrawn");
    warmup::domain_returned(gateway, domain);
}
