//! Detects targets that are slower than the others.

use serde::Serialize;

/// The slowdown factor that the test detects. Smaller ones only lower a target's rank.
const SLOWDOWN: f64 = 5.0;
/// Bounds of the log of the slowdown, in standard deviations of the log service time.
const SHIFT_BOUNDS: (f64, f64) = (1.0, 3.3);
/// Scale factor with which the logistic distribution is closest to the standard normal one.
const LOGISTIC_SCALE: f64 = 1.702;
/// Evidence at which a target is ejected, as the log of a likelihood ratio.
const EVIDENCE_LIMIT: f64 = 10.0;
/// Evidence that a failed attempt adds.
const FAILURE_EVIDENCE: f64 = 3.0;
/// Evidence is capped at this multiple of the limit, so that recovery is detected soon.
const CAP_FACTOR: f64 = 1.5;

/// Collects evidence about one target (a CUSUM test).
///
/// Each response adds the log of the likelihood ratio between a target that is `SLOWDOWN` times
/// slower and a normal one. The sum never falls below zero, so that earlier fast responses do not
/// hide a target that has just become slow. The assumed distribution has long tails (logistic in
/// log time), which bounds what one response can add: no single long request ejects a target.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OutlierDetector {
    sum: f64,
}

impl OutlierDetector {
    /// Creates a detector with half of the evidence that ejects, for a target that was ejected
    /// recently.
    pub fn probation() -> Self {
        Self {
            sum: EVIDENCE_LIMIT / 2.0,
        }
    }

    /// Records a response whose log time is `deviation` standard deviations above the typical one;
    /// `spread` is one standard deviation.
    pub fn finished(&mut self, deviation: f64, spread: f64) {
        let shift = shift(spread);
        let slow = log_density(deviation - shift);
        self.add(slow - log_density(deviation));
    }

    /// Records an attempt that was cancelled without a response, at an age of `deviation` standard
    /// deviations above the typical time.
    pub fn cancelled(&mut self, deviation: f64, spread: f64) {
        self.add(pending_evidence(deviation, spread));
    }

    /// Records a failed attempt.
    pub fn failed(&mut self) {
        self.add(FAILURE_EVIDENCE);
    }

    /// Resets the evidence to zero.
    pub fn clear(&mut self) {
        self.sum = 0.0;
    }

    /// Returns the evidence from attempts that have ended.
    pub fn sum(&self) -> f64 {
        self.sum
    }

    /// Returns whether the evidence, together with `pending` from the requests in flight, reaches
    /// the limit at which the target is ejected.
    pub fn exceeds_limit(&self, pending: f64) -> bool {
        self.sum + pending >= EVIDENCE_LIMIT
    }

    fn add(&mut self, evidence: f64) {
        self.sum = (self.sum + evidence).clamp(0.0, EVIDENCE_LIMIT * CAP_FACTOR);
    }
}

/// Returns the evidence from a request in flight whose age is `deviation` standard deviations above
/// the typical service time; 0 for a young request.
pub fn pending_evidence(deviation: f64, spread: f64) -> f64 {
    let slow = log_survival(deviation - shift(spread));
    (slow - log_survival(deviation)).max(0.0)
}

/// Returns how many of the targets may be ejected at the same time, one in `divisor`.
pub fn max_ejected(targets: usize, divisor: u32) -> usize {
    targets / usize::try_from(divisor.max(1)).unwrap_or(usize::MAX)
}

fn shift(spread: f64) -> f64 {
    (SLOWDOWN.ln() / spread).clamp(SHIFT_BOUNDS.0, SHIFT_BOUNDS.1)
}

/// Returns the log of the logistic density, without its constant factor.
fn log_density(deviation: f64) -> f64 {
    let x = LOGISTIC_SCALE * deviation;
    -x.abs() - 2.0 * (-x.abs()).exp().ln_1p()
}

/// Returns the log of the probability of a longer time.
fn log_survival(deviation: f64) -> f64 {
    let x = LOGISTIC_SCALE * deviation;
    if x > 0.0 {
        -x - (-x).exp().ln_1p()
    } else {
        -x.exp().ln_1p()
    }
}
