//! The client's global command-line arguments.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;

use crate::commands::Command;

const AFTER_HELP: &str = "\
Exit codes:
  0  done
  1  refused by the system, for example because another confirm came first
  2  wrong usage
  3  the log or the VMs cannot be reached; the command may be repeated

docs/result-codes.md explains the numbers in brackets.";

/// Changes and shows the configuration of carobshore.
///
/// A change takes three steps: `intent` publishes what is wanted, `plan` shows its effect, and
/// `confirm` puts exactly this effect into force, unless another confirm came first.
#[derive(Debug, Parser)]
#[command(name = "carobshore", version, after_help = AFTER_HELP)]
pub(crate) struct Args {
    /// Print JSON instead of text.
    #[arg(long, global = true, env = "CAROBSHORE_JSON")]
    pub(crate) json: bool,

    /// Address of the platform's log.
    #[arg(
        long,
        global = true,
        env = "CAROBSHORE_LOG",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:7300"
    )]
    pub(crate) log: SocketAddr,

    /// Seconds after which the log or a VM counts as unreachable.
    #[arg(
        long,
        global = true,
        env = "CAROBSHORE_TIMEOUT",
        value_name = "SECONDS",
        default_value_t = 10,
        value_parser = clap::value_parser!(u64).range(1..=600)
    )]
    pub(crate) timeout: u64,

    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

impl Args {
    /// Returns the time after which the log or a VM counts as unreachable.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_secs(self.timeout)
    }
}
