//! Evidence that a target is slower than the others.

use serde::Serialize;

/// The slowdown that evidence is collected for. Smaller ones only lower a target's rank.
const SLOWDOWN: f64 = 5.0;
/// Bounds of the slowdown in spreads of the service time.
const SHIFT: (f64, f64) = (1.0, 3.3);
/// Scale at which the logistic distribution is closest to the normal distribution.
const LOGISTIC: f64 = 1.702;
/// Evidence at which a target is ejected, as a logarithm of a likelihood ratio.
const LIMIT: f64 = 10.0;
/// Evidence that a failed attempt adds.
const FAILURE: f64 = 3.0;
/// Evidence above this multiple of the limit is forgotten, so that recovery is seen soon.
const CEILING: f64 = 1.5;

/// Collects evidence about one target (a CUSUM test).
///
/// Each response adds the logarithm of how much more likely its time is on a target that is
/// `SLOWDOWN` times slower than on a normal one. The sum never falls below zero, so that old good
/// responses do not hide a target that has just become slow. The distribution has long tails
/// (logistic in the logarithm of time), which bounds what one response can add: no single long
/// request ejects a target.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OutlierDetector {
    sum: f64,
}

impl OutlierDetector {
    /// Starts with half of the evidence that ejects, for a target that was ejected recently.
    pub fn probation() -> Self {
        Self { sum: LIMIT / 2.0 }
    }

    /// Takes in a response whose time is `deviation` spreads above the typical one.
    pub fn finished(&mut self, deviation: f64, spread: f64) {
        let shift = shift(spread);
        let slow = log_density(deviation - shift);
        self.add(slow - log_density(deviation));
    }

    /// Takes in an attempt that was given up at an age of `deviation` spreads above the typical
    /// time.
    pub fn cancelled(&mut self, deviation: f64, spread: f64) {
        self.add(pending_evidence(deviation, spread));
    }

    /// Takes in a failed attempt.
    pub fn failed(&mut self) {
        self.add(FAILURE);
    }

    /// Forgets all evidence.
    pub fn clear(&mut self) {
        self.sum = 0.0;
    }

    /// Returns the evidence from what has ended.
    pub fn sum(&self) -> f64 {
        self.sum
    }

    /// Tells whether the evidence, with that of the requests in flight, ejects the target.
    pub fn exceeds_limit(&self, waiting: f64) -> bool {
        self.sum + waiting >= LIMIT
    }

    fn add(&mut self, evidence: f64) {
        self.sum = (self.sum + evidence).clamp(0.0, LIMIT * CEILING);
    }
}

/// Returns the evidence of a request in flight whose age is `deviation` spreads above the typical
/// service time. A young request says nothing.
pub fn pending_evidence(deviation: f64, spread: f64) -> f64 {
    let slow = log_survival(deviation - shift(spread));
    (slow - log_survival(deviation)).max(0.0)
}

/// Returns how many targets may be ejected at the same time.
pub fn max_ejected(targets: usize, divisor: u32) -> usize {
    targets / usize::try_from(divisor.max(1)).unwrap_or(usize::MAX)
}

fn shift(spread: f64) -> f64 {
    (SLOWDOWN.ln() / spread).clamp(SHIFT.0, SHIFT.1)
}

/// Returns the logarithm of the logistic density, without its constant factor.
fn log_density(deviation: f64) -> f64 {
    let x = LOGISTIC * deviation;
    -x.abs() - 2.0 * (-x.abs()).exp().ln_1p()
}

/// Returns the logarithm of the probability of a longer time.
fn log_survival(deviation: f64) -> f64 {
    let x = LOGISTIC * deviation;
    if x > 0.0 {
        -x - (-x).exp().ln_1p()
    } else {
        -x.exp().ln_1p()
    }
}
