//! How many slots of a target a request leaves free for more urgent ones.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::request_queue::priority::Priority;

/// Time constant of the moving average of the expected work.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Mean load per slot from which a service counts as crowded.
pub(crate) const CROWDED: f64 = 0.8;
/// Share of more urgent work below which there is none. An average never decays to 0.
const MIN_SHARE: f64 = 0.01;
/// Work, in seconds, below which a priority is forgotten.
const FORGOTTEN: f64 = 1e-6;

/// The expected work of the requests of a service by priority; older requests count less.
#[derive(Clone, Debug, Default)]
pub struct UrgentShare {
    /// Seconds of work.
    work: BTreeMap<Priority, f64>,
    updated: Option<Instant>,
}

impl UrgentShare {
    /// Records a request.
    pub fn observe(&mut self, now: Instant, priority: Priority, work: Duration) {
        let updated = self.updated.unwrap_or(now);
        let age = now.saturating_duration_since(updated);
        let kept = (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.work.values_mut().for_each(|work| *work *= kept);
        self.work.retain(|_, work| *work > FORGOTTEN);
        *self.work.entry(priority).or_default() += work.as_secs_f64();
        self.updated = Some(updated.max(now));
    }

    /// Returns the share of the work that is more urgent than `priority`, from 0 to 1.
    pub fn share(&self, priority: Priority) -> f64 {
        let urgent: f64 = self.work.range(..priority).map(|(_, work)| work).sum();
        let all: f64 = self.work.values().sum();
        if all > 0.0 { urgent / all } else { 0.0 }
    }

    /// Returns how many of a target's slots a request of the priority leaves free, while the
    /// service's targets hold `per_slot` requests per slot.
    pub fn kept_free(&self, priority: Priority, slots: u32, per_slot: f64) -> u32 {
        let share = self.share(priority);
        if per_slot < CROWDED || share < MIN_SHARE {
            return 0;
        }
        let rounded = (f64::from(slots) * share).round() as u32;
        rounded.max(1).min(slots / 2)
    }

    /// Returns the priorities of recent requests with the share of more urgent work.
    pub fn shares(&self) -> impl Iterator<Item = (Priority, f64)> {
        let priorities = self.work.keys();
        priorities.map(|priority| (*priority, self.share(*priority)))
    }
}
