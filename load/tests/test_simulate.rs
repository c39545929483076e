//! The simulation agrees with theory where there is one, and its conditions take effect.

use std::path::Path;
use std::time::Duration;

use carobshore_lib::prelude::Policy;
use carobshore_load::sim_domains;
use carobshore_load::sim_domains::DomainRouting;
use carobshore_load::sim_domains::DomainSpec;
use carobshore_load::sim_matrix;
use carobshore_load::sim_matrix::Comparison;
use carobshore_load::sim_plot;
use carobshore_load::sim_report;
use carobshore_load::sim_result::SimResult;
use carobshore_load::sim_result::largest_window;
use carobshore_load::sim_size::Size;
use carobshore_load::sim_size::TAWE;
use carobshore_load::sim_spec::Routing;
use carobshore_load::sim_spec::Scenario;
use carobshore_load::sim_spec::SimSpec;
use carobshore_load::sim_spec::WARM_UP;
use carobshore_load::sim_workload;

const MEAN: Duration = Duration::from_millis(20);
const RANDOM: Routing = Routing::Policy(Policy::Random);
const HOMES: Routing = Routing::Policy(Policy::Homes);

fn spec(scenario: Scenario) -> SimSpec {
    SimSpec {
        size: TAWE,
        scenario,
        load: 0.5,
        mean: MEAN,
        sigma: 0.6,
        idempotent: 0.8,
        length: Duration::from_secs(8),
        seed: 3,
        heartbeats: 4,
        homes_per_domain: 1,
    }
}

/// Guards against requests that the simulation forgets, which would hide its longest latencies.
#[test]
fn every_request_is_accounted_for_in_every_scenario() {
    for scenario in Scenario::ALL {
        let spec = spec(scenario);
        let jobs = sim_workload::draw(&spec);
        let counted = jobs.iter().filter(|job| job.at >= WARM_UP).count() as u64;
        for routing in Routing::ALL {
            let result = sim_matrix::run_one(&spec, routing);
            let sum = result.latencies.count() + result.rejected + result.lost;
            assert_eq!(sum, counted, "{scenario} {routing}: {result:?}");
            assert_eq!(result.open, 0, "{scenario} {routing}");
        }
    }
}

/// Waiting in front of one server with equal service times and Poisson arrivals is known exactly:
/// rho / (2 (1 - rho)) service times.
#[test]
fn one_server_waits_as_long_as_queueing_theory_says() {
    let size = Size {
        vms: 1,
        domains: 1,
        targets: 1,
        slots: 1,
        near: Duration::ZERO,
        far: Duration::ZERO,
        ..TAWE
    };
    let spec = SimSpec {
        size,
        load: 0.7,
        sigma: 0.0,
        idempotent: 0.0,
        length: Duration::from_secs(2000),
        ..spec(Scenario::Quiet)
    };
    let expected = MEAN.mul_f64(1.0 + 0.7 / (2.0 * 0.3)).as_secs_f64();
    for routing in Routing::ALL {
        let mean = sim_matrix::run_one(&spec, routing)
            .latencies
            .mean()
            .as_secs_f64();
        assert!(
            (mean / expected - 1.0).abs() < 0.05,
            "{routing}: {mean} s, expected {expected} s"
        );
    }
}

#[test]
fn equal_seeds_give_equal_results() {
    let run = |seed| {
        let spec = SimSpec {
            seed,
            ..spec(Scenario::DomainGone)
        };
        format!("{:?}", sim_matrix::run_one(&spec, HOMES))
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

/// Guards against scenarios that have no effect, under which every policy would look good.
#[test]
fn stragglers_noise_and_lost_domains_hurt_random_routing() {
    let run = |scenario| sim_matrix::run_one(&spec(scenario), RANDOM);
    let quiet = run(Scenario::Quiet);
    assert_eq!((quiet.rejected, quiet.lost), (0, 0));
    assert!(run(Scenario::Straggler).p99() > quiet.p99() * 3);
    let (noisy, calm) = (
        run(Scenario::Noise).latencies.mean(),
        quiet.latencies.mean(),
    );
    assert!(noisy > calm.mul_f64(1.5), "{noisy:?} {calm:?}");
    let gone = run(Scenario::DomainGone);
    assert!(gone.lost > 0 && gone.rejected > 0, "{gone:?}");
}

#[test]
fn new_work_on_a_draining_target_is_noticed() {
    let result = sim_matrix::run_one(&spec(Scenario::Drain), RANDOM);
    assert!(result.drain_delay > Duration::ZERO);
    assert_eq!(
        sim_matrix::run_one(&spec(Scenario::Quiet), RANDOM).drain_delay,
        Duration::ZERO
    );
}

#[test]
fn the_cost_of_probes_is_summed_up_over_sliding_windows() {
    let millis = Duration::from_millis;
    let costs = [0, 500, 999, 1000, 1400, 3000].map(|at| (millis(at), millis(6)));
    assert_eq!(largest_window(&costs), millis(24));
    assert_eq!(largest_window(&costs[..4]), millis(18));
    assert_eq!(largest_window(&[]), Duration::ZERO);
}

fn result(millis: u64, measured: u64) -> SimResult {
    let mut result = SimResult::default();
    result.latencies.record(Duration::from_millis(millis));
    result.measured = Duration::from_millis(measured);
    result
}

/// A report that never misses a target would say nothing.
#[test]
fn targets_that_are_not_met_are_reported_as_missed() {
    let comparison = |homes, measured| Comparison {
        spec: SimSpec {
            load: 0.7,
            ..spec(Scenario::Quiet)
        },
        results: vec![
            result(100, 0),
            result(300, 0),
            result(200, 0),
            result(homes, measured),
        ],
    };
    let passes = |comparison| {
        let checks = sim_report::checks(&[comparison]);
        checks
            .iter()
            .map(|check| check.passes())
            .collect::<Vec<_>>()
    };
    assert_eq!(passes(comparison(125, 30)), [true, true, true]);
    assert_eq!(passes(comparison(140, 30)), [false, true, true]);
    assert_eq!(passes(comparison(160, 36)), [false, false, false]);
    let checks = sim_report::checks(&[comparison(160, 36)]);
    assert!(checks[0].to_string().starts_with("MISS"), "{}", checks[0]);
}

#[test]
fn the_table_and_the_plot_show_every_routing() {
    let spec = SimSpec {
        length: Duration::from_secs(1),
        ..spec(Scenario::Quiet)
    };
    let specs = [0.5, 0.7].map(|load| SimSpec { load, ..spec });
    let comparisons = sim_matrix::run_all(&specs, 2, 2);
    let table = sim_report::table(&comparisons).to_string();
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("plot.svg");
    sim_plot::draw(&comparisons, &path).unwrap();
    let plot = std::fs::read_to_string(path).unwrap();
    for routing in Routing::ALL {
        assert!(table.contains(&routing.to_string()));
        assert!(plot.contains(&routing.to_string()));
    }
}

/// Guards against domains that exchange requests which their own targets serve at once, and against a
/// comparison on different arrivals.
#[test]
fn below_their_capacity_domains_exchange_requests_by_cost_but_not_by_share() {
    let spec = DomainSpec {
        load: 0.3,
        mean: Duration::from_millis(430),
        sigma: 0.6,
        length: Duration::from_secs(8),
        seed: 3,
    };
    let run = |routing| sim_domains::run(&spec, routing);
    let (cost, share) = (run(DomainRouting::Cost), run(DomainRouting::Share));
    assert_eq!(cost.latencies.count(), share.latencies.count());
    assert!(cost.crossed > 0);
    assert_eq!(share.crossed, 0);
}
