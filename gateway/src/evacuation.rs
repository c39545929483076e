//! Evacuated failure domains, whose targets get no requests.

use std::collections::BTreeMap;
use std::time::Instant;

use carobshore_lib::evacuation::domain_state::DomainState;
use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::Offset;
use carobshore_platform::store_client;

use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::warmup;

/// Applies a complete read of the operators' topic before the offset `next`.
pub(crate) fn apply_snapshot(gateway: &Gateway, records: &[KeyedRecord], next: u64) {
    let Some(last) = next.checked_sub(1) else {
        return;
    };
    let evacuating = records.iter().filter(|record| record.value.is_some());
    let listed: BTreeMap<DomainId, Offset> = evacuating
        .filter_map(|record| Some((domain(record)?, Offset(record.offset))))
        .collect();
    let mut evacuations = gateway.evacuations.borrow_mut();
    let changed = evacuations.replace(Instant::now(), Offset(last), &listed);
    drop(evacuations);
    for (domain, evacuated) in changed {
        let offset = listed.get(&domain).map_or(last, |offset| offset.0);
        on_change(gateway, &domain, offset, evacuated);
    }
}

/// Applies a record. Returns false if it is about something else.
pub(crate) fn apply_change(gateway: &Gateway, record: &KeyedRecord) -> bool {
    if store_client::evacuated_domain(&record.key).is_none() {
        return false;
    }
    let Some(domain) = domain(record) else {
        log::warn!(key = &*record.key; "the evacuation of a malformed domain is ignored");
        return true;
    };
    // The value carries no information.
    let evacuated = record.value.is_some();
    let offset = Offset(record.offset);
    let mut evacuations = gateway.evacuations.borrow_mut();
    let is_new = evacuations.apply(Instant::now(), offset, &domain, evacuated);
    drop(evacuations);
    if is_new {
        on_change(gateway, &domain, record.offset, evacuated);
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
    let of_one = |(domain, offset, read): (&DomainId, Offset, Instant)| {
        serde_json::json!({
            "domain": domain.as_str(),
            "offset": offset,
            "age_ms": now.saturating_duration_since(read).as_millis() as u64,
        })
    };
    evacuations.iter().map(of_one).collect()
}

fn domain(record: &KeyedRecord) -> Option<DomainId> {
    store_client::evacuated_domain(&record.key)?.parse().ok()
}

fn on_change(gateway: &Gateway, domain: &DomainId, offset: u64, evacuated: bool) {
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
