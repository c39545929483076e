//! Compares the policies with one ideal central queue in virtual time.

mod common;

use std::time::Duration;

use carobshore_lib::prelude::*;
use common::simulation::*;

/// Returns a number from the environment. The figures of `docs/design/routing.md` come from longer
/// runs than those of the test suite.
fn setting(name: &str, default: u64) -> u64 {
    let set = std::env::var(format!("CAROBSHORE_SIM_{name}")).ok();
    set.map_or(default, |text| text.parse().expect("a whole number"))
}

fn policies() -> Vec<Policy> {
    let set = std::env::var("CAROBSHORE_SIM_POLICY").ok();
    set.map_or(Policy::ALL.to_vec(), |text| {
        vec![text.parse().expect("a policy")]
    })
}

/// Returns the mean over all seeds of the 99th and the 99.9th percentile, and the summed counts.
fn measure(policy: Option<Policy>, load: f64, sigma: f64, weather: Weather) -> Figures {
    let targets = setting("TARGETS", 16) as usize;
    measure_targets(policy, load, sigma, weather, targets)
}

fn measure_targets(
    policy: Option<Policy>,
    load: f64,
    sigma: f64,
    weather: Weather,
    targets: usize,
) -> Figures {
    let one = |seed: u64| {
        run(&Scenario {
            policy,
            load,
            sigma,
            weather,
            repeatable: setting("REPEATABLE_PERCENT", 80) as f64 / 100.0,
            targets,
            time: Duration::from_secs(setting("SECONDS", 20)),
            seed,
            hedge_permille: PoolSettings::default().hedge_permille,
        })
    };
    let all: Vec<Figures> = std::thread::scope(|scope| {
        let runs: Vec<_> = (1..=setting("SEEDS", 1))
            .map(|seed| scope.spawn(move || one(seed)))
            .collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    let mean = |f: fn(&Figures) -> f64| all.iter().map(f).sum::<f64>() / all.len() as f64;
    let figures = Figures {
        p50: mean(|f| f.p50),
        p99: mean(|f| f.p99),
        p999: mean(|f| f.p999),
        answered: all.iter().map(|f| f.answered).sum(),
        rejected: all.iter().map(|f| f.rejected).sum(),
        spilled: all.iter().map(|f| f.spilled).sum(),
        hedges: all.iter().map(|f| f.hedges).sum(),
        probes: all.iter().map(|f| f.probes).sum(),
        ejections: all.iter().map(|f| f.ejections).sum(),
    };
    let name = policy.map_or("ideal", Policy::as_str);
    println!(
        "{name:<12} {load:.2} {sigma:.1} {weather:<10} p50 {:6.1} p99 {:7.1} p99.9 {:7.1} n {} \
         rejected {} spilled {} hedges {} probes {} ejections {}",
        figures.p50,
        figures.p99,
        figures.p999,
        figures.answered,
        figures.rejected,
        figures.spilled,
        figures.hedges,
        figures.probes,
        figures.ejections,
        weather = format!("{weather:?}"),
    );
    figures
}

/// Guards against a routing policy whose tail is far from that of one central queue. The bounds
/// are the project's targets; the ideal queue never has a straggler.
#[test]
fn homes_are_close_to_one_central_queue() {
    for (weather, bound) in [(Weather::Quiet, 1.3), (Weather::Straggler, 2.0)] {
        for sigma in [0.6, 1.0] {
            let ideal = measure(None, 0.7, sigma, Weather::Quiet);
            let homes = measure(Some(Policy::Homes), 0.7, sigma, weather);
            let ratio = homes.p99 / ideal.p99;
            assert!(
                ratio <= bound,
                "{weather:?} sigma {sigma}: {ratio:.2} times the ideal"
            );
            assert_eq!(homes.rejected, 0);
        }
    }
}

/// Guards against a straggler that a home of two targets cannot eject, because one third of two is
/// none.
#[test]
fn homes_of_two_targets_withstand_a_straggler() {
    for sigma in [0.6, 1.0] {
        let ideal = measure_targets(None, 0.7, sigma, Weather::Quiet, 6);
        let homes = measure_targets(Some(Policy::Homes), 0.7, sigma, Weather::Straggler, 6);
        let ratio = homes.p99 / ideal.p99;
        assert!(ratio <= 2.0, "sigma {sigma}: {ratio:.2} times the ideal");
    }
}

/// Guards against a policy that is not worth its added hop. In quiet weather the ideal queue itself
/// has more than half of the random policy's tail, so the bound applies with a straggler.
#[test]
fn homes_have_at_most_half_of_the_tail_of_random_with_a_straggler() {
    for sigma in [0.6, 1.0] {
        let random = measure(Some(Policy::Random), 0.7, sigma, Weather::Straggler);
        let homes = measure(Some(Policy::Homes), 0.7, sigma, Weather::Straggler);
        let share = homes.p99 / random.p99;
        assert!(share <= 0.5, "sigma {sigma}: {share:.2} of random's");
    }
}

/// Prints the whole comparison for `docs/design/routing.md` when `CAROBSHORE_SIM_SEEDS` is set, and
/// guards in any case against a policy that loses requests at high load.
#[test]
fn no_policy_rejects_at_high_load() {
    let full = std::env::var("CAROBSHORE_SIM_SEEDS").is_ok();
    let all_loads = if full {
        vec![0.5, 0.7, 0.85]
    } else {
        vec![0.85]
    };
    let sigmas = if full { vec![0.6, 1.0] } else { vec![1.0] };
    let weathers = [Weather::Quiet, Weather::Straggler, Weather::Shifting];
    for weather in if full { &weathers[..] } else { &weathers[2..] } {
        for sigma in &sigmas {
            for load in &all_loads {
                let ideal = measure(None, *load, *sigma, Weather::Quiet);
                for policy in policies() {
                    let figures = measure(Some(policy), *load, *sigma, *weather);
                    println!("    ratio {:.2}", figures.p99 / ideal.p99);
                    assert_eq!(figures.rejected, 0, "{policy} {weather:?} {sigma} {load}");
                }
            }
        }
    }
}
