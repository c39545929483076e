//! The history of the owners of the keys of one service.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::key_homes::KeyHomes;
use crate::read_lease::LEASE_WAIT;
use crate::request_key::RequestKey;
use crate::vm_id::VmId;

/// How far in the future, by the VM's own wall clock, the creation of a key may lie.
pub const FUTURE_LIMIT: Duration = Duration::from_secs(2);

/// Maximum difference between the wall clocks of two VMs that accept keys. It includes a step of up
/// to [`crate::clock_step_detector::STEP_LIMIT`], which is not detected.
pub const VM_SKEW: Duration = Duration::from_secs(2);

/// How long after the start of an ownership a key has to be created to be accepted.
///
/// The earlier owner accepted keys up to `FUTURE_LIMIT` ahead of its own clock, which may be
/// `VM_SKEW` ahead of this VM's clock, so the margin has to be the sum of both.
pub const SKEW_MARGIN: Duration = FUTURE_LIMIT.saturating_add(VM_SKEW);

/// How long outcomes are kept after the creation of a key, and how long past sets of homes are
/// kept.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of past sets of homes. Beyond it the oldest ones are dropped, which refuses more
/// keys and never accepts more.
pub const MAX_HISTORY: usize = 256;

/// What a VM knows about its ownership of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ownership {
    /// The VM has owned the key in every set of homes since the creation of the key.
    Owned,
    /// The key was created after the change that makes this VM its owner, but the lease wait is not
    /// over.
    Moving,
    /// Another VM owned the key after its creation and may have run the request.
    EarlierOwner,
    /// Another VM owns the key.
    NotOwner,
}

/// Why ownership changed. This determines how long the earlier owner may still run requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Handover {
    /// Any change other than `Left`: the earlier owners may run requests until their leases have ended.
    Lease,
    /// The VM appended its own `leave` after it had stopped accepting keys. This holds for no other
    /// earlier owner.
    Left(VmId),
}

/// A time by both clocks. The wall clock may step after the time was recorded, so the later of the
/// recorded reading and the one implied by the current readings is used.
#[derive(Clone, Copy, Debug)]
struct Moment {
    instant: Instant,
    wall: SystemTime,
}

impl Moment {
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
struct PastHomes {
    homes: KeyHomes,
    /// When this VM read the record that ended the set.
    ended: Moment,
    handover: Handover,
}

/// The past and current sets of homes of one service, as far back as the lifetime of a key.
///
/// A set is in force from the moment at which this VM read the record that created it until the
/// lease wait after the VM read the record that ended it. Consecutive sets therefore overlap: a VM
/// gives up a key at once and takes one over only after the wait, also when the waits of several
/// changes overlap.
#[derive(Clone, Debug)]
pub struct KeyHistory {
    vm: VmId,
    homes: Option<KeyHomes>,
    past: VecDeque<PastHomes>,
    /// Other VMs may have owned any key before this time.
    unknown_until: Option<Moment>,
}

impl KeyHistory {
    /// Creates the history of a VM that knows no homes yet and therefore owns no key.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            homes: None,
            past: VecDeque::new(),
            unknown_until: None,
        }
    }

    /// Records the homes of the service after one record of the log.
    ///
    /// `now` and `wall` have to be read after the record was received. The method has to be called
    /// after every record that changes the roster, in log order, also for the records of one read:
    /// a set that was in force only between two records of a batch made another VM the owner. A VM
    /// that catches up from a snapshot has missed such sets and calls [`Self::reset`] first.
    pub fn set_homes(
        &mut self,
        now: Instant,
        wall: SystemTime,
        homes: KeyHomes,
        handover: Handover,
    ) {
        let read_at = Moment { instant: now, wall };
        match self.homes.replace(homes) {
            None => self.raise_unknown_until(read_at.after(LEASE_WAIT)),
            Some(old) if Some(&old) == self.homes.as_ref() => {}
            Some(old) => self.past.push_back(PastHomes {
                homes: old,
                ended: read_at,
                handover,
            }),
        }
        self.prune(now);
    }

    /// Clears the history. The VM owns no key until the next set of homes and the lease wait after
    /// it.
    pub fn reset(&mut self) {
        self.homes = None;
        self.past.clear();
    }

    /// Returns whether a set of homes is known.
    pub fn is_started(&self) -> bool {
        self.homes.is_some()
    }

    /// Returns whether this VM is the only one that can have run requests with the key.
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
            .filter_map(|past| self.other_owner_end(past, key));
        let mut worst = Ownership::Owned;
        for end in ends.chain(self.unknown_until) {
            worst = worst.max(classify(key.created(), end, now, wall));
        }
        worst
    }

    /// Returns when the VM that owned the key in a past set stopped accepting it, or `None` if that
    /// is this VM.
    fn other_owner_end(&self, past: &PastHomes, key: &RequestKey) -> Option<Moment> {
        let owner = past.homes.owner(key)?;
        if *owner == self.vm {
            return None;
        }
        match &past.handover {
            Handover::Left(vm) if vm == owner => Some(past.ended),
            _ => Some(past.ended.after(LEASE_WAIT)),
        }
    }

    fn raise_unknown_until(&mut self, moment: Moment) {
        let later = |old: &Moment| old.instant > moment.instant;
        if !self.unknown_until.as_ref().is_some_and(later) {
            self.unknown_until = Some(moment);
        }
    }

    fn prune(&mut self, now: Instant) {
        let retention = LEASE_WAIT + KEY_LIFETIME + SKEW_MARGIN;
        while let Some(past) = self.past.front() {
            let expired = now.saturating_duration_since(past.ended.instant) > retention;
            if !expired && self.past.len() <= MAX_HISTORY {
                return;
            }
            let end = past.ended.after(LEASE_WAIT);
            self.past.pop_front();
            self.raise_unknown_until(end);
        }
    }
}

fn classify(created: SystemTime, end: Moment, now: Instant, wall: SystemTime) -> Ownership {
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
