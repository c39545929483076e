//! The targets that have announced themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::announced_target::AnnouncedTarget;
use crate::target_id::TargetId;

/// How long after the store's return a target whose announcement is missing stays in use: its
/// announcement may have expired while the store was away, and comes back within this time.
pub const REANNOUNCE_TIME: Duration = Duration::from_millis(2_200);

/// How many targets that are gone are remembered.
const MOST_GONE: usize = 256;

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// The target is new, or a new lifetime of a known one.
    Joined,
    /// The target told something new about itself.
    Changed,
    /// Nothing changed.
    Same,
    /// The target has already announced something newer.
    Stale,
}

/// The targets that have announced themselves, and which of them are missing since the store was
/// away.
#[derive(Debug, Default)]
pub struct TargetDirectory {
    targets: BTreeMap<TargetId, AnnouncedTarget>,
    /// The last announcement of targets that are gone, the latest one last. An older one that
    /// arrives late must not bring the target back.
    gone: VecDeque<AnnouncedTarget>,
    missing: BTreeSet<TargetId>,
    /// Until when missing targets stay in use.
    returning: Option<Instant>,
}

impl TargetDirectory {
    /// Takes in an announcement.
    pub fn announce(&mut self, target: AnnouncedTarget) -> Announced {
        let mut gone = self.gone.iter();
        if gone.any(|other| other.id == target.id && !other.is_older_than(&target)) {
            return Announced::Stale;
        }
        self.missing.remove(&target.id);
        let result = match self.targets.get(&target.id) {
            None => Announced::Joined,
            Some(known) if target.is_older_than(known) => return Announced::Stale,
            Some(known) if known.started_ms != target.started_ms => Announced::Joined,
            Some(known) if known.addr != target.addr => Announced::Joined,
            Some(known) if *known == target => Announced::Same,
            Some(_) => Announced::Changed,
        };
        self.targets.insert(target.id.clone(), target);
        result
    }

    /// Takes in that the announcement of a target is gone. Returns whether the target is out of
    /// use, which it is not yet shortly after the store's return.
    pub fn withdraw(&mut self, now: Instant, id: &TargetId) -> bool {
        if !self.targets.contains_key(id) {
            return false;
        }
        if self.returning.is_some_and(|until| now < until) {
            self.missing.insert(id.clone());
            return false;
        }
        self.remove(id)
    }

    /// Takes in that all announcements were read, and these are the targets that have one. Returns
    /// the targets that are out of use now.
    pub fn retain(&mut self, now: Instant, listed: &BTreeSet<TargetId>) -> Vec<TargetId> {
        let known: Vec<TargetId> = self.targets.keys().cloned().collect();
        let gone = known.into_iter().filter(|id| !listed.contains(id));
        gone.filter(|id| self.withdraw(now, id)).collect()
    }

    /// Takes in that the store answers again after it did not.
    pub fn store_recovered(&mut self, now: Instant) {
        self.returning = Some(now + REANNOUNCE_TIME);
    }

    /// Returns when [`Self::expire`] is due.
    pub fn wakeup(&self) -> Option<Instant> {
        self.returning.filter(|_| !self.missing.is_empty())
    }

    /// Takes targets out of use that are still missing, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<TargetId> {
        if self.returning.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let missing = std::mem::take(&mut self.missing);
        missing.into_iter().filter(|id| self.remove(id)).collect()
    }

    /// Returns a target.
    pub fn get(&self, id: &TargetId) -> Option<&AnnouncedTarget> {
        self.targets.get(id)
    }

    /// Returns whether a target is in use only because its announcement may come back.
    pub fn is_missing(&self, id: &TargetId) -> bool {
        self.missing.contains(id)
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &AnnouncedTarget> {
        self.targets.values()
    }

    fn remove(&mut self, id: &TargetId) -> bool {
        let Some(target) = self.targets.remove(id) else {
            return false;
        };
        if self.gone.len() == MOST_GONE {
            self.gone.pop_front();
        }
        self.gone.push_back(target);
        true
    }
}
