//! The subcommands.

mod check;
mod completions;
mod confirm;
mod dump;
mod explain;
mod history;
mod intent;
mod plan;
mod plan_view;
mod status;

use clap::Subcommand;

use crate::args::Args;
use crate::exit::Exit;
use carobshore_platform::log_client::LogClient;

/// What the client can do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    Intent(intent::IntentArgs),
    Plan(plan::PlanArgs),
    Confirm(confirm::ConfirmArgs),
    History(history::HistoryArgs),
    Status(status::StatusArgs),
    Dump(dump::DumpArgs),
    Explain(explain::ExplainArgs),
    Check(check::CheckArgs),
    Completions(completions::CompletionsArgs),
}

/// The log client and the global options.
#[derive(Debug)]
pub(crate) struct Context {
    /// The client of the platform's log.
    pub(crate) log: LogClient,
    /// The time after which the log or a VM counts as unreachable.
    pub(crate) timeout: std::time::Duration,
    /// Whether to print JSON instead of text.
    pub(crate) json: bool,
}

/// Runs the command.
pub(crate) async fn run(args: Args) -> eyre::Result<Exit> {
    let context = Context {
        log: LogClient::new(args.log),
        timeout: args.timeout(),
        json: args.json,
    };
    match args.command {
        Command::Intent(args) => intent::run(&context, args).await,
        Command::Plan(args) => plan::run(&context, &args).await,
        Command::Confirm(args) => confirm::run(&context, args).await,
        Command::History(args) => history::run(&context, &args).await,
        Command::Status(args) => status::run(&context, &args).await,
        Command::Dump(args) => dump::run(&context, &args).await,
        Command::Explain(args) => explain::run(&context, &args),
        Command::Check(args) => check::run(&context, &args).await,
        Command::Completions(args) => completions::run(&args),
    }
}
