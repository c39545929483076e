//! The command line and environment of `carobshore-gateway`.

use std::path::PathBuf;

use clap::Parser;
use log::LevelFilter;

/// Settings of the daemon's own. All else is in the settings file of the platform.
#[derive(Clone, Debug, Parser)]
#[command(
    name = "carobshore-gateway",
    version,
    about = "Serves routes in front of targets that announce themselves in the platform's store"
)]
pub struct Flags {
    /// Path of the platform's settings file; by default the one that the platform's own variable
    /// names.
    #[arg(long, env = "CAROBSHORE_SETTINGS")]
    pub settings: Option<PathBuf>,

    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[arg(long, env = "CAROBSHORE_LOG_LEVEL", default_value = "info")]
    pub log_level: LevelFilter,

    /// Log lines of requests per second; lines beyond are counted and left out. Failed requests
    /// have four times as many.
    #[arg(long, env = "CAROBSHORE_LOG_RATE", default_value = "200")]
    pub log_rate: u32,
}
