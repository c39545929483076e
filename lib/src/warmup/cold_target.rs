//! What one VM knows of the warm-up of a target, and what it may send to it.

use std::time::Duration;
use std::time::Instant;

use crate::warmup::cold_bucket::ColdBucket;
use crate::warmup::cold_limit::ColdLimit;
use crate::warmup::cold_share::ColdShare;
use crate::warmup::warmup_rule::WarmupRule;

/// The bound counts requests in a second. A VM that has sent nothing for this long has no request in
/// the present second.
const WINDOW: Duration = Duration::from_secs(1);
/// Pause between two health checks of a target that must answer one before it gets requests.
const CHECK_PAUSE: Duration = Duration::from_millis(200);

/// Whether a target has answered a health check since this VM last had a reason to doubt its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Verification {
    /// It has, or there was no reason to doubt.
    #[default]
    Verified,
    /// It has not.
    Awaited {
        /// When the reason arose: an answer to an earlier check does not count.
        since: Instant,
        /// When the last check was started.
        checked: Option<Instant>,
        /// Whether a check has failed.
        failed: bool,
    },
}

/// A change of what a VM knows of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupChange {
    /// The target is cold.
    Cold,
    /// It is not cold any more.
    Warm,
}

/// What one VM knows of the warm-up of a target, and what it may send to it.
///
/// The state outlives the connections to the target, because requests that were sent to an earlier
/// process of the target count in the same second.
#[derive(Clone, Debug)]
pub struct ColdTarget {
    /// When this VM's process started.
    started: Instant,
    /// What the group of VMs may send; nothing if the rule of the service or the bounds are missing.
    limit: Option<ColdLimit>,
    /// The generation of the target that was announced last.
    generation: Option<u64>,
    /// When that was read.
    announced: Option<Instant>,
    /// The end of the warm-up by the target's entry, by its last health check response, and by the
    /// rule after a start of which neither has said anything.
    by_entry: Option<Instant>,
    by_health: Option<Instant>,
    by_rule: Option<Instant>,
    verification: Verification,
    /// When this VM last sent a request, or gave one up to another VM.
    last_sent: Option<Instant>,
    share: Option<ColdShare>,
    /// What may be sent; nothing before the first request that the limit covers.
    bucket: Option<ColdBucket>,
    /// Whether the target was cold when that was last asked for the log.
    was_cold: bool,
}

impl ColdTarget {
    /// Creates the state of a target that is not known. `started` is when this VM's process started.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            limit: None,
            generation: None,
            announced: None,
            by_entry: None,
            by_health: None,
            by_rule: None,
            verification: Verification::Verified,
            last_sent: None,
            share: None,
            bucket: None,
            was_cold: false,
        }
    }

    /// Sets what the group of VMs may send while the target is cold; nothing if nothing restricts it.
    pub fn set_limit(&mut self, limit: Option<ColdLimit>) {
        if self.limit != limit {
            self.limit = limit;
            self.share = None;
        }
    }

    /// Records the generation that the target's entry announces. `rule` is what its service says of
    /// starts, and only given if the target may have started while this VM was running: then a
    /// new generation is cold for the whole time of the rule, unless it says otherwise.
    pub fn announced(&mut self, now: Instant, generation: u64, rule: Option<WarmupRule>) {
        if self.generation.replace(generation) == Some(generation) {
            return;
        }
        self.announced = Some(now);
        (self.by_entry, self.by_health) = (None, None);
        self.by_rule = rule.map(|rule| now + rule.time);
    }

    /// Records until when the target is cold by its entry. A time replaces what the rule assumes; an
    /// entry without one may have been written before the target knew.
    pub fn set_entry(&mut self, cold_until: Option<Instant>) {
        if cold_until.is_some() {
            self.by_rule = None;
        }
        self.by_entry = cold_until;
    }

    /// Records the response to a health check that was sent at `sent`: for how long the target is
    /// still cold, if it says so.
    pub fn answered(&mut self, now: Instant, sent: Instant, left: Option<Duration>) {
        // An answer to an earlier check may be that of an earlier process of the target.
        let left = left.filter(|_| self.announced.is_none_or(|announced| sent >= announced));
        if let Some(left) = left {
            self.by_rule = None;
            self.by_health = Some(now + left);
        }
        if let Verification::Awaited { since, .. } = self.verification
            && sent >= since
        {
            self.verification = Verification::Verified;
        }
    }

    /// Records that a health check failed.
    pub fn check_failed(&mut self) {
        if let Verification::Awaited { failed, .. } = &mut self.verification {
            *failed = true;
        }
    }

    /// Records that the target may have become cold without a word: its connection was refused or
    /// reset, or this VM has not used its domain for a while. Returns whether this is new.
    pub fn doubt(&mut self, now: Instant) -> bool {
        let is_new = self.limit.is_some() && self.verification == Verification::Verified;
        let (checked, failed) = match self.verification {
            Verification::Awaited {
                checked, failed, ..
            } => (checked, failed),
            Verification::Verified => (None, false),
        };
        self.verification = Verification::Awaited {
            since: now,
            checked,
            failed,
        };
        is_new
    }

    /// Returns whether the target must answer a health check before it gets a request.
    pub fn is_unverified(&self) -> bool {
        self.limit.is_some() && self.verification != Verification::Verified
    }

    /// Returns whether a request may wait for the answer to a health check: none has failed so far.
    pub fn is_answer_likely(&self) -> bool {
        self.is_unverified()
            && matches!(self.verification, Verification::Awaited { failed, .. } if !failed)
    }

    /// Returns whether a health check is due, and counts it as started if `may_check` allows it.
    pub fn start_check(&mut self, now: Instant, may_check: impl FnOnce() -> bool) -> bool {
        if !self.is_unverified() {
            return false;
        }
        let Verification::Awaited { checked, .. } = &mut self.verification else {
            return false;
        };
        let is_due = checked.is_none_or(|at| now.saturating_duration_since(at) >= CHECK_PAUSE)
            && may_check();
        if is_due {
            *checked = Some(now);
        }
        is_due
    }

    /// Returns until when the target is cold, as far as this VM knows; nothing if it is not.
    pub fn cold_until(&self, now: Instant) -> Option<Instant> {
        let ends = [self.by_entry, self.by_health, self.by_rule];
        let end = ends.into_iter().flatten().max();
        end.filter(|end| self.limit.is_some() && now < *end)
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until(now).is_some()
    }

    /// Returns what the group may send if this VM's part of it must be set.
    pub fn missing_share(&self) -> Option<ColdLimit> {
        self.limit.filter(|_| self.share.is_none())
    }

    /// Returns what the group may send.
    pub fn limit(&self) -> Option<ColdLimit> {
        self.limit
    }

    /// Forgets this VM's part, because the list of VMs has changed.
    pub fn forget_share(&mut self) {
        self.share = None;
    }

    /// Sets this VM's part.
    pub fn set_share(&mut self, now: Instant, share: ColdShare) {
        self.share = Some(share);
        if let Some(bucket) = &mut self.bucket {
            bucket.set_share(now, share);
        }
    }

    /// Begins to save for requests if the target is cold. Otherwise a VM that borrows all its requests
    /// would never use its own part.
    pub fn fill(&mut self, now: Instant) {
        if self.is_cold(now) && self.bucket.is_none() {
            self.bucket = Some(self.bucket_at(now));
        }
    }

    /// Returns this VM's part; nothing while it is not set.
    pub fn share(&self) -> Option<ColdShare> {
        self.share
    }

    /// Returns whether a request may be sent.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.is_unverified() && (!self.is_cold(now) || self.bucket_at(now).is_open(now))
    }

    /// Takes a request of this VM. Returns false if none may be sent.
    pub fn take(&mut self, now: Instant) -> bool {
        if !self.is_open(now) {
            return false;
        }
        match self.is_cold(now) {
            true => self.give_up(now),
            false => {
                self.sent_freely(now);
                true
            }
        }
    }

    /// Takes a request for another VM, which knows that the target is cold. Returns false if there
    /// is none. This VM may not know that the target is cold.
    pub fn give_up(&mut self, now: Instant) -> bool {
        let mut bucket = self.bucket_at(now);
        let is_taken = bucket.take(now);
        self.bucket = Some(bucket);
        if is_taken {
            self.last_sent = Some(now);
        }
        is_taken
    }

    /// Records that this VM sends a request that another one has given up.
    pub fn borrowed(&mut self, now: Instant) {
        self.last_sent = Some(now);
    }

    /// Records a request that the limit of this VM does not cover: the target was not cold.
    fn sent_freely(&mut self, now: Instant) {
        self.bucket = None;
        self.last_sent = Some(now);
    }

    /// Returns the time until a request may be sent; nothing if this VM has no part, or the target
    /// must answer a health check first.
    pub fn next_in(&self, now: Instant) -> Option<Duration> {
        if self.is_unverified() {
            return None;
        }
        self.bucket_at(now).next_in(now)
    }

    /// Returns whether the target has become cold or warm since the last call.
    pub fn take_change(&mut self, now: Instant) -> Option<WarmupChange> {
        let is_cold = self.is_cold(now);
        if std::mem::replace(&mut self.was_cold, is_cold) == is_cold {
            return None;
        }
        Some(match is_cold {
            true => WarmupChange::Cold,
            false => WarmupChange::Warm,
        })
    }

    /// Returns whether nothing is lost if this state is dropped and created again.
    pub fn is_over(&self, now: Instant) -> bool {
        !self.is_cold(now) && !self.is_unverified() && self.is_quiet(now)
    }

    /// Returns the bucket as it is, or as a new one would be.
    fn bucket_at(&self, now: Instant) -> ColdBucket {
        let share = self.share.unwrap_or_default();
        let bucket = self.bucket;
        bucket.unwrap_or_else(|| ColdBucket::new(now, share, self.is_quiet(now)))
    }

    /// Returns whether this VM, an earlier process of it included, has surely sent nothing to the
    /// target in the last second.
    fn is_quiet(&self, now: Instant) -> bool {
        let last = self
            .last_sent
            .map_or(self.started, |at| at.max(self.started));
        now.saturating_duration_since(last) >= WINDOW
    }
}
