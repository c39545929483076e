//! The load tool.

use carobshore_load::cmd_added;
use carobshore_load::cmd_control_cost;
use carobshore_load::cmd_demo;
use carobshore_load::cmd_fill;
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
    /// Puts services with targets into force, to measure what they cost a VM.
    Fill(cmd_fill::FillArgs),
    /// Measures how long a change takes until every entry VM has it.
    Spread(cmd_spread::SpreadArgs),
    /// Starts a whole site on loopback, puts two services into force and calls them.
    Demo(cmd_demo::DemoArgs),
    /// Measures what calls through an entry VM take longer than direct calls.
    Added(cmd_added::AddedArgs),
    /// Compares routing policies in virtual time.
    Simulate(cmd_simulate::SimulateArgs),
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let _logger = carobshore_standin::logging::start("warn")?;
    match args.command {
        Command::Run(args) => cmd_run::run(&args),
        Command::ControlCost(args) => cmd_control_cost::run(&args),
        Command::Fill(args) => cmd_fill::run(&args),
        Command::Spread(args) => cmd_spread::run(&args),
        Command::Demo(args) => cmd_demo::run(&args),
        Command::Added(args) => cmd_added::run(&args),
        Command::Simulate(args) => cmd_simulate::run(&args),
    }
}
