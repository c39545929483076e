//! Counts and histograms over the samples of a run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::arrival::Kind;
use crate::audit::Claim;
use crate::checker::Verdict;
use crate::sample::Sample;

/// Significant decimal digits of the histograms.
const DIGITS: u8 = 3;

/// The longest latency that histograms tell apart, in microseconds.
const MAX_MICROS: u64 = 900_000_000;

/// A histogram of durations in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        let bounds = Histogram::new_with_bounds(1, MAX_MICROS, DIGITS);
        Self(bounds.expect("the bounds are constants in range"))
    }
}

impl Latencies {
    /// Adds a duration.
    pub fn record(&mut self, value: Duration) {
        let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros.max(1));
    }

    /// Returns the number of durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the duration below which the given share of all durations lies.
    pub fn quantile(&self, share: f64) -> Duration {
        Duration::from_micros(self.0.value_at_quantile(share))
    }

    /// Returns the mean duration.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.0.mean() / 1e6)
    }

    /// Returns the longest duration.
    pub fn max(&self) -> Duration {
        Duration::from_micros(self.0.max())
    }

    /// Adds all durations of another histogram.
    pub fn merge(&mut self, other: &Self) {
        self.0 += &other.0;
    }
}

/// What went wrong with a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Failure {
    /// The kind of request.
    pub kind: Kind,
    /// What the response was worth.
    pub verdict: Verdict,
    /// The result code, if there was one.
    pub code: Option<Box<str>>,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let code = self.code.as_deref().unwrap_or("without code");
        write!(f, "{} {} {code}:", self.kind, self.verdict)
    }
}

/// What a run showed.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that were due but not sent because too many were outstanding.
    pub unsent: u64,
    /// Latencies of complete responses to the own request.
    pub whole: Latencies,
    /// Latencies of everything else.
    pub other: Latencies,
    /// How late the tool itself was.
    pub delay: Latencies,
    /// Counts by verdict.
    pub verdicts: BTreeMap<Verdict, u64>,
    /// Counts by result code.
    pub codes: BTreeMap<Box<str>, u64>,
    /// Counts by target.
    pub targets: BTreeMap<Box<str>, u64>,
    /// Counts of everything but complete responses, by kind of request, verdict and result code.
    pub failures: BTreeMap<Failure, u64>,
    /// Latencies of complete responses by kind.
    pub kinds: BTreeMap<Kind, Latencies>,
    /// What the responses claim about executions.
    pub claims: Vec<Claim>,
}

impl Tally {
    /// Adds a sample.
    pub fn add(&mut self, sample: Sample) {
        self.sent += 1;
        self.delay.record(sample.delay);
        if sample.verdict == Verdict::Whole {
            self.whole.record(sample.latency);
            self.kinds
                .entry(sample.kind)
                .or_default()
                .record(sample.latency);
        } else {
            self.other.record(sample.latency);
            let failure = Failure {
                kind: sample.kind,
                verdict: sample.verdict,
                code: sample.code.clone(),
            };
            *self.failures.entry(failure).or_default() += 1;
        }
        *self.verdicts.entry(sample.verdict).or_default() += 1;
        if let Some(code) = sample.code {
            *self.codes.entry(code).or_default() += 1;
        }
        if let Some(target) = sample.target {
            *self.targets.entry(target).or_default() += 1;
        }
        self.claims.push(Claim {
            execution: sample.execution,
            kind: sample.kind,
            verdict: sample.verdict,
        });
    }

    /// Returns how many responses got the verdict.
    pub fn count(&self, verdict: Verdict) -> u64 {
        self.verdicts.get(&verdict).copied().unwrap_or(0)
    }

    /// Returns how many responses break an invariant.
    pub fn violations(&self) -> u64 {
        let violations = self.verdicts.iter();
        let violations = violations.filter(|(verdict, _)| verdict.is_violation());
        violations.map(|(_, count)| count).sum()
    }
}
