//! Chooses the target of a request by asking a few targets for their load just before it is sent.
//!
//! Load changes within milliseconds, so a report that came with an earlier response is of little
//! use. A health check costs the target almost nothing, and its answer is only as old as the
//! one-way network delay. The number of checks grows with the requests, not with the number of VMs.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::domain_choice::crossing_price::CrossingPrice;
use crate::load_report::LoadReport;
use crate::target_estimator::NORMAL_PACE;
use crate::target_estimator::TargetEstimator;

/// The number of targets that are asked for their load at the same time.
pub const PARALLEL_CHECKS: usize = 3;
/// How long the answers of a round are waited for.
pub const ROUND_PATIENCE: Duration = Duration::from_millis(30);
/// The same for one target without a connection. Silent targets hold up a request no longer than they
/// would if they were asked together.
const CONNECT_PATIENCE: Duration = Duration::from_millis(30 / PARALLEL_CHECKS as u64);
/// Extra cost of a target to which the VM has no idle connection, if it prefers the target and if it
/// does not. The first one is below [`JITTER`], so that a VM with few requests asks all the targets
/// that it prefers now and then, also those that have just joined.
const PREFERRED_CONNECT_COST: Duration = Duration::from_millis(8);
const CONNECT_COST: Duration = Duration::from_millis(150);
/// Extra cost of a target whose announcement is missing.
const MISSING_COST: Duration = Duration::from_secs(10);
/// Random extra cost of up to this much, which spreads the load over targets that differ by less;
/// such differences are noise.
const JITTER: Duration = Duration::from_millis(15);
/// Maximum age of a report that still describes the target's state when a request starts.
const MAX_REPORT_AGE: Duration = Duration::from_millis(30);
/// Maximum share of failed attempts of a target that is chosen without asking others.
const MAX_FAILURE_SHARE: f64 = 0.15;

/// A target that may be chosen for a request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The estimates of the target's load and speed.
    pub estimator: &'a TargetEstimator,
    /// How many requests the target works on at the same time.
    pub slots: u32,
    /// Whether the target is in the VM's own failure domain.
    pub local: bool,
    /// The round-trip time to its domain, if that counts.
    pub round_trip: Duration,
    /// Whether an idle connection to the target is open.
    pub connected: bool,
    /// Whether the VM prefers the target and keeps a connection to it.
    pub preferred: bool,
    /// Whether the target's announcement is missing, so that it is the last choice.
    pub missing: bool,
}

/// The resources that a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The expected service time on an idle, quiet target.
    pub work: Duration,
    /// The size of the request and its response, in bytes.
    pub bytes: usize,
    /// The price of these bytes between failure domains.
    pub price: CrossingPrice,
}

/// Chooses among the candidate targets of a request.
#[derive(Debug)]
pub struct TargetSelector {
    rng: StdRng,
}

impl TargetSelector {
    /// Creates a chooser with its own random number generator.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the expected costs of the candidates with their indices, lowest first, which is the
    /// order in which to ask them.
    pub fn order(
        &mut self,
        now: Instant,
        demand: Demand,
        candidates: &[Candidate<'_>],
    ) -> Vec<(Duration, usize)> {
        let mut ranked: Vec<(Duration, usize)> = candidates
            .iter()
            .enumerate()
            .map(|(index, candidate)| {
                let jitter = JITTER.mul_f64(self.rng.random_range(0.0..1.0));
                (cost(now, demand, candidate) + jitter, index)
            })
            .collect();
        ranked.sort_unstable();
        ranked
    }

    /// Returns the index of the candidate with the lowest expected cost.
    pub fn best(
        &mut self,
        now: Instant,
        demand: Demand,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let order = self.order(now, demand, candidates);
        order.first().map(|(_, index)| *index)
    }
}

/// Targets that are asked for their load at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Round<'a> {
    /// Indices of the targets.
    pub targets: &'a [usize],
    /// How long to wait for their answers before the targets of the next round are asked as well.
    pub patience: Duration,
}

/// Divides targets into rounds. Those without an idle connection are asked one by one, because most
/// new connections that are opened for a question serve no request; the next one is asked soon if
/// such a target is silent. `targets` are indices in the order in which to ask.
pub fn rounds(targets: &[usize], is_connected: impl Fn(usize) -> bool) -> Vec<Round<'_>> {
    let mut rounds = Vec::new();
    let mut rest = targets;
    while !rest.is_empty() {
        let connected = rest.iter().take_while(|index| is_connected(**index));
        let count = connected.take(PARALLEL_CHECKS).count();
        let (targets, later) = rest.split_at(count.max(1));
        let patience = match count > 0 || later.is_empty() {
            true => ROUND_PATIENCE,
            false => CONNECT_PATIENCE,
        };
        rounds.push(Round { targets, patience });
        rest = later;
    }
    rounds
}

/// Returns whether a target that was just asked is good enough to be chosen without asking others:
/// idle, not slowed down, and without many failures.
pub fn is_ideal(now: Instant, estimator: &TargetEstimator) -> bool {
    let quiet = estimator
        .last_report()
        .is_some_and(|(_, report)| is_quiet(report));
    quiet && estimator.own_in_flight() == 0 && estimator.failure_share(now) < MAX_FAILURE_SHARE
}

/// Returns whether a request that starts now finds an idle, quiet target, by a recent enough
/// report. The duration of such a request is that of the work itself.
pub fn was_ideal(now: Instant, report: Option<(Instant, LoadReport)>) -> bool {
    is_recent(now, report) && report.is_some_and(|(_, report)| is_quiet(report))
}

/// Returns whether a report still describes the target's state.
pub fn is_recent(now: Instant, report: Option<(Instant, LoadReport)>) -> bool {
    report.is_some_and(|(at, _)| now.saturating_duration_since(at) <= MAX_REPORT_AGE)
}

fn is_quiet(report: LoadReport) -> bool {
    report.is_idle() && report.pace <= NORMAL_PACE
}

/// Returns the expected duration of a request on a target plus its other costs, expressed as time.
pub fn cost(now: Instant, demand: Demand, candidate: &Candidate<'_>) -> Duration {
    let mut cost = candidate.estimator.cost(now, demand.work, candidate.slots);
    cost += match (candidate.connected, candidate.preferred) {
        (true, _) => Duration::ZERO,
        (false, true) => PREFERRED_CONNECT_COST,
        (false, false) => CONNECT_COST,
    };
    if candidate.missing {
        cost += MISSING_COST;
    }
    if !candidate.local {
        cost += candidate.round_trip + demand.price.delay(demand.bytes);
    }
    cost
}
