//! The state of one target in a pool.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::baseline::Baseline;
use crate::outlier_detector::OutlierDetector;
use crate::pool_event::AttemptId;
use crate::pool_event::AttemptResult;
use crate::pool_targets::PoolTarget;
use crate::ramp::Ramp;
use crate::target_id::TargetId;
use crate::target_stats::TargetStats;

/// Number of first responses of a cold target that do not count against it.
const GRACE_RESPONSES: u32 = 3;
/// First pause between an ejection and the trial that may readmit the target.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// A target that is ejected again within this time after its readmission gets twice its last pause.
const RELAPSE_TIME: Duration = Duration::from_secs(5);

/// A trial passes when the log time of its response is at most this many standard deviations above
/// the typical one.
const MAX_TRIAL_DEVIATION: f64 = 1.0;
/// Responses this many standard deviations or more above the typical time do not advance the
/// ramp-up.
const SLOW_DEVIATION: f64 = 2.0;

/// Whether a target is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The target gets requests.
    Serving,
    /// The target is out of service and gets only one trial at a time.
    Ejected {
        /// When the next trial may start.
        #[serde(skip)]
        until: Instant,
        /// The trial in flight.
        trial: Option<AttemptId>,
    },
}

/// One target and the pool's state for it.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The target's id, unique within its service.
    pub id: TargetId,
    /// Its generation in the configuration.
    pub generation: u64,
    /// Whether the pool's present targets include it.
    pub listed: bool,
    /// Whether the target is leaving, according to the configuration.
    pub leaving: bool,
    /// The generation that is draining, if any.
    pub drain_generation: Option<u64>,
    /// The limit on requests in flight, which ramps up from one slot.
    pub ramp: Ramp,
    /// Recent service times and load reports.
    pub stats: TargetStats,
    /// Evidence that the target is an outlier.
    pub outlier: OutlierDetector,
    /// Whether the target is in service or ejected.
    pub health: Health,
    /// Requests and probes in flight.
    pub attempts: Vec<AttemptId>,
    /// Whether an ejected target still serves when requests would wait longer for the others. Once
    /// the maximum share of targets is ejected, further ones are only put on standby.
    pub standby: bool,
    /// When an attempt or probe last ended.
    pub last_ended: Option<Instant>,
    grace_left: u32,
    failing: bool,
    trial_pause: Duration,
    readmitted: Option<Instant>,
}

impl TargetEntry {
    /// Creates the entry of a target that is new to the pool; a cold one starts with one slot.
    pub fn new(target: &PoolTarget, cold: bool) -> Self {
        let slots = target.slots.get();
        Self {
            id: target.id.clone(),
            generation: target.generation,
            listed: true,
            leaving: target.leaving,
            drain_generation: None,
            ramp: if cold {
                Ramp::cold(slots)
            } else {
                Ramp::warm(slots)
            },
            stats: TargetStats::default(),
            outlier: OutlierDetector::default(),
            health: Health::Serving,
            attempts: Vec::new(),
            standby: false,
            last_ended: None,
            grace_left: if cold { GRACE_RESPONSES } else { 0 },
            failing: false,
            trial_pause: FIRST_PAUSE,
            readmitted: None,
        }
    }

    /// Applies the target's configuration. A newer generation ends a drain and is cold.
    pub fn configure(&mut self, target: &PoolTarget) {
        self.listed = true;
        self.leaving = target.leaving;
        self.ramp.configure(target.slots.get());
        if target.generation > self.generation {
            self.generation = target.generation;
            self.stats = TargetStats::default();
            self.outlier.clear();
            self.health = Health::Serving;
            self.start_cold();
        }
    }

    /// Starts the ramp-up from one slot, with a grace for the first responses.
    pub fn start_cold(&mut self) {
        self.grace_left = GRACE_RESPONSES;
        self.ramp.restart();
    }

    /// Records that the current generation drains.
    pub fn drain(&mut self) {
        self.drain_generation = Some(self.generation);
    }

    /// Returns whether the target may get new requests, apart from an ejection.
    pub fn is_usable(&self) -> bool {
        let draining = self
            .drain_generation
            .is_some_and(|drained| self.generation <= drained);
        self.listed && !self.leaving && !draining
    }

    /// Returns whether the target is ejected.
    pub fn is_ejected(&self) -> bool {
        self.health != Health::Serving
    }

    /// Returns the number of attempts in flight, probes included.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots on which a request could start at once.
    pub fn free(&self) -> u32 {
        if !self.is_usable() || self.is_ejected() {
            return 0;
        }
        self.ramp.limit().saturating_sub(self.in_flight())
    }

    /// Returns whether the target is on standby with a free slot.
    pub fn has_standby_slot(&self) -> bool {
        let slot = self.in_flight() < self.ramp.limit();
        self.standby && self.is_ejected() && self.is_usable() && slot
    }

    /// Returns whether a trial may start.
    pub fn trial_due(&self, now: Instant) -> bool {
        let Health::Ejected { until, trial } = self.health else {
            return false;
        };
        let slot = self.in_flight() < self.ramp.configured();
        self.is_usable() && slot && trial.is_none() && until <= now
    }

    /// Ejects the target, or only puts it on standby.
    pub fn eject(&mut self, now: Instant, standby: bool) {
        self.standby = standby;
        let relapse = self.readmitted.is_some_and(|at| now < at + RELAPSE_TIME);
        self.trial_pause = if relapse {
            (self.trial_pause * 2).min(MAX_PAUSE)
        } else {
            FIRST_PAUSE
        };
        self.health = Health::Ejected {
            until: now + self.trial_pause,
            trial: None,
        };
    }

    /// Records the trial in flight.
    pub fn start_trial(&mut self, attempt: AttemptId) {
        if let Health::Ejected { trial, .. } = &mut self.health {
            *trial = Some(attempt);
        }
    }

    /// Returns the trial in flight, if any.
    pub fn trial(&self) -> Option<AttemptId> {
        match self.health {
            Health::Ejected { trial, .. } => trial,
            Health::Serving => None,
        }
    }

    /// Returns whether a trial may start and has been due for at least `delay`.
    pub fn trial_overdue(&self, now: Instant, delay: Duration) -> bool {
        match self.health {
            Health::Ejected { until, .. } => self.trial_due(now) && until + delay <= now,
            Health::Serving => false,
        }
    }

    /// Ends the trial without a result if the attempt is one; the next trial may start at once.
    pub fn cancel_trial(&mut self, attempt: AttemptId) {
        if let Health::Ejected { trial, .. } = &mut self.health
            && *trial == Some(attempt)
        {
            *trial = None;
        }
    }

    /// Records a failed trial, which doubles the pause before the next one.
    pub fn fail_trial(&mut self, now: Instant) {
        self.trial_pause = (self.trial_pause * 2).min(MAX_PAUSE);
        self.health = Health::Ejected {
            until: now + self.trial_pause,
            trial: None,
        };
    }

    /// Puts the target back into service with one slot. After failures it is treated as cold,
    /// because it may have restarted.
    pub fn readmit(&mut self, now: Instant) {
        self.health = Health::Serving;
        self.readmitted = Some(now);
        self.outlier = OutlierDetector::probation();
        self.ramp.restart();
        if self.failing {
            self.grace_left = GRACE_RESPONSES;
            self.failing = false;
        }
    }

    /// Puts the target back into service with its previous slots, because all targets are outliers.
    pub fn release(&mut self) {
        self.health = Health::Serving;
        self.outlier.clear();
    }

    /// Returns whether the last attempt failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Records a failed attempt as evidence against the target.
    pub fn failed(&mut self) {
        self.failing = true;
        self.outlier.failed();
    }

    /// Records a complete response. Returns whether its time counts as evidence, which it does not
    /// for the first responses of a cold target.
    pub fn counts_response(&mut self) -> bool {
        self.failing = false;
        if self.grace_left == 0 {
            return true;
        }
        self.grace_left -= 1;
        false
    }

    /// Updates the state at the end of a request's attempt. `time` is the time from its start to
    /// the first byte of the response, or to its end if there was none. Returns whether the time
    /// belongs in the pool's baseline.
    pub fn finished_request(
        &mut self,
        now: Instant,
        id: AttemptId,
        result: AttemptResult,
        time: Duration,
        answered: bool,
        baseline: &Baseline,
    ) -> bool {
        let (deviation, spread) = (baseline.deviation(time), baseline.spread());
        match (result, self.trial() == Some(id)) {
            (AttemptResult::Done, true) => {
                self.stats.observe(now, time);
                if deviation <= MAX_TRIAL_DEVIATION {
                    self.readmit(now);
                } else {
                    self.fail_trial(now);
                }
            }
            (AttemptResult::Done, false) => {
                self.stats.observe(now, time);
                if deviation < SLOW_DEVIATION {
                    self.ramp.record_success(now);
                }
                if self.counts_response() {
                    self.outlier.finished(deviation, spread);
                    return !self.is_ejected();
                }
            }
            (AttemptResult::Shed, _) => {
                self.ramp.record_shed(now, self.in_flight());
                self.cancel_trial(id);
            }
            (AttemptResult::Draining, _) => self.drain(),
            (AttemptResult::Deadline, _) => self.cancel_trial(id),
            (_, true) => self.fail_trial(now),
            // The age at which a losing copy was cancelled is evidence, as it is while in flight.
            (AttemptResult::Cancelled, false) if !answered => {
                self.outlier.cancelled(deviation, spread);
            }
            (AttemptResult::Cancelled, false) => {}
            (_, false) => self.failed(),
        }
        false
    }

    /// Updates the state at the end of a probe. `passes` tells whether it was fast enough.
    pub fn finished_probe(
        &mut self,
        now: Instant,
        id: AttemptId,
        result: AttemptResult,
        passes: bool,
    ) {
        match (result, self.trial() == Some(id)) {
            (AttemptResult::Draining, _) => self.drain(),
            (AttemptResult::Cancelled | AttemptResult::Deadline, _) => self.cancel_trial(id),
            (AttemptResult::Done, true) if passes => self.readmit(now),
            (_, true) => self.fail_trial(now),
            (AttemptResult::Done, false) if passes => {}
            (AttemptResult::Shed, false) => {}
            (_, false) => self.failed(),
        }
    }

    /// Returns the entry's state for the dump.
    pub fn dump(&self, now: Instant, baseline: &Baseline) -> serde_json::Value {
        serde_json::json!({
            "id": self.id,
            "generation": self.generation,
            "usable": self.is_usable(),
            "health": self.health,
            "standby": self.standby,
            "ramp": self.ramp,
            "in_flight": self.attempts.len(),
            "expected_ms": self.stats.estimate(now, baseline).exp() * 1_000.0,
            "evidence": self.outlier,
        })
    }
}
