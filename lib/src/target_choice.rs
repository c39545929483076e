//! Chooses the target of a request by asking a few targets for their load just before it is sent.
//!
//! Load changes within milliseconds, so a report that came with an earlier response says little. A
//! health check costs the target next to nothing and its answer is only as old as the way back.
//! The number of checks follows the requests, not the number of VMs.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::load_report::LoadReport;
use crate::target_estimator::NORMAL_PACE;
use crate::target_estimator::TargetEstimator;

/// How many targets are asked at the same time.
pub const PARALLEL_CHECKS: usize = 3;
/// Extra cost of a target without an idle connection that the VM does not prefer.
const CONNECT_COST: Duration = Duration::from_millis(150);
/// Extra cost of a target whose announcement is missing.
const MISSING_COST: Duration = Duration::from_secs(10);
/// Extra cost of a target in another failure domain, per KiB that crosses, and its bound.
const CROSSING_COST_PER_KIB: Duration = Duration::from_millis(2);
const MOST_CROSSING_COST: Duration = Duration::from_millis(150);
/// Differences below this are noise; the choice among equals spreads the load.
const JITTER: Duration = Duration::from_millis(15);
/// Age up to which a report tells how a request found its target.
const TELLING: Duration = Duration::from_millis(30);
/// The largest share of failed attempts of a target that is taken without a look at others.
const SOUND: f64 = 0.15;

/// A target that may get the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// What is known about it.
    pub estimator: &'a TargetEstimator,
    /// How many requests it works on at the same time.
    pub slots: u32,
    /// Whether it is in the VM's own failure domain.
    pub local: bool,
    /// Whether an idle connection is open.
    pub connected: bool,
    /// Whether the VM prefers the target and keeps a connection to it.
    pub preferred: bool,
    /// Whether its announcement is missing, so that it is the last choice.
    pub missing: bool,
}

/// What a request brings along.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The time that it takes on an idle, quiet target.
    pub work: Duration,
    /// The bytes of request and response.
    pub bytes: usize,
}

/// Chooses targets.
#[derive(Debug)]
pub struct TargetChoice {
    rng: StdRng,
}

impl TargetChoice {
    /// Builds a chooser with its own random numbers.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns what the candidates are expected to cost and their indices, in the order in which
    /// they should be asked.
    pub fn order(
        &mut self,
        now: Instant,
        demand: Demand,
        candidates: &[Candidate<'_>],
    ) -> Vec<(Duration, usize)> {
        let mut ranked: Vec<(Duration, usize)> = candidates
            .iter()
            .enumerate()
            .map(|(at, candidate)| {
                let jitter = JITTER.mul_f64(self.rng.random_range(0.0..1.0));
                (cost(now, demand, candidate) + jitter, at)
            })
            .collect();
        ranked.sort_unstable();
        ranked
    }

    /// Returns the index of the best candidate among those that were asked.
    pub fn best(
        &mut self,
        now: Instant,
        demand: Demand,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let order = self.order(now, demand, candidates);
        order.first().map(|(_, at)| *at)
    }
}

/// Returns whether a target that was just asked is so good that no other need be looked at.
pub fn is_ideal(now: Instant, estimator: &TargetEstimator) -> bool {
    let quiet = estimator
        .last_report()
        .is_some_and(|(_, report)| is_quiet(report));
    quiet && estimator.own_in_flight() == 0 && estimator.failure_share(now) < SOUND
}

/// Returns whether a request that started now found an idle, quiet target, by a report that is
/// young enough to tell. Its time shows how long the work itself takes.
pub fn was_ideal(now: Instant, report: Option<(Instant, LoadReport)>) -> bool {
    let young = |at| now.saturating_duration_since(at) <= TELLING;
    report.is_some_and(|(at, report)| young(at) && is_quiet(report))
}

fn is_quiet(report: LoadReport) -> bool {
    report.is_idle() && report.pace <= NORMAL_PACE
}

/// Returns how long a request is expected to take at a target, with what it costs beside time.
pub fn cost(now: Instant, demand: Demand, candidate: &Candidate<'_>) -> Duration {
    let mut cost = candidate.estimator.cost(now, demand.work, candidate.slots);
    if !candidate.connected && !candidate.preferred {
        cost += CONNECT_COST;
    }
    if candidate.missing {
        cost += MISSING_COST;
    }
    if !candidate.local {
        let kib = demand.bytes as f64 / 1024.0;
        cost += CROSSING_COST_PER_KIB.mul_f64(kib).min(MOST_CROSSING_COST);
    }
    cost
}
