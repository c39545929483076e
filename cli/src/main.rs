//! The operators' command-line client of carobshore.
//!
//! Exit codes: 0 done, 1 refused by the system, 2 wrong usage, 3 platform or VMs unreachable.

mod args;
mod change_arg;
mod commands;
mod dump_view;
mod exit;
mod log_append;
mod log_follow;
mod log_line;
mod output;
mod route_arg;
mod table;
mod vm_client;
mod words;

use std::process::ExitCode;

use clap::Parser;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;

use crate::args::Args;
use crate::exit::Exit;

fn main() -> ExitCode {
    let args = Args::parse();
    let json = args.json;
    // Signals keep their default action, so that an interrupt terminates the client immediately.
    let system = System::build()
        .name("carobshore")
        .disable_signals()
        .build(DefaultRuntime);
    let result = system.block_on(commands::run(args));
    match result {
        Ok(exit) => exit.into(),
        Err(report) => {
            output::print_error(json, &report);
            Exit::from_report(&report).into()
        }
    }
}
