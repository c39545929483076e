//! The routing policies keep the tail latency that the users ask for.
//!
//! The bounds are the project's targets. All figures are of virtual time.

use std::time::Duration;

use carobshore_lib::prelude::Policy;
use carobshore_load::sim_matrix;
use carobshore_load::sim_result::SimResult;
use carobshore_load::sim_size::Size;
use carobshore_load::sim_size::TAWE;
use carobshore_load::sim_spec::Routing;
use carobshore_load::sim_spec::Scenario;
use carobshore_load::sim_spec::SimSpec;

const RANDOM: Routing = Routing::Policy(Policy::Random);
const HOMES: Routing = Routing::Policy(Policy::Homes);
const SIGMAS: [f64; 2] = [0.6, 1.0];

fn run(size: Size, scenario: Scenario, sigma: f64, load: f64, routing: Routing) -> SimResult {
    let spec = SimSpec {
        size,
        scenario,
        load,
        mean: Duration::from_millis(20),
        sigma,
        idempotent: 0.8,
        length: Duration::from_secs(20),
        seed: 1,
        heartbeats: 4,
        homes_per_domain: 1,
    };
    sim_matrix::run_one(&spec, routing)
}

/// Returns how many times longer the 99th percentile of `homes` is than that of an ideal queue
/// that never has a straggler.
fn ratio(size: Size, scenario: Scenario, sigma: f64) -> f64 {
    let ideal = run(size, Scenario::Quiet, sigma, 0.7, Routing::Central);
    let homes = run(size, scenario, sigma, 0.7, HOMES);
    assert_eq!((homes.rejected, homes.lost), (0, 0));
    homes.p99().as_secs_f64() / ideal.p99().as_secs_f64()
}

/// Guards against a routing policy whose tail is far from that of one central queue.
#[test]
fn homes_are_close_to_one_central_queue() {
    for (scenario, bound) in [(Scenario::Quiet, 1.3), (Scenario::Straggler, 2.0)] {
        for sigma in SIGMAS {
            let ratio = ratio(TAWE, scenario, sigma);
            assert!(ratio <= bound, "{scenario} sigma {sigma}: {ratio:.2}");
        }
    }
}

/// Guards against a straggler that a home of two targets cannot eject, because one third of two is
/// none.
#[test]
fn homes_of_two_targets_withstand_a_straggler() {
    let size = Size { targets: 6, ..TAWE };
    for sigma in SIGMAS {
        let ratio = ratio(size, Scenario::Straggler, sigma);
        assert!(ratio <= 2.0, "sigma {sigma}: {ratio:.2}");
    }
}

/// Guards against a policy that is not worth its added hop. In quiet weather the ideal queue itself
/// has more than half of the random policy's tail, so the bound applies with a straggler.
#[test]
fn homes_have_at_most_half_of_the_tail_of_random_with_a_straggler() {
    for sigma in SIGMAS {
        let random = run(TAWE, Scenario::Straggler, sigma, 0.7, RANDOM);
        let homes = run(TAWE, Scenario::Straggler, sigma, 0.7, HOMES);
        assert!(homes.p99() * 2 <= random.p99(), "sigma {sigma}");
    }
}

/// Guards against a policy that loses requests at high load.
#[test]
fn no_policy_rejects_at_high_load() {
    for routing in Routing::ALL {
        let result = run(TAWE, Scenario::Noise, 1.0, 0.85, routing);
        assert_eq!((result.rejected, result.lost), (0, 0), "{routing}");
    }
}
