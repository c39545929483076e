//! The load tool.

use carobshore_load::cmd_control_cost;
use carobshore_load::cmd_run;
use carobshore_load::cmd_simulate;
use carobshore_load::cmd_spread;
use clap::Parser;
use clap::Subcommand;

/// Load, comparison of routing policies and the demonstration.
#[derive(Debug, Parser)]
#[command(name = "carobshore-load", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Sends an open-loop load to entry VMs and checks every response.
    Run(cmd_run::RunArgs),
    /// Measures what idle entry processes cost.
    ControlCost(cmd_control_cost::ControlCostArgs),
    /// Measures how long a change takes until every entry VM has it.
    Spread(cmd_spread::SpreadArgs),
    /// Compares routing policies in virtual time.
    Simulate(cmd_simulate::SimulateArgs),
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let _logger = carobshore_standin::logging::start()?;
    match args.command {
        Command::Run(args) => cmd_run::run(&args),
        Command::ControlCost(args) => cmd_control_cost::run(&args),
        Command::Spread(args) => cmd_spread::run(&args),
        Command::Simulate(args) => cmd_simulate::run(&args),
    }
}
