//! The failure domains that the operators have evacuated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::domain_id::DomainId;
use crate::evacuation::domain_state::DomainState;
use crate::preferred_targets;
use crate::store_position::StorePosition;
use crate::target_directory::REANNOUNCE_TIME;

/// Time over which the VMs return to a domain whose evacuation was withdrawn, so that its targets do
/// not get the requests of all VMs at once.
const RETURN_SPREAD_MS: u64 = 2_000;
/// The number of withdrawn evacuations of which the position is kept.
const MAX_WITHDRAWN: usize = 256;

/// What the last record of a domain says.
#[derive(Clone, Copy, Debug)]
struct Mark {
    position: StorePosition,
    /// When this VM read it.
    read: Instant,
    evacuated: bool,
    /// When this VM read the last record that evacuated the domain.
    since: Option<Instant>,
}

/// The failure domains that the operators have evacuated.
///
/// Copies of records arrive in any order, from the store and through other VMs. Of two records of a
/// domain, the later one in the log holds.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    marks: BTreeMap<DomainId, Mark>,
    /// The last position up to which all records have been read. Older ones than this say nothing
    /// new: a copy of one must not bring back an evacuation that was withdrawn.
    read_to: Option<StorePosition>,
    /// Evacuations that the store does not list any more since it has come back from an older copy, each
    /// with when it ends unless the record is written again.
    unlisted: BTreeMap<DomainId, Instant>,
}

impl Evacuations {
    /// Applies the record at `position`, by which a domain is evacuated, or not any more. Returns
    /// whether this changed the domain's state.
    pub fn apply(
        &mut self,
        now: Instant,
        position: StorePosition,
        domain: &DomainId,
        evacuated: bool,
    ) -> bool {
        let last = self.marks.get(domain).map(|mark| mark.position);
        let is_known = |known: Option<StorePosition>| known.is_some_and(|known| position <= known);
        if is_known(last) || is_known(self.read_to) {
            return false;
        }
        self.set(now, position, domain, evacuated)
    }

    /// Applies a complete read of the log up to `last`, in which `listed` are the domains that are
    /// evacuated, each with the position of its record. Returns the domains whose state has changed,
    /// with whether they are evacuated now.
    pub fn replace(
        &mut self,
        now: Instant,
        last: StorePosition,
        listed: &BTreeMap<DomainId, StorePosition>,
    ) -> Vec<(DomainId, bool)> {
        if self.read_to.is_some_and(|to| last < to) {
            return Vec::new();
        }
        let unlisted = self.marks.iter().filter(|(domain, mark)| {
            mark.evacuated && mark.position <= last && !listed.contains_key(*domain)
        });
        // Records of an earlier era may have been lost. They are written again.
        let (lost, ended): (Vec<_>, Vec<_>) =
            unlisted.partition(|(_, mark)| mark.position.era < last.era);
        let ended: BTreeSet<DomainId> = ended
            .into_iter()
            .map(|(domain, _)| domain.clone())
            .collect();
        for (domain, _) in lost {
            let until = now + REANNOUNCE_TIME;
            self.unlisted.entry(domain.clone()).or_insert(until);
        }
        let mut changed = Vec::new();
        for domain in ended {
            self.set(now, last, &domain, false);
            changed.push((domain, false));
        }
        for (domain, position) in listed {
            let known = self.marks.get(domain);
            let is_later = known.is_none_or(|mark| mark.position < *position);
            if is_later && self.set(now, *position, domain, true) {
                changed.push((domain.clone(), true));
            }
        }
        self.read_to = Some(last);
        changed
    }

    /// Ends the evacuations whose records the store has lost and has not got again, and returns their
    /// domains.
    pub fn expire(&mut self, now: Instant) -> Vec<DomainId> {
        let due = self.unlisted.iter().filter(|(_, until)| **until <= now);
        let due: Vec<DomainId> = due.map(|(domain, _)| domain.clone()).collect();
        for domain in &due {
            let position = self.read_to.unwrap_or_default();
            self.set(now, position, domain, false);
        }
        due
    }

    /// Returns whether a domain is evacuated.
    pub fn is_evacuated(&self, domain: &DomainId) -> bool {
        self.marks.get(domain).is_some_and(|mark| mark.evacuated)
    }

    /// Returns since when a domain is evacuated, or was until the evacuation was withdrawn; nothing
    /// if this VM has read no such record.
    pub fn since(&self, domain: &DomainId) -> Option<Instant> {
        self.marks.get(domain)?.since
    }

    /// Returns whether the targets of a domain may get requests of the VM `me`.
    pub fn state(&self, now: Instant, me: &str, domain: &DomainId) -> DomainState {
        let Some(mark) = self.marks.get(domain) else {
            return DomainState::Open;
        };
        if mark.evacuated {
            return DomainState::Evacuated;
        }
        let delay = preferred_targets::rank(me, domain.as_str()) % RETURN_SPREAD_MS;
        match now < mark.read + Duration::from_millis(delay) {
            true => DomainState::Returning,
            false => DomainState::Open,
        }
    }

    /// Returns the evacuated domains, each with the position of its record and when it was read.
    pub fn iter(&self) -> impl Iterator<Item = (&DomainId, StorePosition, Instant)> {
        let evacuated = self.marks.iter().filter(|(_, mark)| mark.evacuated);
        evacuated.map(|(domain, mark)| (domain, mark.position, mark.read))
    }

    /// Returns whether no domain is evacuated or was lately.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Sets what is known of a domain. Returns whether its state has changed.
    fn set(
        &mut self,
        now: Instant,
        position: StorePosition,
        domain: &DomainId,
        evacuated: bool,
    ) -> bool {
        self.unlisted.remove(domain);
        let was_evacuated = self.is_evacuated(domain);
        let known = self.marks.get(domain);
        let read = known.map(|mark| mark.read);
        let since = known.and_then(|mark| mark.since);
        let is_start = evacuated && !was_evacuated;
        let mark = Mark {
            position,
            read: read.filter(|_| was_evacuated == evacuated).unwrap_or(now),
            evacuated,
            since: if is_start { Some(now) } else { since },
        };
        // A withdrawal of what was not known here delays nothing.
        let is_news = evacuated || was_evacuated;
        let known = self.marks.entry(domain.clone()).or_insert(mark);
        *known = mark;
        if !is_news && read.is_none() {
            known.read = now
                .checked_sub(Duration::from_millis(RETURN_SPREAD_MS))
                .unwrap_or(now);
        }
        self.limit_withdrawn();
        was_evacuated != evacuated
    }

    fn limit_withdrawn(&mut self) {
        let withdrawn = self.marks.iter().filter(|(_, mark)| !mark.evacuated);
        if withdrawn.clone().count() <= MAX_WITHDRAWN {
            return;
        }
        let oldest = withdrawn.min_by_key(|(_, mark)| mark.position);
        if let Some(domain) = oldest.map(|(domain, _)| domain.clone()) {
            self.marks.remove(&domain);
        }
    }
}
