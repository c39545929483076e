//! The slots and the queue of one service on one VM.

use std::time::Instant;

use crate::pool_action::PoolAction;
use crate::pool_event::PoolEvent;
use crate::pool_settings::PoolSettings;
use crate::pool_targets::PoolTargets;
use crate::service_id::ServiceId;

/// Decides which request runs where and when.
#[derive(Debug)]
pub struct SlotPool {
    service: ServiceId,
    settings: PoolSettings,
}

impl SlotPool {
    /// Makes a pool without targets.
    pub fn new(service: ServiceId, settings: PoolSettings, _now: Instant) -> Self {
        Self { service, settings }
    }

    /// Takes over the targets of a new view. Requests in flight on targets that are no longer
    /// listed go on.
    pub fn set_targets(
        &mut self,
        _now: Instant,
        _targets: &PoolTargets,
        _actions: &mut Vec<PoolAction>,
    ) {
        todo!("{} {:?}", self.service, self.settings)
    }

    /// Takes in an event and appends what has to be done.
    pub fn handle(&mut self, _now: Instant, _event: PoolEvent, _actions: &mut Vec<PoolAction>) {
        todo!()
    }

    /// Returns when `PoolEvent::Tick` is due.
    pub fn wakeup(&self) -> Option<Instant> {
        todo!()
    }

    /// Returns the slots that could take a request at once and the queue length, for `PeerLoad`.
    pub fn load(&self) -> (u32, u32) {
        todo!()
    }

    /// Returns the pool's state for the dump.
    pub fn dump(&self, _now: Instant) -> serde_json::Value {
        todo!()
    }
}
