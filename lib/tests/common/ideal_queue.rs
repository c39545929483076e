//! One ideal central queue, with which the policies are compared.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;

use super::simulation::*;

/// Sorts the response times and returns their percentiles in milliseconds.
pub fn quantiles(mut times: Vec<f64>) -> Figures {
    times.sort_by(f64::total_cmp);
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize] * 1_000.0;
    Figures {
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
        answered: times.len(),
        ..Figures::default()
    }
}

/// One queue in front of all slots, without any delay. It does not know which target is slow.
pub fn run_central(scenario: &Scenario) -> Figures {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let work = work(scenario.sigma);
    let rate = scenario.load * f64::from(SLOTS) * scenario.targets as f64 / MEAN;
    let end = (WARM_UP + scenario.time).as_secs_f64();
    // Each entry is the time at which a slot gets free, in nanoseconds, and its target.
    let mut slots: BinaryHeap<Reverse<(u64, usize)>> = (0..scenario.targets * SLOTS as usize)
        .map(|slot| Reverse((0, slot / SLOTS as usize)))
        .collect();
    let (mut now, mut times) = (0.0, Vec::new());
    let (mut factor, mut shift_end) = (1.0, 0.0);
    let (mut slow, mut slow_end) = (None, 0.0);
    while now < end {
        if scenario.weather == Weather::Shifting && now >= shift_end {
            let sum: f64 = (0..VMS).map(|_| rng.random_range(0.0..2.0)).sum();
            factor = sum / VMS as f64;
            shift_end = now + SHIFT.as_secs_f64();
        }
        now += -(1.0 - rng.random::<f64>()).ln() / (rate * factor);
        let Reverse((free, target)) = slots.pop().unwrap();
        let start = now.max(free as f64 / 1e9);
        if scenario.weather == Weather::Straggler && start >= slow_end {
            slow = if slow.is_none() {
                Some(rng.random_range(0..scenario.targets))
            } else {
                None
            };
            slow_end = start + if slow.is_some() { 2.0 } else { 1.0 };
        }
        let factor = if slow == Some(target) { SLOWDOWN } else { 1.0 };
        let done = start + work.sample(&mut rng) * factor;
        slots.push(Reverse(((done * 1e9) as u64, target)));
        if now >= WARM_UP.as_secs_f64() {
            times.push(done - now);
        }
    }
    quantiles(times)
}
