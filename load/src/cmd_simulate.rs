//! The subcommand `simulate`.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use eyre::ensure;

use crate::sim_domain_report;
use crate::sim_domains;
use crate::sim_domains::DomainRouting;
use crate::sim_domains::DomainSpec;
use crate::sim_matrix;
use crate::sim_plot;
use crate::sim_report;
use crate::sim_size::SHAMAA;
use crate::sim_size::TAWE;
use crate::sim_spec::Scenario;
use crate::sim_spec::SimSpec;

/// The longest simulation, in virtual seconds.
const MAX_SECONDS: f64 = 3600.0;

/// Compares random routing, two choices, homes and one ideal central queue in virtual time.
#[derive(Clone, Debug, Args)]
pub struct SimulateArgs {
    /// Installation, `tawe` or `shamaa`; all if not given.
    #[arg(long, value_parser = ["tawe", "shamaa"])]
    pub size: Option<String>,

    /// Scenario: quiet, straggler, noise, domain-gone or drain; may be repeated, all if not given.
    #[arg(long = "scenario")]
    pub scenarios: Vec<Scenario>,

    /// Load as a share of the slots; may be repeated.
    #[arg(long = "load", default_values_t = [0.5, 0.7, 0.85])]
    pub loads: Vec<f64>,

    /// Mean service time in milliseconds.
    #[arg(long, default_value_t = 20.0)]
    pub mean_ms: f64,

    /// Sigma of the log-normal service times.
    #[arg(long, default_value_t = 0.6)]
    pub sigma: f64,

    /// Share of requests that are idempotent.
    #[arg(long, default_value_t = 0.8)]
    pub idempotent: f64,

    /// Virtual seconds for which requests arrive after the warm-up.
    #[arg(long, default_value_t = 30.0)]
    pub seconds: f64,

    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,

    /// Runs with different seeds whose latencies are put together.
    #[arg(long, default_value_t = 2)]
    pub seeds: u64,

    /// VMs with which each VM exchanges heartbeats per second.
    #[arg(long, default_value_t = 4)]
    pub heartbeats: usize,

    /// Homes of the service in each failure domain.
    #[arg(long, default_value_t = 1)]
    pub homes_per_domain: u32,

    /// Threads.
    #[arg(long, default_value_t = 4)]
    pub threads: usize,

    /// Compares ways to choose among three failure domains whose demand swings, instead of the ways to
    /// choose among targets. Uses the load, mean, sigma, seconds, seed and plot.
    #[arg(long)]
    pub domains: bool,

    /// File for the plot, in SVG.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

impl SimulateArgs {
    /// Returns the conditions to compare under.
    pub fn specs(&self) -> eyre::Result<Vec<SimSpec>> {
        ensure!(
            self.loads.iter().all(|load| *load > 0.0 && *load < 1.0),
            "--load has to be between 0 and 1"
        );
        ensure!(
            self.seconds > 0.0 && self.seconds <= MAX_SECONDS,
            "--seconds has to be between 0 and {MAX_SECONDS}"
        );
        ensure!(self.mean_ms > 0.0, "--mean-ms has to be above 0");
        ensure!(
            (0.0..=3.0).contains(&self.sigma),
            "--sigma has to be from 0 to 3"
        );
        ensure!(
            (0.0..=1.0).contains(&self.idempotent),
            "--idempotent has to be from 0 to 1"
        );
        let all = Scenario::ALL.to_vec();
        let scenarios = if self.scenarios.is_empty() {
            &all
        } else {
            &self.scenarios
        };
        let mut specs = Vec::new();
        for size in [TAWE, SHAMAA] {
            if self.size.as_ref().is_some_and(|name| name != size.name) {
                continue;
            }
            for scenario in scenarios {
                for load in &self.loads {
                    specs.push(SimSpec {
                        size,
                        scenario: *scenario,
                        load: *load,
                        mean: Duration::from_secs_f64(self.mean_ms / 1e3),
                        sigma: self.sigma,
                        idempotent: self.idempotent,
                        length: Duration::from_secs_f64(self.seconds),
                        seed: self.seed,
                        heartbeats: self.heartbeats,
                        homes_per_domain: self.homes_per_domain,
                    });
                }
            }
        }
        Ok(specs)
    }
}

/// Runs the subcommand.
pub fn run(args: &SimulateArgs) -> eyre::Result<()> {
    let specs = args.specs()?;
    if args.domains {
        return compare_domains(args);
    }
    let comparisons = sim_matrix::run_all(&specs, args.seeds.max(1), args.threads);
    println!("{}", sim_report::table(&comparisons));
    println!(
        "latencies in ms; probes ms/s is the largest cost of probes in any window of one second, \
         slots ms/s the slot time that they took, which is longer on a slow target"
    );
    let checks = sim_report::checks(&comparisons);
    for check in &checks {
        println!("{check}");
    }
    let passed = checks.iter().filter(|check| check.passes()).count();
    println!("{passed} of {} targets are met", checks.len());
    if let Some(path) = &args.plot {
        sim_plot::draw(&comparisons, path)?;
        println!("plot in {}", path.display());
    }
    Ok(())
}

fn compare_domains(args: &SimulateArgs) -> eyre::Result<()> {
    let of_load = |load: &f64| {
        let spec = DomainSpec {
            load: *load,
            mean: Duration::from_secs_f64(args.mean_ms / 1e3),
            sigma: args.sigma,
            length: Duration::from_secs_f64(args.seconds),
            seed: args.seed,
        };
        let results = DomainRouting::ALL.map(|routing| sim_domains::run(&spec, routing));
        (*load, results.to_vec())
    };
    let results: Vec<_> = args.loads.iter().map(of_load).collect();
    println!("{}", sim_domain_report::table(&results));
    println!("latencies in ms; the central queue has no delay between domains");
    if let Some(path) = &args.plot {
        sim_domain_report::draw(&results, path)?;
        println!("plot in {}", path.display());
    }
    Ok(())
}
