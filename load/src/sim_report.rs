//! The table of a comparison and its targets.

use std::fmt;
use std::time::Duration;

use carobshore_lib::prelude::Policy;
use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;

use crate::sim_matrix::Comparison;
use crate::sim_result::SimResult;
use crate::sim_spec::Routing;
use crate::sim_spec::Scenario;
use crate::summary::millis;

/// The load at which latencies are held against their targets.
const JUDGED_LOAD: f64 = 0.7;

/// Homes' p99 over that of the central queue when nothing happens.
const MAX_QUIET: f64 = 1.3;

/// Homes' p99 over that of the central queue with a straggler.
const MAX_STRAGGLER: f64 = 2.0;

/// Homes' p99 over that of random routing.
const MAX_OF_RANDOM: f64 = 0.5;

/// A leaving target gets no new work after this time.
const MAX_DRAIN: Duration = Duration::from_secs(3);

const HOMES: Routing = Routing::Policy(Policy::Homes);
const RANDOM: Routing = Routing::Policy(Policy::Random);

/// One target and whether it is met.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    /// What is compared.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// The largest value that meets the target.
    pub limit: f64,
}

impl Check {
    /// Returns whether the target is met.
    pub fn passes(&self) -> bool {
        self.value <= self.limit
    }
}

impl fmt::Display for Check {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.passes() { "pass" } else { "MISS" };
        write!(
            f,
            "{verdict}  {}: {:.2}, at most {:.2}",
            self.name, self.value, self.limit
        )
    }
}

/// Returns the table of all comparisons.
pub fn table(comparisons: &[Comparison]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED);
    table.set_header([
        "size",
        "scenario",
        "load",
        "routing",
        "p50",
        "p99",
        "p99.9",
        "p99/central",
        "answered",
        "not run",
        "lost",
        "open",
        "spills",
        "hedges",
        "probes ms/s",
        "of budget",
        "slots ms/s",
    ]);
    for comparison in comparisons {
        let central = comparison.result(Routing::Central);
        for (routing, result) in Routing::ALL.iter().zip(&comparison.results) {
            table.add_row(row(comparison, *routing, result, central));
        }
    }
    table
}

fn row(
    comparison: &Comparison,
    routing: Routing,
    result: &SimResult,
    central: &SimResult,
) -> Vec<String> {
    let spec = &comparison.spec;
    let quantile = |share| format!("{:.1}", millis(result.latencies.quantile(share)));
    vec![
        spec.size.name.to_owned(),
        spec.scenario.to_string(),
        format!("{:.0}%", spec.load * 100.0),
        routing.to_string(),
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        format!("{:.2}", ratio(result.p99(), central.p99())),
        result.latencies.count().to_string(),
        result.rejected.to_string(),
        result.lost.to_string(),
        result.open.to_string(),
        result.spilled.to_string(),
        result.hedges.to_string(),
        format!("{:.0}", millis(result.measured)),
        format!("{:.0}%", 100.0 * ratio(result.measured, spec.size.budget)),
        format!("{:.0}", millis(result.measured_slots)),
    ]
}

fn ratio(value: Duration, base: Duration) -> f64 {
    value.as_secs_f64() / base.as_secs_f64()
}

/// Returns the targets that the comparisons allow to judge.
pub fn checks(comparisons: &[Comparison]) -> Vec<Check> {
    comparisons.iter().flat_map(checks_of).collect()
}

fn checks_of(comparison: &Comparison) -> Vec<Check> {
    let spec = &comparison.spec;
    let name = format!(
        "{} {} {:.0}%",
        spec.size.name,
        spec.scenario,
        spec.load * 100.0
    );
    let mut checks = Vec::new();
    let mut add = |what: &str, value, limit| {
        let name = format!("{name}, {what}");
        checks.push(Check { name, value, limit });
    };
    let homes = comparison.result(HOMES);
    let over = |routing| ratio(homes.p99(), comparison.result(routing).p99());
    if (spec.load - JUDGED_LOAD).abs() < 1e-9 {
        match spec.scenario {
            Scenario::Quiet => add(
                "p99 of homes over central",
                over(Routing::Central),
                MAX_QUIET,
            ),
            Scenario::Straggler => {
                add(
                    "p99 of homes over central",
                    over(Routing::Central),
                    MAX_STRAGGLER,
                );
            }
            _ => {}
        }
        if matches!(spec.scenario, Scenario::Quiet | Scenario::Straggler) {
            // The ideal queue shows what can be reached at all.
            let central = comparison.result(Routing::Central).p99();
            let ideal = ratio(central, comparison.result(RANDOM).p99());
            let name = format!("p99 of homes over random (central: {ideal:.2})");
            add(&name, over(RANDOM), MAX_OF_RANDOM);
        }
    }
    let budget = ratio(homes.measured, spec.size.budget);
    add("cost of probes over budget", budget, 1.0);
    if spec.scenario == Scenario::Drain {
        let delay = homes.drain_delay.as_secs_f64();
        add(
            "last new work after the drain began, s",
            delay,
            MAX_DRAIN.as_secs_f64(),
        );
    }
    checks
}
