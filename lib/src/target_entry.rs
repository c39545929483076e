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

/// Responses of a cold target that do not count against it.
const GRACE: u32 = 3;
/// First pause between an ejection and the attempt to readmit the target.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// A target that is ejected again within this time starts with a longer pause.
const RELAPSE: Duration = Duration::from_secs(5);

/// A trial passes when its response is at most this many spreads above the typical time.
const TRIAL_PASSES: f64 = 1.0;
/// Responses further than this many spreads above the typical time do not advance the ramp-up.
const SLOW: f64 = 2.0;

/// Whether a target takes part in serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The target gets requests.
    Serving,
    /// The target gets nothing but one trial at a time.
    Ejected {
        /// When the next trial may start.
        #[serde(skip)]
        until: Instant,
        /// The trial in flight.
        trial: Option<AttemptId>,
    },
}

/// One target and what the pool knows of it.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The target.
    pub id: TargetId,
    /// Its generation in the configuration.
    pub generation: u64,
    /// Whether the pool's targets include it.
    pub listed: bool,
    /// Whether the configuration says that it leaves.
    pub leaving: bool,
    /// The generation that drains, if any.
    pub drained: Option<u64>,
    /// How many slots are in use.
    pub ramp: Ramp,
    /// Service times and load reports.
    pub stats: TargetStats,
    /// Evidence against the target.
    pub outlier: OutlierDetector,
    /// Whether it takes part.
    pub health: Health,
    /// Requests and probes in flight.
    pub attempts: Vec<AttemptId>,
    /// Whether an ejected target still serves when requests would wait longer for the others. Once
    /// the largest share of targets is ejected, further ones are put on standby only.
    pub standby: bool,
    /// When a response or the end of a probe was last seen.
    pub last_response: Option<Instant>,
    grace: u32,
    failing: bool,
    pause: Duration,
    readmitted: Option<Instant>,
}

impl TargetEntry {
    /// Makes the entry of a target that is new to the pool.
    pub fn new(target: &PoolTarget, cold: bool) -> Self {
        let slots = target.slots.get();
        Self {
            id: target.id.clone(),
            generation: target.generation,
            listed: true,
            leaving: target.leaving,
            drained: None,
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
            last_response: None,
            grace: if cold { GRACE } else { 0 },
            failing: false,
            pause: FIRST_PAUSE,
            readmitted: None,
        }
    }

    /// Takes over what the configuration says. A newer generation ends a drain and is cold.
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

    /// Starts the ramp-up.
    pub fn start_cold(&mut self) {
        self.grace = GRACE;
        self.ramp.restart();
    }

    /// Notes that the current generation drains.
    pub fn drain(&mut self) {
        self.drained = Some(self.generation);
    }

    /// Tells whether the target may get new work at all.
    pub fn is_usable(&self) -> bool {
        let drains = self
            .drained
            .is_some_and(|drained| self.generation <= drained);
        self.listed && !self.leaving && !drains
    }

    /// Tells whether the target is ejected.
    pub fn is_ejected(&self) -> bool {
        self.health != Health::Serving
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Returns the slots that could take a request at once.
    pub fn free(&self) -> u32 {
        if !self.is_usable() || self.is_ejected() {
            return 0;
        }
        self.ramp.limit().saturating_sub(self.in_flight())
    }

    /// Tells whether the target is on standby with a free slot.
    pub fn has_standby_slot(&self) -> bool {
        let slot = self.in_flight() < self.ramp.limit();
        self.standby && self.is_ejected() && self.is_usable() && slot
    }

    /// Tells whether a trial may start.
    pub fn trial_due(&self, now: Instant) -> bool {
        let Health::Ejected { until, trial } = self.health else {
            return false;
        };
        let slot = self.in_flight() < self.ramp.configured();
        self.is_usable() && slot && trial.is_none() && until <= now
    }

    /// Takes the target out of service.
    pub fn eject(&mut self, now: Instant, standby: bool) {
        self.standby = standby;
        let relapse = self.readmitted.is_some_and(|at| now < at + RELAPSE);
        self.pause = if relapse {
            (self.pause * 2).min(MAX_PAUSE)
        } else {
            FIRST_PAUSE
        };
        self.health = Health::Ejected {
            until: now + self.pause,
            trial: None,
        };
    }

    /// Notes that a trial is under way.
    pub fn start_trial(&mut self, attempt: AttemptId) {
        if let Health::Ejected { trial, .. } = &mut self.health {
            *trial = Some(attempt);
        }
    }

    /// Returns the trial in flight.
    pub fn trial(&self) -> Option<AttemptId> {
        match self.health {
            Health::Ejected { trial, .. } => trial,
            Health::Serving => None,
        }
    }

    /// Tells whether a trial has been due for longer than `patience`.
    pub fn trial_overdue(&self, now: Instant, patience: Duration) -> bool {
        match self.health {
            Health::Ejected { until, .. } => self.trial_due(now) && until + patience <= now,
            Health::Serving => false,
        }
    }

    /// Ends the attempt's trial, if it is one, without a verdict; the next one may start at once.
    pub fn cancel_trial(&mut self, attempt: AttemptId) {
        if let Health::Ejected { trial, .. } = &mut self.health
            && *trial == Some(attempt)
        {
            *trial = None;
        }
    }

    /// Ends a failed trial.
    pub fn fail_trial(&mut self, now: Instant) {
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.health = Health::Ejected {
            until: now + self.pause,
            trial: None,
        };
    }

    /// Puts the target back into service with one slot. After failures it may have restarted, so
    /// that it is treated as cold.
    pub fn readmit(&mut self, now: Instant) {
        self.health = Health::Serving;
        self.readmitted = Some(now);
        self.outlier = OutlierDetector::probation();
        self.ramp.restart();
        if self.failing {
            self.grace = GRACE;
            self.failing = false;
        }
    }

    /// Puts the target back because all targets are bad.
    pub fn release(&mut self) {
        self.health = Health::Serving;
        self.outlier.clear();
    }

    /// Tells whether the last attempt failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Counts a failed attempt against the target.
    pub fn failed(&mut self) {
        self.failing = true;
        self.outlier.failed();
    }

    /// Returns whether a complete response counts, and counts down the grace of a cold target.
    pub fn counts_response(&mut self) -> bool {
        self.failing = false;
        if self.grace == 0 {
            return true;
        }
        self.grace -= 1;
        false
    }

    /// Learns from the end of a request's attempt, `time` after its start. Returns whether the time
    /// belongs to what is normal for the pool.
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
                if deviation <= TRIAL_PASSES {
                    self.readmit(now);
                } else {
                    self.fail_trial(now);
                }
            }
            (AttemptResult::Done, false) => {
                self.stats.observe(now, time);
                if deviation < SLOW {
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
            // The age at which a copy lost is evidence, as it is while in flight.
            (AttemptResult::Cancelled, false) if !answered => {
                self.outlier.cancelled(deviation, spread);
            }
            (AttemptResult::Cancelled, false) => {}
            (_, false) => self.failed(),
        }
        false
    }

    /// Learns from the end of a probe.
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
