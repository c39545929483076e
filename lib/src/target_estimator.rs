//! What one VM knows about one target, and how long a request would take there.

use std::time::Duration;
use std::time::Instant;

use crate::decaying_average::DecayingAverage;
use crate::decaying_average::decay;
use crate::load_report::LoadReport;

/// Time in which the pace of a machine changes: what a report says of it lasts about as long, unless
/// the reports have told the same for longer.
const PACE_LASTS: Duration = Duration::from_millis(150);
/// The pace, in percent of the usual time for the same work, up to which a machine is not slow.
pub const NORMAL_PACE: u32 = 130;
/// Time in which half of the requests that a report counted have ended.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(150);
/// Age up to which a report is taken at its word.
const TAKEN_AT_ITS_WORD: Duration = Duration::from_millis(60);
/// How much longer work takes on the last free slot: some targets slow down when nearly full.
const LAST_SLOT: f64 = 1.5;
/// How much longer work takes on a target that has just started.
const COLD: f64 = 2.0;
/// Time in which evidence of failures and of slowness loses half of its weight.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of a new result among the recent ones.
const EVIDENCE_WEIGHT: f64 = 0.35;
/// What a failed attempt costs a caller: the time lost until another target has answered.
const FAILURE_COST: Duration = Duration::from_millis(1_500);
/// A request in flight counts as evidence of slowness from this multiple of its expected time.
const OVERDUE: f64 = 2.0;
/// The largest slowness that is believed.
const MOST_SLOWNESS: f64 = 20.0;

/// How an attempt ended, as far as it says something about the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// A response of the target, after a multiple of the expected time.
    Answered {
        /// Measured time divided by the expected time.
        ratio: f64,
    },
    /// The target failed: no connection, no or a broken response, or an error status.
    Failed,
    /// The target refused the request before it started.
    Refused,
    /// The attempt was given up after a multiple of the expected time.
    GivenUp {
        /// Elapsed time divided by the expected time.
        ratio: f64,
    },
}

/// What one VM knows about one target.
#[derive(Clone, Debug)]
pub struct TargetEstimator {
    /// Start and expected duration of each attempt in flight.
    in_flight: Vec<(u64, Instant, Duration)>,
    report: Option<(Instant, LoadReport)>,
    /// Since when every report has told a slow pace.
    slow_since: Option<Instant>,
    /// Attempts that started after the last report.
    since_report: u32,
    failures: DecayingAverage,
    slowness: DecayingAverage,
    cold_until: Option<Instant>,
    /// How many requests targets of the service hold for each slot.
    usual: f64,
}

impl Default for TargetEstimator {
    fn default() -> Self {
        Self {
            in_flight: Vec::new(),
            report: None,
            slow_since: None,
            since_report: 0,
            failures: DecayingAverage::new(EVIDENCE_HALF_LIFE, EVIDENCE_WEIGHT),
            slowness: DecayingAverage::new(EVIDENCE_HALF_LIFE, EVIDENCE_WEIGHT),
            cold_until: None,
            usual: 0.0,
        }
    }
}

impl TargetEstimator {
    /// Notes that the target is slow until the given time, because it has just started.
    pub fn set_cold_until(&mut self, until: Option<Instant>) {
        self.cold_until = until;
    }

    /// Notes how many requests targets of the service hold for each slot at this moment. It is what
    /// a target without a young report is expected to hold.
    pub fn set_typical_load(&mut self, per_slot: f64) {
        self.usual = per_slot;
    }

    /// Takes in a load report that has just arrived.
    pub fn report(&mut self, now: Instant, report: LoadReport) {
        self.slow_since = match report.pace > NORMAL_PACE {
            true => self.slow_since.or(Some(now)),
            false => None,
        };
        self.report = Some((now, report));
        self.since_report = 0;
    }

    /// Returns the last report and when it arrived.
    pub fn last_report(&self) -> Option<(Instant, LoadReport)> {
        self.report
    }

    /// Notes the start of an attempt that is expected to take `expected`.
    pub fn started(&mut self, now: Instant, attempt: u64, expected: Duration) {
        self.in_flight.push((attempt, now, expected));
        self.since_report += 1;
    }

    /// Notes the end of an attempt.
    pub fn ended(&mut self, now: Instant, attempt: u64, verdict: AttemptOutcome) {
        self.in_flight.retain(|(id, ..)| *id != attempt);
        self.since_report = self.since_report.saturating_sub(1);
        match verdict {
            AttemptOutcome::Answered { ratio } => {
                self.failures.observe(now, 0.0);
                self.slowness
                    .observe(now, (ratio - 1.0).clamp(0.0, MOST_SLOWNESS));
            }
            AttemptOutcome::Failed => self.failures.observe(now, 1.0),
            AttemptOutcome::Refused => self.failures.observe(now, 0.7),
            AttemptOutcome::GivenUp { ratio } if ratio >= OVERDUE => {
                self.slowness.observe(now, (ratio - 1.0).min(MOST_SLOWNESS));
            }
            AttemptOutcome::GivenUp { .. } => {}
        }
    }

    /// Notes that a health check got no answer.
    pub fn check_failed(&mut self, now: Instant) {
        self.failures.observe(now, 1.0);
    }

    /// Returns the attempts of this VM in flight at the target.
    pub fn own_in_flight(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Returns the recent share of failed attempts, from 0 to 1.
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failures.get(now)
    }

    /// Returns how many requests the target is expected to hold at this moment.
    pub fn held(&self, now: Instant, slots: u32) -> f64 {
        let own = f64::from(self.own_in_flight());
        let usual = self.usual * f64::from(slots);
        let Some((at, report)) = self.report else {
            return usual.max(own);
        };
        let age = now.saturating_duration_since(at);
        let young = decay(age, REPORT_HALF_LIFE);
        let reported = f64::from(report.running + report.waiting);
        let held = reported * young + usual * (1.0 - young);
        (held + f64::from(self.since_report)).max(own)
    }

    /// Returns how many requests would be ahead of a new one beyond the slots but one: 0 or less if
    /// it would start at once. A report that has just arrived is taken at its word, but for this VM's own
    /// requests, which may have been on their way when it was made.
    pub fn queue_ahead(&self, now: Instant, slots: u32) -> f64 {
        let held = match self.report {
            Some((at, report)) if now.saturating_duration_since(at) <= TAKEN_AT_ITS_WORD => {
                let reported = report.running + report.waiting + self.since_report;
                f64::from(reported.max(self.own_in_flight()))
            }
            _ => self.held(now, slots),
        };
        held + 1.0 - f64::from(slots)
    }

    /// Returns how long a request with `work` on an idle, quiet target would take here.
    pub fn expected(&self, now: Instant, work: Duration, slots: u32) -> Duration {
        let held = self.held(now, slots);
        let slots = f64::from(slots.max(1));
        let mut factor = 1.0 + self.slowness(now);
        if self.cold_until.is_some_and(|until| now < until) {
            factor *= COLD;
        }
        let service = work.mul_f64(factor);
        let crowded = (held - (slots - 2.0)).clamp(0.0, 1.0) * (LAST_SLOT - 1.0);
        let queued = (held - (slots - 1.0)).max(0.0) / slots;
        service.mul_f64(1.0 + crowded + queued) + self.noise(now, service)
    }

    /// Returns [`Self::expected`] with what the risk of a failure adds.
    pub fn cost(&self, now: Instant, work: Duration, slots: u32) -> Duration {
        self.expected(now, work, slots) + FAILURE_COST.mul_f64(self.failure_share(now))
    }

    /// Returns the delay through the pace of the machine when the request starts, which goes for all
    /// of its work. A neighbour slows a machine for a moment only, so an old report says little; one
    /// that has been slow in all reports is expected to stay so for as long again.
    fn noise(&self, now: Instant, service: Duration) -> Duration {
        let Some((at, report)) = self.report else {
            return Duration::ZERO;
        };
        let pace = f64::from(report.pace.max(1)) / 100.0;
        if pace <= 1.0 {
            return Duration::ZERO;
        }
        let age = now.saturating_duration_since(at);
        let through = service.mul_f64(pace - 1.0);
        let slow_for = self
            .slow_since
            .map_or(Duration::ZERO, |since| at.saturating_duration_since(since));
        let lasts = PACE_LASTS.max(slow_for);
        let left = (-age.as_secs_f64() / lasts.as_secs_f64()).exp();
        through.mul_f64(left)
    }

    /// Returns by how much the target is slower than expected, from ended attempts and from the
    /// ages of those in flight. 0 is normal.
    fn slowness(&self, now: Instant) -> f64 {
        let overdue = self.in_flight.iter().map(|(_, started, expected)| {
            let age = now.saturating_duration_since(*started).as_secs_f64();
            age / expected.as_secs_f64().max(0.001) - OVERDUE
        });
        let overdue = overdue.fold(0.0, f64::max).min(MOST_SLOWNESS);
        self.slowness.get(now).max(overdue)
    }
}
