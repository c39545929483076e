//! Learns from finished requests how much longer work takes on targets that run others.

use std::time::Duration;
use std::time::Instant;

use crate::crowding::Crowding;
use crate::crowding::LEVELS;
use crate::decaying_average::decay;

/// Time in which evidence loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Maximum weight of the past, in requests.
const MAX_WEIGHT: f64 = 32.0;
/// Weight of the factors that are assumed without evidence, in requests.
const PRIOR_WEIGHT: f64 = 1.0;
/// Weight of the evidence below which slots that are left unused are tried again.
const SUFFICIENT_WEIGHT: f64 = 2.0;
/// Measurements between two trials of a slot that is left unused.
const TRIAL_INTERVAL: u32 = 8;
/// Bounds of one measurement, so that a single slow request does not decide.
const RATIO_BOUNDS: (f64, f64) = (0.5, 3.0);

/// The evidence at one level of utilization.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    /// Mean logarithm of the measured factors.
    log_mean: f64,
    /// Weight at `at`, in requests.
    weight: f64,
    at: Option<Instant>,
}

impl Evidence {
    fn weight(&self, now: Instant) -> f64 {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        age.map_or(0.0, |age| self.weight * decay(age, HALF_LIFE))
    }

    fn observe(&mut self, now: Instant, ratio: f64) {
        let past = self.weight(now).min(MAX_WEIGHT - 1.0);
        let log = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).ln();
        self.weight = past + 1.0;
        self.log_mean += (log - self.log_mean) / self.weight;
        self.at = Some(now);
    }
}

/// An estimate that follows measurements, and returns to the assumed factors while there are none.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrowdingEstimate {
    levels: [Evidence; LEVELS],
    /// Measurements since the last trial of a slot that is left unused.
    since_trial: u32,
}

impl CrowdingEstimate {
    /// Records that a request, which started on a target with `running` others, took `ratio` times
    /// as long as on an idle target.
    pub fn observe(&mut self, now: Instant, running: u32, slots: u32, ratio: f64) {
        self.levels[Crowding::level(running, slots)].observe(now, ratio);
        self.since_trial = self.since_trial.saturating_add(1);
    }

    /// Returns the estimated factors. `prior` is assumed without evidence.
    pub fn get(&self, now: Instant, prior: &Crowding) -> Crowding {
        let factor = |level: usize| {
            let (evidence, assumed) = (&self.levels[level], prior.at_level(level).ln());
            let weight = evidence.weight(now);
            let log =
                (evidence.log_mean * weight + assumed * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
            log.exp()
        };
        Crowding::new(std::array::from_fn(factor))
    }

    /// Returns whether too little is known about requests that start on a target with `running`
    /// others.
    pub fn is_uncertain(&self, now: Instant, running: u32, slots: u32) -> bool {
        self.levels[Crowding::level(running, slots)].weight(now) < SUFFICIENT_WEIGHT
    }

    /// Returns whether a request may use a slot that is left unused, to learn whether it pays. Few
    /// may: where it does not pay, each of them delays the next ones as well.
    pub fn start_trial(&mut self) -> bool {
        let starts = self.since_trial >= TRIAL_INTERVAL;
        if starts {
            self.since_trial = 0;
        }
        starts
    }
}
