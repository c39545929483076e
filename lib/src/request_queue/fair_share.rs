//! Which organisations have got more than their fair share, as far as this VM has seen.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::access::organisation_id::OrganisationId;
use crate::request_queue::priority::Priority;
use crate::request_queue::queued_request::QueuedRequest;
use crate::request_queue::urgent_share::CROWDED;

/// Time constant of the moving averages. A VM of a large site sees a request of a small organisation
/// several seconds apart.
const TIME_CONSTANT: Duration = Duration::from_secs(30);
/// Work, in seconds, below which an organisation is forgotten.
const FORGOTTEN: f64 = 1e-3;
/// Factor on the fair share from which an organisation is above it. Sums are rounded, so that one that
/// has got just its share could be above it otherwise.
const ABOVE: f64 = 1.001;

/// The work of the requests of a service by priority and organisation; older requests count less.
///
/// A VM often has no more than one waiting request, so that the order of its queue alone doesn't
/// decide between organisations: VMs compete for the same slots. So an organisation that has got more
/// than its fair share leaves a slot of each target free for the others, at all VMs.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    classes: BTreeMap<Priority, BTreeMap<Option<OrganisationId>, Work>>,
    updated: Option<Instant>,
}

/// Seconds of work of an organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    wanted: f64,
    given: f64,
}

impl FairShare {
    /// Records a request that needs a target.
    pub fn wanted(&mut self, now: Instant, request: &QueuedRequest) {
        let work = request.work.as_secs_f64();
        self.decay(now);
        self.work(request).wanted += work;
    }

    /// Records a request that found a target.
    pub fn given(&mut self, now: Instant, request: &QueuedRequest) {
        let work = request.work.as_secs_f64();
        self.decay(now);
        self.work(request).given += work;
    }

    /// Returns how many of a target's slots a request of the organisation leaves free, while the
    /// service's targets hold `per_slot` requests per slot.
    pub fn kept_free(
        &self,
        priority: Priority,
        owner: Option<&OrganisationId>,
        slots: u32,
        per_slot: f64,
    ) -> u32 {
        let is_over = per_slot >= CROWDED && self.is_over(priority, owner);
        u32::from(is_over).min(slots / 2)
    }

    /// Returns whether an organisation has got more than its fair share of what all have got. None
    /// has while all get what they want.
    pub fn is_over(&self, priority: Priority, owner: Option<&OrganisationId>) -> bool {
        let Some(class) = self.classes.get(&priority) else {
            return false;
        };
        let work = class.get(&owner.cloned());
        work.is_some_and(|work| work.given > fair_level(class.values()) * ABOVE)
    }

    fn work(&mut self, request: &QueuedRequest) -> &mut Work {
        let class = self.classes.entry(request.priority).or_default();
        class.entry(request.organisation.clone()).or_default()
    }

    fn decay(&mut self, now: Instant) {
        let updated = self.updated.unwrap_or(now);
        let age = now.saturating_duration_since(updated);
        let kept = (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        for class in self.classes.values_mut() {
            for work in class.values_mut() {
                work.wanted *= kept;
                work.given *= kept;
            }
            class.retain(|_, work| work.wanted.max(work.given) > FORGOTTEN);
        }
        self.classes.retain(|_, class| !class.is_empty());
        self.updated = Some(updated.max(now));
    }
}

/// Returns the most that an organisation gets if what all have got is divided so that none gets more
/// than it wants, and those that want more get the same.
fn fair_level<'a>(all: impl Iterator<Item = &'a Work>) -> f64 {
    let all: Vec<Work> = all.copied().collect();
    let mut left: f64 = all.iter().map(|work| work.given).sum();
    let mut wanted: Vec<f64> = all.iter().map(|work| work.wanted).collect();
    wanted.sort_by(f64::total_cmp);
    for (index, wanted) in wanted.iter().enumerate() {
        let equal = left / (all.len() - index) as f64;
        if *wanted > equal {
            return equal;
        }
        left -= wanted;
    }
    f64::INFINITY
}
