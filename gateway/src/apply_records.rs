//! Applies records of the store to the state of this VM.

use std::collections::BTreeSet;
use std::time::Instant;

use carobshore_lib::announced_target::AnnouncedTarget;
use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::malformed_entries::Finding;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::TargetState;
use carobshore_lib::route_table::ConfigUpdate;
use carobshore_lib::shortened::Shortened;
use carobshore_lib::target_directory::Announced;
use carobshore_platform::config_document;
use carobshore_platform::store_client::CONFIG_KEY;
use carobshore_platform::store_client::Topic;
use carobshore_platform::target_entry;

use crate::evacuation;
use crate::gateway::Gateway;
use crate::record_source::RecordSource;
use crate::warmup;

/// Applies all records of a topic up to the position `next`. Targets that are not among them are removed.
pub fn apply_snapshot(
    gateway: &Gateway,
    topic: Topic,
    records: &[KeyedRecord],
    next: StorePosition,
    source: RecordSource,
) {
    let known = gateway.feed(topic).next();
    let is_restart = known.is_some_and(|known| known.era < next.era);
    if topic == Topic::Targets {
        let listed: BTreeSet<TargetId> = records
            .iter()
            .filter_map(|record| record.key.parse().ok())
            .collect();
        let now = Instant::now();
        let mut directory = gateway.directory.borrow_mut();
        if is_restart {
            directory.store_restarted(now, next);
        }
        let removed = directory.retain(now, next.last(), &listed);
        drop(directory);
        for id in &removed {
            log::info!(target = id.as_str(), reason = "it is not listed"; "target gone");
            gateway.drop_connections(id);
        }
    }
    if topic == Topic::Operators {
        evacuation::apply_snapshot(gateway, records, next);
    }
    apply_changes(gateway, topic, next.era, records, source);
    if topic == Topic::Targets {
        let listed = records.iter().map(|record| &*record.key).collect();
        gateway.malformed.borrow_mut().retain(&listed);
    }
    if topic == Topic::Targets && !gateway.targets_known.replace(true) {
        let targets = gateway.directory.borrow().iter().count();
        log::info!(targets; "targets read");
    }
}

/// Applies records of an era in order.
pub fn apply_changes(
    gateway: &Gateway,
    topic: Topic,
    era: StoreEra,
    records: &[KeyedRecord],
    source: RecordSource,
) {
    for record in records {
        match topic {
            Topic::Operators if evacuation::apply_change(gateway, era, record) => {}
            Topic::Operators => apply_config(gateway, record, source),
            Topic::Targets => apply_target(gateway, era, record),
            Topic::Vms => {}
        }
    }
}

fn apply_config(gateway: &Gateway, record: &KeyedRecord, source: RecordSource) {
    let (CONFIG_KEY, Some(value)) = (&*record.key, &record.value) else {
        return;
    };
    let config = match config_document::decode(value) {
        Ok(config) => config,
        Err(error) => {
            let reason = error.to_string();
            let reason = Shortened(&reason).to_string();
            log::warn!(reason = &*reason; "the configuration is ignored");
            gateway.metrics.refused_config();
            *gateway.refused_config.borrow_mut() = Some(reason.into());
            return;
        }
    };
    let (version, routes) = (config.version.0, config.routes.len());
    let bytes = value.len();
    let age = gateway.config_age(Instant::now());
    match gateway.routes.borrow_mut().apply(config) {
        ConfigUpdate::InForce => {
            *gateway.refused_config.borrow_mut() = None;
            log::info!(version, routes, bytes, from:% = source, age_ms = age; "the configuration is in force");
        }
        ConfigUpdate::NotNewer => {
            log::info!(version; "the configuration is not newer and is ignored");
        }
    }
}

fn apply_target(gateway: &Gateway, era: StoreEra, record: &KeyedRecord) {
    let now = Instant::now();
    let position = StorePosition::new(era, record.offset);
    let Some(value) = &record.value else {
        gateway
            .malformed
            .borrow_mut()
            .replaced(position, &record.key);
        return withdraw(gateway, now, position, record, "its entry is gone");
    };
    match target_entry::decode(&record.key, value, now) {
        Ok(target) => {
            gateway
                .malformed
                .borrow_mut()
                .replaced(position, &record.key);
            announce(gateway, position, target);
        }
        Err(reason) => {
            report_malformed(gateway, position, &record.key, &reason);
            withdraw(gateway, now, position, record, "its entry is malformed");
        }
    }
}

fn announce(gateway: &Gateway, position: StorePosition, target: AnnouncedTarget) {
    let (id, generation) = (target.id.clone(), target.generation());
    let (service, state) = (target.service.clone(), target.state);
    let announced = gateway.directory.borrow_mut().announce(position, target);
    match announced {
        Announced::Joined => {
            gateway.signals.borrow_mut().announced(&id, generation);
            gateway.drop_connections(&id);
            warmup::announced(gateway, &id);
        }
        Announced::Changed if state == TargetState::Leaving => {}
        Announced::Changed => return warmup::announced(gateway, &id),
        Announced::Same => return,
        Announced::Stale => {
            log::info!(target = id.as_str(), at:% = position; "an older announcement is ignored");
            return;
        }
        Announced::Doubtful => {
            log::info!(target = id.as_str(), at:% = position; "an announcement may be of the copy from which the store has come back");
            return;
        }
    }
    log::info!(target = id.as_str(), service = service.as_str(), state:? = state; "target announced");
}

/// Counts a malformed entry once, and logs the first one under its key.
fn report_malformed(gateway: &Gateway, position: StorePosition, key: &str, reason: &str) {
    let finding = gateway.malformed.borrow_mut().found(position, key);
    if finding != Finding::Known {
        gateway.metrics.malformed_entries("target", 1);
    }
    if finding == Finding::New {
        log::warn!(key, reason; "malformed target entry");
    }
}

fn withdraw(
    gateway: &Gateway,
    now: Instant,
    position: StorePosition,
    record: &KeyedRecord,
    reason: &str,
) {
    let Ok(id) = record.key.parse::<TargetId>() else {
        return;
    };
    if gateway.directory.borrow_mut().withdraw(now, position, &id) {
        log::info!(target = id.as_str(), reason; "target gone");
        gateway.drop_connections(&id);
    }
}

/// Applies what the store says, where records that contradicted it have not been written again since it
/// recovered: removes targets whose entries have not reappeared, among others.
pub fn expire(gateway: &Gateway, now: Instant) {
    evacuation::expire(gateway, now);
    let removed = gateway.directory.borrow_mut().expire(now);
    for id in removed {
        log::info!(target = id.as_str(); "target gone: its entry has not reappeared since the store recovered");
        gateway.drop_connections(&id);
    }
    let settled = gateway.directory.borrow_mut().settle(now);
    for (position, target) in settled {
        announce(gateway, position, target);
    }
}
