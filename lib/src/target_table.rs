//! The targets of a pool, the choice among them and the ejection of outliers.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::attempt_table::AttemptTable;
use crate::baseline::Baseline;
use crate::baseline::log_time;
use crate::outlier_detector;
use crate::policy::Policy;
use crate::pool_targets::PoolTarget;
use crate::target_entry::TargetEntry;
use crate::target_id::TargetId;

/// Maximum number of free targets compared for one request. With more, a random sample of this size
/// is compared, so that the cost of a decision does not grow with the number of targets.
const MAX_COMPARED: usize = 16;
/// Estimates within this difference of the best one, in log time, count as equal: they are within
/// the noise of a few responses, and the choice among equals spreads the load.
const EQUAL_DIFFERENCE: f64 = 0.4;
/// Weight of the evidence against a target in its rank, in log time.
const EVIDENCE_WEIGHT: f64 = 0.25;

/// The targets of one pool. A target keeps its index while it has requests in flight.
#[derive(Debug)]
pub struct TargetTable {
    entries: Vec<TargetEntry>,
    indices: HashMap<TargetId, usize>,
    vacant: Vec<usize>,
    open: Vec<usize>,
    open_at: Vec<Option<usize>>,
    ejected: BTreeSet<usize>,
    counted: Vec<Counted>,
    total: Counted,
    rng: StdRng,
}

/// A target's contribution to the totals.
#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    free: u32,
    slots: u32,
    configured: u32,
}

impl TargetTable {
    /// Creates an empty table; `seed` is for its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            entries: Vec::new(),
            indices: HashMap::new(),
            vacant: Vec::new(),
            open: Vec::new(),
            open_at: Vec::new(),
            ejected: BTreeSet::new(),
            counted: Vec::new(),
            total: Counted::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Replaces the pool's targets. Targets that are no longer listed get no new requests; new ones
    /// start with one slot if `cold`.
    pub fn set(&mut self, targets: &[PoolTarget], cold: bool) {
        for entry in &mut self.entries {
            entry.listed = false;
        }
        for target in targets {
            if let Some(index) = self.indices.get(&target.id) {
                self.entries[*index].configure(target);
            } else {
                self.add(target, cold);
            }
        }
        for index in 0..self.entries.len() {
            self.refresh(index);
        }
    }

    fn add(&mut self, target: &PoolTarget, cold: bool) {
        let entry = TargetEntry::new(target, cold);
        let index = if let Some(index) = self.vacant.pop() {
            self.entries[index] = entry;
            index
        } else {
            self.entries.push(entry);
            self.open_at.push(None);
            self.counted.push(Counted::default());
            self.entries.len() - 1
        };
        self.indices.insert(target.id.clone(), index);
    }

    /// Returns the index of a target, or `None` if it is unknown.
    pub fn index_of(&self, id: &TargetId) -> Option<usize> {
        self.indices.get(id).copied()
    }

    /// Returns the entry at an index.
    pub fn entry(&self, index: usize) -> &TargetEntry {
        &self.entries[index]
    }

    /// Returns the entry at an index. The caller has to call `refresh` after a change.
    pub fn entry_mut(&mut self, index: usize) -> &mut TargetEntry {
        &mut self.entries[index]
    }

    /// Returns the entries of all known targets with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &TargetEntry)> {
        let known =
            |(index, entry): &(usize, &TargetEntry)| self.indices.get(&entry.id) == Some(index);
        self.entries.iter().enumerate().filter(known)
    }

    /// Updates the list of open targets and the totals after a change of the entry, and frees the
    /// index of a target that is no longer listed and has nothing in flight.
    pub fn refresh(&mut self, index: usize) {
        let entry = &self.entries[index];
        let free = entry.free();
        if entry.is_ejected() && entry.listed {
            self.ejected.insert(index);
        } else {
            self.ejected.remove(&index);
        }
        let gone = !entry.listed && entry.attempts.is_empty();
        let slots = if entry.is_usable() && !entry.is_ejected() {
            entry.ramp.limit()
        } else {
            0
        };
        let configured = if entry.listed {
            entry.ramp.configured()
        } else {
            0
        };
        let new = Counted {
            free,
            slots,
            configured,
        };
        let old = std::mem::replace(&mut self.counted[index], new);
        self.total.configured = self.total.configured - old.configured + configured;
        self.total.free = self.total.free - old.free + free;
        self.total.slots = self.total.slots - old.slots + slots;
        match (free > 0, self.open_at[index]) {
            (true, None) => {
                self.open_at[index] = Some(self.open.len());
                self.open.push(index);
            }
            (false, Some(position)) => self.close(index, position),
            _ => {}
        }
        if gone && self.indices.get(&self.entries[index].id) == Some(&index) {
            self.indices.remove(&self.entries[index].id);
            self.vacant.push(index);
        }
    }

    fn close(&mut self, index: usize, position: usize) {
        self.open.swap_remove(position);
        if let Some(moved) = self.open.get(position) {
            self.open_at[*moved] = Some(position);
        }
        self.open_at[index] = None;
    }

    /// Returns the number of slots on which a request could start at once.
    pub fn free(&self) -> u32 {
        self.total.free
    }

    /// Returns the slots of all targets in service, free or in use, as far as their ramp-up allows.
    pub fn slots(&self) -> u32 {
        self.total.slots
    }

    /// Returns the configured slots of all listed targets.
    pub fn configured(&self) -> u32 {
        self.total.configured
    }

    /// Returns whether any target may get new requests, apart from ejections.
    pub fn any_usable(&self) -> bool {
        !self.open.is_empty() || self.iter().any(|(_, entry)| entry.is_usable())
    }

    /// Returns the state of all targets for the dump.
    pub fn dump(&self, now: Instant, baseline: &Baseline) -> Vec<serde_json::Value> {
        let entries = self.iter().map(|(_, entry)| entry.dump(now, baseline));
        entries.collect()
    }

    /// Returns whether any listed target is ejected.
    pub fn any_ejected(&self) -> bool {
        !self.ejected.is_empty()
    }

    /// Returns the ejected targets for which a trial may start.
    pub fn due_trials(&self, now: Instant) -> impl Iterator<Item = usize> {
        let ejected = self.ejected.iter().copied();
        ejected.filter(move |index| self.entries[*index].trial_due(now))
    }

    /// Returns the target with a free slot that has been idle for longest, if for at least `idle`.
    pub fn longest_idle(&self, now: Instant, idle: Duration) -> Option<usize> {
        let is_idle = |index: &usize| {
            let entry = &self.entries[*index];
            let quiet = entry.last_ended.is_none_or(|last| last + idle <= now);
            entry.attempts.is_empty() && quiet
        };
        let open = self.open.iter().copied().filter(is_idle);
        open.min_by_key(|index| (self.entries[*index].last_ended, *index))
    }

    /// Chooses a target with a free slot, other than the one at `except`.
    pub fn choose(
        &mut self,
        now: Instant,
        policy: Policy,
        baseline: &Baseline,
        except: Option<usize>,
    ) -> Option<usize> {
        let open = self.open.len();
        let blocked = except.is_some_and(|index| self.open_at[index].is_some());
        if open == 0 || (blocked && open == 1) {
            return None;
        }
        match policy {
            Policy::Random => Some(self.draw(except)),
            Policy::TwoChoices => Some(self.less_loaded(now, baseline, except)),
            Policy::Homes => self.best(now, baseline, except),
        }
    }

    /// Chooses the standby target with the shortest expected service time, if that is less than
    /// `wait`.
    pub fn choose_standby(
        &self,
        now: Instant,
        baseline: &Baseline,
        wait: Duration,
    ) -> Option<usize> {
        let ready = self.ejected.iter().copied();
        let ready = ready.filter(|index| self.entries[*index].has_standby_slot());
        let cost = |index: usize| {
            let entry = &self.entries[index];
            // A failing target answers fast, so its service time alone would make it attractive.
            if entry.is_failing() {
                self.rank(index, now, baseline)
            } else {
                entry.stats.estimate(now, baseline)
            }
        };
        let ranked = ready.map(|index| (cost(index), index));
        let (cost, index) = ranked.min_by(|a, b| a.0.total_cmp(&b.0))?;
        (cost < log_time(wait)).then_some(index)
    }

    fn draw(&mut self, except: Option<usize>) -> usize {
        loop {
            let index = self.open[self.rng.random_range(0..self.open.len())];
            if Some(index) != except {
                return index;
            }
        }
    }

    fn less_loaded(&mut self, now: Instant, baseline: &Baseline, except: Option<usize>) -> usize {
        let first = self.draw(except);
        let second = self.draw(except);
        let load = |index: usize| {
            let entry = &self.entries[index];
            let requests = f64::from(entry.in_flight()) + entry.stats.others(now);
            (requests + 1.0).ln() + self.rank(index, now, baseline)
        };
        if load(second) < load(first) {
            second
        } else {
            first
        }
    }

    /// Returns the log of the expected service time plus a penalty for the evidence against the
    /// target. The penalty decays, so that a target that is suspected but not ejected is tried
    /// again.
    fn rank(&self, index: usize, now: Instant, baseline: &Baseline) -> f64 {
        let entry = &self.entries[index];
        let suspicion = EVIDENCE_WEIGHT * entry.outlier.sum() * entry.stats.freshness(now);
        entry.stats.estimate(now, baseline) + suspicion
    }

    /// Chooses among the targets whose rank is close to the best one: the one with the fewest
    /// requests, then at random.
    fn best(&mut self, now: Instant, baseline: &Baseline, except: Option<usize>) -> Option<usize> {
        let count = self.open.len().min(MAX_COMPARED);
        if self.open.len() > MAX_COMPARED {
            for position in 0..count {
                let other = self.rng.random_range(position..self.open.len());
                self.swap(position, other);
            }
        }
        let start = self.rng.random_range(0..count);
        let mut ranks = [f64::INFINITY; MAX_COMPARED];
        let mut lowest = f64::INFINITY;
        for (position, rank) in ranks.iter_mut().enumerate().take(count) {
            let index = self.open[position];
            if Some(index) != except {
                *rank = self.rank(index, now, baseline);
                lowest = lowest.min(*rank);
            }
        }
        let order = (0..count).map(|step| (start + step) % count);
        let close = order.filter(|position| ranks[*position] <= lowest + EQUAL_DIFFERENCE);
        let used = |position: &usize| self.entries[self.open[*position]].in_flight();
        close
            .filter(|position| ranks[*position].is_finite())
            .min_by_key(used)
            .map(|position| self.open[position])
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.open.swap(a, b);
        self.open_at[self.open[a]] = Some(a);
        self.open_at[self.open[b]] = Some(b);
    }

    /// Ejects targets with enough evidence against them, or puts all back into service if all would
    /// be ejected. `divisor` bounds the ejected share of targets; further ones go on standby.
    /// Returns whether anything changed.
    pub fn eject_outliers(
        &mut self,
        now: Instant,
        attempts: &AttemptTable,
        baseline: &mut Baseline,
        divisor: u32,
    ) -> bool {
        let usable = self.iter().filter(|(_, entry)| entry.is_usable());
        let (ejected, serving): (Vec<_>, Vec<_>) = usable.partition(|(_, e)| e.is_ejected());
        let total = ejected.len() + serving.len();
        let ejected: Vec<usize> = ejected.into_iter().map(|(index, _)| index).collect();
        let mut outliers: Vec<(f64, usize)> = serving
            .into_iter()
            .map(|(index, entry)| {
                (
                    pending_evidence(now, entry, attempts, baseline),
                    index,
                    entry,
                )
            })
            .filter(|(pending, _, entry)| entry.outlier.exceeds_limit(*pending))
            .map(|(pending, index, entry)| (entry.outlier.sum() + pending, index))
            .collect();
        if outliers.is_empty() {
            return false;
        }
        if ejected.len() + outliers.len() == total {
            let all: Vec<usize> = ejected
                .into_iter()
                .chain(outliers.iter().map(|outlier| outlier.1))
                .collect();
            self.release_all(&all, baseline);
            return true;
        }
        let inactive = ejected
            .iter()
            .filter(|index| !self.entries[**index].standby);
        let room = outlier_detector::max_ejected(total, divisor).saturating_sub(inactive.count());
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (rank, (_, index)) in outliers.iter().enumerate() {
            self.entries[*index].eject(now, rank >= room);
            self.refresh(*index);
        }
        true
    }

    /// Puts all targets back into service because all are outliers, which means that being slow is
    /// normal now. The baseline moves to the median of their typical service times.
    fn release_all(&mut self, all: &[usize], baseline: &mut Baseline) {
        let mut log_centers: Vec<f64> = all
            .iter()
            .filter_map(|index| self.entries[*index].stats.log_center())
            .collect();
        log_centers.sort_by(f64::total_cmp);
        if let Some(log_center) = log_centers.get(log_centers.len() / 2) {
            baseline.recenter(*log_center);
        }
        for index in all {
            self.entries[*index].release();
            self.refresh(*index);
        }
    }
}

/// Returns the evidence from a target's requests in flight that have no response yet.
fn pending_evidence(
    now: Instant,
    entry: &TargetEntry,
    attempts: &AttemptTable,
    baseline: &Baseline,
) -> f64 {
    let unanswered = entry.attempts.iter().filter_map(|id| attempts.get(*id));
    let unanswered = unanswered.filter(|attempt| attempt.first_byte.is_none());
    let ages = unanswered.map(|attempt| now.saturating_duration_since(attempt.started));
    let evidence = |age: Duration| {
        outlier_detector::pending_evidence(baseline.deviation(age), baseline.spread())
    };
    ages.map(evidence).sum()
}
