//! Compares the policies with one ideal central queue in virtual time.

mod common;

use std::time::Duration;

use carobshore_lib::prelude::*;
use common::simulation::*;

/// Virtual seconds of one run. `CAROBSHORE_SIM_SECONDS` lengthens the runs for the figures of
/// `docs/design/routing.md`.
fn seconds() -> u64 {
    let set = std::env::var("CAROBSHORE_SIM_SECONDS").ok();
    set.map_or(20, |text| text.parse().expect("a number of seconds"))
}

fn scenario(policy: Option<Policy>, load: f64, sigma: f64, weather: Weather) -> Scenario {
    Scenario {
        policy,
        load,
        sigma,
        weather,
        repeatable: 0.8,
        time: Duration::from_secs(seconds()),
        seed: 1,
        hedge_permille: PoolSettings::default().hedge_permille,
    }
}

fn print(name: &str, load: f64, sigma: f64, weather: Weather, f: &Figures) {
    println!(
        "{name:<12} load {load:.2} sigma {sigma:.1} {weather:<10} p50 {:6.1} p99 {:7.1} p99.9 {:7.1} \
         n {} rejected {} spilled {} hedges {} probes {} ejections {}",
        f.p50,
        f.p99,
        f.p999,
        f.answered,
        f.rejected,
        f.spilled,
        f.hedges,
        f.probes,
        f.ejections,
        weather = format!("{weather:?}"),
    );
}

/// Guards against a routing policy whose tail is far from that of one central queue.
#[test]
fn homes_are_close_to_one_central_queue() {
    let only_homes = std::env::var("CAROBSHORE_SIM_HOMES").is_ok();
    let policies: &[Policy] = if only_homes {
        &[Policy::Homes]
    } else {
        &Policy::ALL
    };
    for weather in [Weather::Quiet, Weather::Straggler, Weather::Shifting] {
        for sigma in [0.6, 1.0] {
            for load in [0.5, 0.7, 0.85] {
                let ideal = run(&scenario(None, load, sigma, Weather::Quiet));
                print("ideal", load, sigma, Weather::Quiet, &ideal);
                for policy in policies {
                    let figures = run(&scenario(Some(*policy), load, sigma, weather));
                    print(policy.as_str(), load, sigma, weather, &figures);
                    println!(
                        "    ratio of p99 to the ideal {:.2}",
                        figures.p99 / ideal.p99
                    );
                }
            }
        }
    }
}
