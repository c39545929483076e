//! One VM's estimates of a target's load, and of the duration of a request on it.

use std::time::Duration;
use std::time::Instant;

use crate::crowding::Crowding;
use crate::decaying_average::DecayingAverage;
use crate::decaying_average::decay;
use crate::load_report::LoadReport;

/// Time constant of a machine's pace: a reported slowdown is expected to last about this long,
/// unless the reports have shown it for longer.
const PACE_DURATION: Duration = Duration::from_millis(150);
/// The highest pace of a machine that is not slow, in percent of the usual time for the same work.
pub const NORMAL_PACE: u32 = 130;
/// Time in which half of the requests counted in a report have ended.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(150);
/// Maximum age of a report whose numbers are used as they are.
const MAX_EXACT_AGE: Duration = Duration::from_millis(60);
/// Maximum age of a report by which a target hardly got other requests since. Measurements by older
/// reports would count requests of other VMs as slowness.
const MAX_NEW_AGE: Duration = Duration::from_millis(5);
/// How much longer work takes on a target that is warming up after its start.
const COLD_FACTOR: f64 = 2.0;
/// Time in which evidence of failures and of slowness loses half of its weight.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of a new result in the moving averages of failures and of slowness.
const EVIDENCE_WEIGHT: f64 = 0.35;
/// Cost of a failed attempt: the time that the caller loses until another target has answered.
const FAILURE_COST: Duration = Duration::from_millis(1_500);
/// A request in flight is evidence of slowness once it exceeds this multiple of its expected time.
const OVERDUE_FACTOR: f64 = 2.0;
/// Upper bound of the estimated slowness.
const MAX_SLOWNESS: f64 = 20.0;

/// How an attempt ended, as evidence about the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered {
        /// Measured time divided by the expected time.
        ratio: f64,
    },
    /// The target failed: no connection, no response, a broken one, or an error status.
    Failed,
    /// The target refused the request before it started.
    Refused,
    /// The target was not asked, which says nothing about it.
    Withheld,
    /// The attempt was abandoned without a response.
    GivenUp {
        /// Elapsed time divided by the expected time.
        ratio: f64,
    },
}

/// Estimates a target's load, speed and failures from its reports and this VM's attempts.
#[derive(Clone, Debug)]
pub struct TargetEstimator {
    /// Id, start and expected duration of each attempt in flight.
    in_flight: Vec<(u64, Instant, Duration)>,
    report: Option<(Instant, LoadReport)>,
    /// Since when every report has shown a slow pace.
    slow_since: Option<Instant>,
    /// Number of attempts that started after the last report.
    since_report: u32,
    failures: DecayingAverage,
    slowness: DecayingAverage,
    cold_until: Option<Instant>,
    /// The average requests per slot of the service's targets.
    typical_load: f64,
    /// How much longer work takes when the target runs other requests.
    crowding: Crowding,
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
            typical_load: 0.0,
            crowding: Crowding::default(),
        }
    }
}

impl TargetEstimator {
    /// Sets until when the target is slow because it has just started.
    pub fn set_cold_until(&mut self, until: Option<Instant>) {
        self.cold_until = until;
    }

    /// Sets the current average number of requests per slot of the service's targets, which is the
    /// expected load of a target without a recent report.
    pub fn set_typical_load(&mut self, per_slot: f64) {
        self.typical_load = per_slot;
    }

    /// Sets how much longer work takes on the service's targets when they run other requests.
    pub fn set_crowding(&mut self, crowding: Crowding) {
        self.crowding = crowding;
    }

    /// Records a load report that has just arrived.
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

    /// Records the start of an attempt that is expected to take `expected`.
    pub fn started(&mut self, now: Instant, attempt: u64, expected: Duration) {
        self.in_flight.push((attempt, now, expected));
        self.since_report += 1;
    }

    /// Records the end of an attempt.
    pub fn ended(&mut self, now: Instant, attempt: u64, outcome: AttemptOutcome) {
        self.in_flight.retain(|(id, ..)| *id != attempt);
        self.since_report = self.since_report.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered { ratio } => {
                self.failures.observe(now, 0.0);
                self.slowness
                    .observe(now, (ratio - 1.0).clamp(0.0, MAX_SLOWNESS));
            }
            AttemptOutcome::Failed => self.failures.observe(now, 1.0),
            AttemptOutcome::Refused => self.failures.observe(now, 0.7),
            AttemptOutcome::GivenUp { ratio } if ratio >= OVERDUE_FACTOR => {
                self.slowness.observe(now, (ratio - 1.0).min(MAX_SLOWNESS));
            }
            AttemptOutcome::Withheld | AttemptOutcome::GivenUp { .. } => {}
        }
    }

    /// Records that a health check got no answer.
    pub fn check_failed(&mut self, now: Instant) {
        self.failures.observe(now, 1.0);
    }

    /// Returns the number of this VM's attempts in flight on the target.
    pub fn own_in_flight(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Returns the recent share of failed attempts, from 0 to 1.
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failures.get(now)
    }

    /// Returns the expected number of requests on the target, waiting ones included.
    pub fn held(&self, now: Instant, slots: u32) -> f64 {
        let own = f64::from(self.own_in_flight());
        let typical = self.typical_load * f64::from(slots);
        let Some((at, report)) = self.report else {
            return typical.max(own);
        };
        let age = now.saturating_duration_since(at);
        let weight = decay(age, REPORT_HALF_LIFE);
        let reported = f64::from(report.running + report.waiting);
        let held = reported * weight + typical * (1.0 - weight);
        (held + f64::from(self.since_report)).max(own)
    }

    /// Returns how many requests would be queued ahead of a new one; 0 or less if it would start at
    /// once. The numbers of a recent report are used as they are, except that this VM's own
    /// requests are added, which may not have arrived when the report was made.
    pub fn queue_ahead(&self, now: Instant, slots: u32) -> f64 {
        let held = match self.report {
            Some((at, report)) if now.saturating_duration_since(at) <= MAX_EXACT_AGE => {
                let reported = report.running + report.waiting + self.since_report;
                f64::from(reported.max(self.own_in_flight()))
            }
            _ => self.held(now, slots),
        };
        held + 1.0 - f64::from(slots)
    }

    /// Returns how long a request would take on this target that takes `work` on an idle, quiet
    /// one.
    pub fn expected(&self, now: Instant, work: Duration, slots: u32) -> Duration {
        let held = self.held(now, slots);
        let service = self.expected_alone(now, work);
        let crowded = self.crowding.factor(held, slots);
        let slots = f64::from(slots.max(1));
        let queued = (held - (slots - 1.0)).max(0.0) / slots;
        service.mul_f64(crowded + queued) + self.noise(now, service)
    }

    /// Returns how long a request would take on this target without other requests and noise.
    pub fn expected_alone(&self, now: Instant, work: Duration) -> Duration {
        let mut factor = 1.0 + self.slowness(now);
        if self.cold_until.is_some_and(|until| now < until) {
            factor *= COLD_FACTOR;
        }
        work.mul_f64(factor)
    }

    /// Returns how many requests the target runs, if a report that has just arrived says so and its
    /// machine runs no other work.
    pub fn running(&self, now: Instant) -> Option<u32> {
        let (at, report) = self.report?;
        let is_new = now.saturating_duration_since(at) <= MAX_NEW_AGE;
        let is_clear = report.waiting == 0 && report.pace <= NORMAL_PACE;
        (is_new && is_clear).then_some(report.running + self.since_report)
    }

    /// Returns [`Self::expected`] plus the expected cost of a failure.
    pub fn cost(&self, now: Instant, work: Duration, slots: u32) -> Duration {
        self.expected(now, work, slots) + FAILURE_COST.mul_f64(self.failure_share(now))
    }

    /// Returns the extra time caused by the pace of the machine at the start of a request, which
    /// applies to all of its work. Another process usually slows a machine for a moment only, so
    /// the effect of a report decays with its age; a machine that was slow in all reports is
    /// expected to stay slow for as long again.
    fn noise(&self, now: Instant, service: Duration) -> Duration {
        let Some((at, report)) = self.report else {
            return Duration::ZERO;
        };
        let pace = f64::from(report.pace.max(1)) / 100.0;
        if pace <= 1.0 {
            return Duration::ZERO;
        }
        let age = now.saturating_duration_since(at);
        let delay = service.mul_f64(pace - 1.0);
        let slow_for = self
            .slow_since
            .map_or(Duration::ZERO, |since| at.saturating_duration_since(since));
        let duration = PACE_DURATION.max(slow_for);
        let remaining = (-age.as_secs_f64() / duration.as_secs_f64()).exp();
        delay.mul_f64(remaining)
    }

    /// Returns the slowness of the target, from attempts that ended and the ages of those in
    /// flight: the duration relative to the expected one, minus 1, so that 0 is normal.
    fn slowness(&self, now: Instant) -> f64 {
        let overdue = self.in_flight.iter().map(|(_, started, expected)| {
            let age = now.saturating_duration_since(*started).as_secs_f64();
            age / expected.as_secs_f64().max(0.001) - OVERDUE_FACTOR
        });
        let overdue = overdue.fold(0.0, f64::max).min(MAX_SLOWNESS);
        self.slowness.get(now).max(overdue)
    }
}
