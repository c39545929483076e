//! Since when this VM owns a key.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::key_homes::KeyHomes;
use crate::read_lease::LEASE_WAIT;
use crate::request_key::RequestKey;
use crate::vm_id::VmId;

/// How far in the future, by the VM's own wall clock, a key may have been created.
pub const FUTURE_LIMIT: Duration = Duration::from_secs(2);

/// By how much the wall clocks of two VMs may differ while both accept keys. A step of up to
/// [`crate::clock_step_detector::STEP_LIMIT`], which goes unnoticed, is part of it.
pub const VM_SKEW: Duration = Duration::from_secs(2);

/// How far a key's creation has to lie after the start of an ownership.
///
/// The earlier owner accepted keys up to `FUTURE_LIMIT` ahead of its own clock, which may be
/// `VM_SKEW` ahead of this VM's, so the margin has to be their sum.
pub const SKEW_MARGIN: Duration = FUTURE_LIMIT.saturating_add(VM_SKEW);

/// How long outcomes are kept after a key's creation, and how long sets of homes are remembered.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// The most sets that are remembered; beyond it the oldest knowledge is given up, which refuses
/// more keys and never accepts more.
pub const MAX_HISTORY: usize = 256;

/// What a VM knows about its ownership of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ownership {
    /// The VM owned the key under every set in force since the key's creation.
    Owned,
    /// The key was created after the change that makes this VM its owner, but the lease wait is
    /// not over.
    Moving,
    /// Another VM owned the key after its creation and may have run the request.
    EarlierOwner,
    /// Another VM owns the key.
    NotOwner,
}

/// Why ownership changed, which decides how long the earlier owner may still act.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Handover {
    /// Any change: the earlier owners may act until their leases ended.
    Lease,
    /// The VM wrote its own `leave`, and had stopped to accept keys before it did. No other
    /// earlier owner made that promise.
    Left(VmId),
}

/// A moment on both clocks. Wall time can step after the moment was recorded, so the later of the
/// recorded reading and the one that the clocks imply now is used.
#[derive(Clone, Copy, Debug)]
struct Mark {
    instant: Instant,
    wall: SystemTime,
}

impl Mark {
    fn after(self, wait: Duration) -> Self {
        Self {
            instant: self.instant + wait,
            wall: self.wall + wait,
        }
    }

    fn on_wall(self, now: Instant, wall: SystemTime) -> SystemTime {
        let since = now.saturating_duration_since(self.instant);
        let until = self.instant.saturating_duration_since(now);
        self.wall.max(wall + until - since)
    }
}

#[derive(Clone, Debug)]
struct Era {
    homes: KeyHomes,
    /// When this VM read the record that ended the set.
    ended: Mark,
    handover: Handover,
}

/// The sets of homes of one service, as far back as keys live.
///
/// A set is in force from the moment this VM read the record that made it until the lease wait
/// after the VM read the record that ended it. Consecutive sets therefore overlap: a VM gives up
/// a key at once and takes one over after the wait, also when several changes overlap their waits.
#[derive(Clone, Debug)]
pub struct KeyHistory {
    vm: VmId,
    homes: Option<KeyHomes>,
    past: VecDeque<Era>,
    /// Before this moment other VMs may have owned every key.
    unknown_until: Option<Mark>,
}

impl KeyHistory {
    /// Starts the history of a VM that knows nothing yet and therefore owns no key.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            homes: None,
            past: VecDeque::new(),
            unknown_until: None,
        }
    }

    /// Takes note of the service's homes after one record.
    ///
    /// `now` and `wall` are read after the record was received. The method has to be called after
    /// every record that changes the roster, in log order, also for the records of one read: a set
    /// that was in force only between two records of a batch made another VM the owner. A VM that
    /// catches up by a snapshot has missed such sets and calls [`Self::reset`] first.
    pub fn set_homes(
        &mut self,
        now: Instant,
        wall: SystemTime,
        homes: KeyHomes,
        handover: Handover,
    ) {
        let read = Mark { instant: now, wall };
        match self.homes.replace(homes) {
            None => self.forget_before(read.after(LEASE_WAIT)),
            Some(old) if Some(&old) == self.homes.as_ref() => {}
            Some(old) => self.past.push_back(Era {
                homes: old,
                ended: read,
                handover,
            }),
        }
        self.prune(now);
    }

    /// Forgets everything. The VM owns no key until the next set and the lease wait after it.
    pub fn reset(&mut self) {
        self.homes = None;
        self.past.clear();
    }

    /// Returns whether a set is known.
    pub fn is_started(&self) -> bool {
        self.homes.is_some()
    }

    /// Returns whether this VM alone can have run requests with the key.
    pub fn owned_since_creation(
        &self,
        key: &RequestKey,
        now: Instant,
        wall: SystemTime,
    ) -> Ownership {
        let owner = self.homes.as_ref().and_then(|homes| homes.owner(key));
        if owner != Some(&self.vm) {
            return Ownership::NotOwner;
        }
        let ends = self
            .past
            .iter()
            .filter_map(|era| self.foreign_end(era, key));
        let mut worst = Ownership::Owned;
        for end in ends.chain(self.unknown_until) {
            worst = worst.max(judge(key.created(), end, now, wall));
        }
        worst
    }

    /// Returns when the VM that owned the key under a past set stopped to accept it.
    fn foreign_end(&self, era: &Era, key: &RequestKey) -> Option<Mark> {
        let owner = era.homes.owner(key)?;
        if *owner == self.vm {
            return None;
        }
        match &era.handover {
            Handover::Left(vm) if vm == owner => Some(era.ended),
            _ => Some(era.ended.after(LEASE_WAIT)),
        }
    }

    fn forget_before(&mut self, mark: Mark) {
        let later = |old: &Mark| old.instant > mark.instant;
        if !self.unknown_until.as_ref().is_some_and(later) {
            self.unknown_until = Some(mark);
        }
    }

    fn prune(&mut self, now: Instant) {
        let kept = LEASE_WAIT + KEY_LIFETIME + SKEW_MARGIN;
        while let Some(era) = self.past.front() {
            let expired = now.saturating_duration_since(era.ended.instant) > kept;
            if !expired && self.past.len() <= MAX_HISTORY {
                return;
            }
            let end = era.ended.after(LEASE_WAIT);
            self.past.pop_front();
            self.forget_before(end);
        }
    }
}

fn judge(created: SystemTime, end: Mark, now: Instant, wall: SystemTime) -> Ownership {
    let end_wall = end.on_wall(now, wall);
    if now >= end.instant {
        return match created < end_wall + SKEW_MARGIN {
            true => Ownership::EarlierOwner,
            false => Ownership::Owned,
        };
    }
    match created < end_wall - LEASE_WAIT {
        true => Ownership::EarlierOwner,
        false => Ownership::Moving,
    }
}
