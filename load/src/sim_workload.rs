//! The requests of a simulation, equal for all routings.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;

use crate::sim_conditions::NOISE_MOST;
use crate::sim_spec::Scenario;
use crate::sim_spec::SimSpec;

/// Callers that take turns in the queues.
const CALLERS: u64 = 40;

/// One request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// When the request arrives at its entry VM.
    pub at: Duration,
    /// The entry VM that the platform's load balancer picks.
    pub entry: usize,
    /// The slot time that the request takes on a healthy target.
    pub work: Duration,
    /// Who makes the request.
    pub caller: u64,
    /// Whether the request is idempotent.
    pub idempotent: bool,
}

/// Returns the requests per second that give the load.
pub fn rate(spec: &SimSpec) -> f64 {
    let slots = f64::from(spec.size.all_slots());
    let share = match spec.scenario {
        // A domain's targets are gone, and the load is that of the others.
        Scenario::DomainGone => 1.0 - 1.0 / spec.size.domains as f64,
        // Slowdowns are spread evenly between 1 and the most, so this is the mean speed.
        Scenario::Noise => NOISE_MOST.ln() / (NOISE_MOST - 1.0),
        Scenario::Quiet | Scenario::Straggler | Scenario::Drain => 1.0,
    };
    spec.load * slots * share / spec.mean.as_secs_f64()
}

/// Draws Poisson arrivals with log-normal work.
pub fn draw(spec: &SimSpec) -> Vec<Job> {
    let mut random = StdRng::seed_from_u64(spec.seed);
    let mu = spec.mean.as_secs_f64().ln() - spec.sigma * spec.sigma / 2.0;
    let (Ok(gaps), Ok(work)) = (Exp::new(rate(spec)), LogNormal::new(mu, spec.sigma)) else {
        return Vec::new();
    };
    let mut at = 0.0;
    let mut jobs = Vec::new();
    loop {
        at += gaps.sample(&mut random);
        if at >= spec.end().as_secs_f64() {
            return jobs;
        }
        jobs.push(Job {
            at: Duration::from_secs_f64(at),
            entry: random.random_range(0..spec.size.vms),
            work: Duration::from_secs_f64(work.sample(&mut random)),
            caller: random.random_range(0..CALLERS),
            idempotent: random.random_bool(spec.idempotent),
        });
    }
}
