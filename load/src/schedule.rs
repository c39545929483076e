//! Arrival times that are fixed before the load starts.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::Exp;

use crate::arrival::Arrival;
use crate::mix::Mix;

/// The most requests in one schedule.
pub const MAX_ARRIVALS: usize = 5_000_000;

/// What a schedule is drawn from.
#[derive(Clone, Debug)]
pub struct ScheduleSpec {
    /// The seed; equal seeds give equal schedules.
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    /// How long requests arrive.
    pub length: Duration,
    /// The kinds of requests.
    pub mix: Mix,
    /// The number of entry VMs.
    pub entries: usize,
    /// The number of services.
    pub services: usize,
}

/// Draws Poisson arrivals in the order of time.
pub fn draw(spec: &ScheduleSpec) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(spec.seed);
    let Ok(gaps) = Exp::new(spec.rate) else {
        return Vec::new();
    };
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    loop {
        at += gaps.sample(&mut random);
        if at >= spec.length.as_secs_f64() || arrivals.len() >= MAX_ARRIVALS {
            return arrivals;
        }
        arrivals.push(Arrival {
            index: arrivals.len(),
            at: Duration::from_secs_f64(at),
            kind: spec.mix.draw(&mut random),
            entry: random.random_range(0..spec.entries.max(1)),
            service: random.random_range(0..spec.services.max(1)),
        });
    }
}
