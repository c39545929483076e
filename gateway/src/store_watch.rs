//! Follows the configuration and the targets in the platform's store.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::backoff::Backoff;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::TargetState;
use carobshore_lib::read_wait::ReadWait;
use carobshore_lib::route_table::Taken;
use carobshore_lib::target_directory::Announced;
use carobshore_platform::config_document;
use carobshore_platform::store_client::CONFIG_KEY;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use carobshore_platform::store_records::KeyedRecord;
use carobshore_platform::target_entry;

use crate::gateway::Gateway;

/// Pause after a page of records. Changes that come meanwhile are read in one call; the bound for
/// them to be in force is 2 s.
const TARGETS_PAUSE: Duration = Duration::from_millis(500);
const CONFIG_PAUSE: Duration = Duration::from_millis(250);
/// Pauses between calls while the store fails. Refused calls cost as much as others.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Takes over what was read.
struct Watch {
    gateway: Rc<Gateway>,
    topic: Topic,
    client: StoreClient,
    backoff: Backoff,
    /// Since when the store has not answered.
    lost: Option<Instant>,
}

/// Follows a topic until the process ends.
pub async fn follow(gateway: Rc<Gateway>, topic: Topic) -> eyre::Result<()> {
    let store = gateway.boot.borrow().store;
    let mut watch = Watch {
        gateway,
        topic,
        client: StoreClient::new(store, topic),
        backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE),
        lost: None,
    };
    loop {
        let from = watch.load().await;
        watch.tail(from).await;
    }
}

impl Watch {
    /// Reads everything, and returns the offset behind it.
    async fn load(&mut self) -> u64 {
        loop {
            let answer = self.client.newest().await;
            match self.checked(answer).await {
                Some(newest) => {
                    self.take_all(newest.records);
                    return newest.end;
                }
                None => continue,
            }
        }
    }

    /// Follows the records from an offset on until they are gone from the store.
    async fn tail(&mut self, mut from: u64) {
        let mut wait = ReadWait::default();
        loop {
            let started = Instant::now();
            let answer = self.client.read(from, wait.get()).await;
            if answer == Err(StoreFailure::Expired) {
                log::info!(topic:? = self.topic, offset = from; "records have expired; reading all");
                return;
            }
            let Some(page) = self.checked(answer).await else {
                wait.was_eventful();
                continue;
            };
            if page.malformed > 0 {
                log::warn!(topic:? = self.topic, count = page.malformed; "malformed records");
            }
            from = page.next;
            if page.records.is_empty() {
                wait.was_empty(started.elapsed());
                continue;
            }
            wait.was_eventful();
            self.take_some(page.records);
            tokio::time::sleep(self.pause()).await;
        }
    }

    fn pause(&self) -> Duration {
        match self.topic {
            Topic::Operators => CONFIG_PAUSE,
            Topic::Targets => TARGETS_PAUSE,
        }
    }

    /// Notes whether the store answered, and pauses if it did not.
    async fn checked<T>(&mut self, answer: Result<T, StoreFailure>) -> Option<T> {
        let now = Instant::now();
        match answer {
            Ok(answer) => {
                self.gateway.metrics.store_call("answered");
                self.backoff.succeeded();
                if let Some(since) = self.lost.take() {
                    let ms = now.saturating_duration_since(since).as_millis() as u64;
                    log::info!(topic:? = self.topic, ms; "the store answers again");
                    self.gateway.directory.borrow_mut().store_returned(now);
                }
                Some(answer)
            }
            Err(failure) => {
                self.gateway.metrics.store_call("failed");
                if self.lost.is_none() {
                    self.lost = Some(now);
                    log::warn!(topic:? = self.topic, reason:% = failure; "the store does not answer");
                }
                self.client.set_addr(self.gateway.boot.borrow().store);
                tokio::time::sleep(self.backoff.failed()).await;
                None
            }
        }
    }

    /// Takes over the newest record of each key.
    fn take_all(&mut self, records: Vec<KeyedRecord>) {
        if self.topic == Topic::Targets {
            let listed: BTreeSet<TargetId> = records
                .iter()
                .filter_map(|record| record.key.parse().ok())
                .collect();
            let now = Instant::now();
            let gone = self.gateway.directory.borrow_mut().retain(now, &listed);
            gone.iter().for_each(|id| forget(&self.gateway, id));
        }
        self.take_some(records);
        if self.topic == Topic::Targets && !self.gateway.targets_known.replace(true) {
            let targets = self.gateway.directory.borrow().iter().count();
            log::info!(targets; "the targets are known");
        }
    }

    /// Takes over records in their order.
    fn take_some(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            match self.topic {
                Topic::Operators => take_config(&self.gateway, &record),
                Topic::Targets => take_target(&self.gateway, &record),
            }
        }
    }
}

fn take_config(gateway: &Gateway, record: &KeyedRecord) {
    let (CONFIG_KEY, Some(value)) = (&*record.key, &record.value) else {
        return;
    };
    let config = match config_document::decode(value) {
        Ok(config) => config,
        Err(error) => {
            log::warn!(reason:% = error; "the configuration is ignored");
            return;
        }
    };
    let (version, routes) = (config.version.0, config.routes.len());
    match gateway.routes.borrow_mut().take(config) {
        Taken::InForce => log::info!(version, routes; "the configuration is in force"),
        Taken::NotNewer => log::info!(version; "the configuration is not newer and is ignored"),
    }
}

fn take_target(gateway: &Gateway, record: &KeyedRecord) {
    let now = Instant::now();
    let Some(value) = &record.value else {
        return withdraw(gateway, now, &record.key, "its entry is gone");
    };
    match target_entry::decode(&record.key, value, now) {
        Ok(target) => {
            let id = target.id.clone();
            let (service, state) = (target.service.clone(), target.state);
            let announced = gateway.directory.borrow_mut().announce(target);
            match announced {
                Announced::Joined => forget(gateway, &id),
                Announced::Changed if state == TargetState::Leaving => {}
                Announced::Changed | Announced::Same => return,
                Announced::Stale => {
                    log::info!(target = id.as_str(); "an older announcement is ignored");
                    return;
                }
            }
            log::info!(target = id.as_str(), service = service.as_str(), state:? = state; "target announced");
        }
        Err(reason) => {
            log::warn!(key = &*record.key, reason = &*reason; "the entry names no target");
            withdraw(gateway, now, &record.key, "its entry is malformed");
        }
    }
}

fn withdraw(gateway: &Gateway, now: Instant, key: &str, reason: &str) {
    let Ok(id) = key.parse::<TargetId>() else {
        return;
    };
    if gateway.directory.borrow_mut().withdraw(now, &id) {
        log::info!(target = id.as_str(), reason; "target gone");
        forget(gateway, &id);
    }
}

/// Drops what is known about a target's last lifetime.
fn forget(gateway: &Gateway, id: &TargetId) {
    gateway.forget(id);
}

/// Takes targets out of use that have not come back after the store did.
pub fn expire(gateway: &Gateway, now: Instant) {
    let gone = gateway.directory.borrow_mut().expire(now);
    for id in gone {
        log::info!(target = id.as_str(); "target gone: it has not come back after the store did");
        forget(gateway, &id);
    }
}
