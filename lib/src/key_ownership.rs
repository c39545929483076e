//! The histories of key ownership for all services.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::config::Config;
use crate::homes::Homes;
use crate::homes::HomesSettings;
use crate::key_history::Handover;
use crate::key_history::KEY_LIFETIME;
use crate::key_history::KeyHistory;
use crate::key_history::MAX_HISTORY;
use crate::key_history::SKEW_MARGIN;
use crate::key_homes::KeyHomes;
use crate::read_lease::LEASE_WAIT;
use crate::roster::Roster;
use crate::service::DEFAULT_CONNECTIONS;
use crate::service::Service;
use crate::service_id::ServiceId;
use crate::target_time::TargetTime;
use crate::version::Version;
use crate::vm_id::VmId;

/// How long a roster state is relevant after it ended.
const STATE_RETENTION: Duration =
    LEASE_WAIT.saturating_add(KEY_LIFETIME.saturating_add(SKEW_MARGIN));

/// A roster state, with the time and the kind of the record that started it.
#[derive(Clone, Debug)]
struct RosterState {
    roster: Roster,
    now: Instant,
    wall: SystemTime,
    handover: Handover,
}

/// The key histories of all services, derived from the roster states in log order.
///
/// The owners of a service's keys depend only on the roster and the service's id. Roster states are
/// kept so that a service that is added later gets the same history as if it had existed all along,
/// and its keys are accepted at once.
#[derive(Clone, Debug)]
pub struct KeyOwnership {
    vm: VmId,
    states: VecDeque<RosterState>,
    histories: BTreeMap<ServiceId, Arc<KeyHistory>>,
}

impl KeyOwnership {
    /// Creates a value without any roster state. The VM owns no key.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            states: VecDeque::new(),
            histories: BTreeMap::new(),
        }
    }

    /// Applies the roster that one record produced. The clocks have to be read after the record was
    /// received.
    pub fn roster_changed(
        &mut self,
        now: Instant,
        wall: SystemTime,
        roster: Roster,
        handover: Handover,
    ) {
        let state = RosterState {
            roster,
            now,
            wall,
            handover,
        };
        for (service, history) in &mut self.histories {
            let homes = key_homes(service, &state.roster);
            // The data thread shares the histories and keeps reading the old ones.
            state.record(Arc::make_mut(history), homes);
        }
        self.states.push_back(state);
        self.prune(now);
    }

    /// Applies the roster of a snapshot. Earlier roster states may have been missed.
    pub fn snapshot_installed(&mut self, now: Instant, wall: SystemTime, roster: Roster) {
        self.states.clear();
        for history in self.histories.values_mut() {
            Arc::make_mut(history).reset();
        }
        self.roster_changed(now, wall, roster, Handover::Lease);
    }

    /// Sets the new id of this VM after it was displaced. What the old id owned does not count.
    pub fn id_changed(&mut self, vm: VmId) {
        let services: Vec<_> = self.histories.keys().cloned().collect();
        self.vm = vm;
        for service in services {
            let history = Arc::new(self.replay(&service));
            self.histories.insert(service, history);
        }
    }

    /// Applies the services of the confirmed configuration.
    pub fn config_changed(&mut self, config: &Config) {
        self.histories
            .retain(|service, _| config.services.contains_key(service));
        for service in config.services.keys() {
            if !self.histories.contains_key(service) {
                let history = Arc::new(self.replay(service));
                self.histories.insert(service.clone(), history);
            }
        }
    }

    /// Returns the histories by service.
    pub fn histories(&self) -> &BTreeMap<ServiceId, Arc<KeyHistory>> {
        &self.histories
    }

    fn replay(&self, service: &ServiceId) -> KeyHistory {
        let mut history = KeyHistory::new(self.vm.clone());
        for state in &self.states {
            state.record(&mut history, key_homes(service, &state.roster));
        }
        history
    }

    /// Drops states that ended longer ago than the lifetime of a key. Nothing is known before the
    /// first state that is kept, which refuses more keys and never accepts more.
    fn prune(&mut self, now: Instant) {
        while let Some(second) = self.states.get(1) {
            let expired = now.saturating_duration_since(second.now) > STATE_RETENTION;
            if !expired && self.states.len() <= MAX_HISTORY {
                return;
            }
            self.states.pop_front();
        }
    }
}

impl RosterState {
    fn record(&self, history: &mut KeyHistory, homes: KeyHomes) {
        history.set_homes(self.now, self.wall, homes, self.handover.clone());
    }
}

/// Returns the owners of the keys of a service: one VM per failure domain, regardless of settings.
pub fn key_homes(service: &ServiceId, roster: &Roster) -> KeyHomes {
    // Key ownership does not depend on the assignment of targets.
    let without_targets = Service {
        version: Version(0),
        targets: BTreeMap::new(),
        measuring: TargetTime(0),
        connections: DEFAULT_CONNECTIONS,
    };
    let homes = Homes::assign(service, &without_targets, roster, &HomesSettings::default());
    KeyHomes::from(homes)
}
