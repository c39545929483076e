//! The command line and environment of `carobshore-gateway`.

use std::path::PathBuf;

use carobshore_lib::domain_choice::crossing_mode::CrossingMode;
use carobshore_lib::domain_choice::crossing_price::CrossingPrice;
use clap::Parser;
use log::LevelFilter;

/// The largest limit of log lines per second.
const MAX_LOG_RATE: i64 = 1_000_000;

/// Settings of the daemon itself. All others are in the platform's settings file.
#[derive(Clone, Debug, Parser)]
#[command(
    name = "carobshore-gateway",
    version,
    about = "Serves routes in front of targets that announce themselves in the platform's store"
)]
pub struct Flags {
    /// Path of the platform's settings file; the default is the path in the platform's own
    /// environment variable.
    #[arg(long, env = "CAROBSHORE_SETTINGS")]
    pub settings: Option<PathBuf>,

    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[arg(long, env = "CAROBSHORE_LOG_LEVEL", default_value = "info")]
    pub log_level: LevelFilter,

    /// Limit of log lines about successful requests per second; lines above it are counted and left
    /// out. The limit for failed requests is four times as high.
    #[arg(
        long,
        env = "CAROBSHORE_LOG_RATE",
        default_value = "200",
        value_parser = clap::value_parser!(u32).range(..=MAX_LOG_RATE)
    )]
    pub log_rate: u32,

    /// How it is decided whether a request leaves its failure domain: `cost` (wherever the expected
    /// cost is lowest) or `share` (only as many as the load of the domains calls for).
    #[arg(long, env = "CAROBSHORE_CROSSING", default_value_t)]
    pub crossing: CrossingMode,

    /// The price of a KiB sent to another failure domain, in milliseconds of a request's time, from 0
    /// to 1000. A request costs 150 ms at most.
    #[arg(long, env = "CAROBSHORE_CROSSING_MS_PER_KIB", default_value_t)]
    pub crossing_ms_per_kib: CrossingPrice,
}
