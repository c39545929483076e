//! The command line and environment of `carobshore-gateway`.

use std::path::PathBuf;
use std::time::Duration;

use carobshore_lib::byte_size::ByteSize;
use carobshore_lib::domain_choice::crossing_mode::CrossingMode;
use carobshore_lib::domain_choice::crossing_price::CrossingPrice;
use carobshore_lib::error::Error;
use carobshore_lib::error::Result;
use carobshore_lib::memory_budget::connection_bounds::ChosenBounds;
use carobshore_lib::memory_budget::memory_bounds::DEFAULT_PERCENT;
use carobshore_lib::memory_budget::memory_bounds::MAX_PERCENT;
use carobshore_lib::prelude::ResultCode;
use clap::Parser;
use log::LevelFilter;

use crate::client_settings::ClientSettings;
use crate::client_settings::DEFAULT_CONTROL;
use crate::client_settings::DEFAULT_STALL;

/// The largest limit of log lines per second.
const MAX_LOG_RATE: i64 = 1_000_000;

/// The largest bound of connections.
const MAX_CONNECTIONS: i64 = 1_000_000;
/// The largest number of requests of one connection that are served at the same time.
const MAX_PIPELINED: i64 = 1_024;
/// The smallest and the largest size of what is sent ahead.
const MIN_SIZE: ByteSize = ByteSize(16 << 10);
const MAX_SIZE: ByteSize = ByteSize(64 << 20);
/// The longest time for which a caller may take nothing, in milliseconds.
const MAX_STALL_MS: u64 = 600_000;

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

    /// Share of the process's memory that clients may make it hold, in percent.
    #[arg(
        long,
        env = "CAROBSHORE_CLIENT_MEMORY",
        default_value_t = DEFAULT_PERCENT,
        value_parser = clap::value_parser!(u8).range(1..=i64::from(MAX_PERCENT))
    )]
    pub client_memory: u8,

    /// Connections of all callers. The default follows from the memory; descriptors bound it in any case.
    #[arg(
        long,
        env = "CAROBSHORE_CALLER_CONNECTIONS",
        value_parser = clap::value_parser!(u32).range(1..=MAX_CONNECTIONS)
    )]
    pub caller_connections: Option<u32>,

    /// Connections of one caller's address while half of all are in use. The default is a quarter of
    /// those of all callers, and 64 at least.
    #[arg(
        long,
        env = "CAROBSHORE_ADDRESS_CONNECTIONS",
        value_parser = clap::value_parser!(u32).range(1..=MAX_CONNECTIONS)
    )]
    pub address_connections: Option<u32>,

    /// Connections of each listener for readiness, the admin address and other VMs; descriptors bound
    /// them as well.
    #[arg(
        long,
        env = "CAROBSHORE_CONTROL_CONNECTIONS",
        default_value_t = DEFAULT_CONTROL,
        value_parser = clap::value_parser!(u32).range(16..=MAX_CONNECTIONS)
    )]
    pub control_connections: u32,

    /// Requests of one connection that are served at the same time.
    #[arg(
        long,
        env = "CAROBSHORE_PIPELINED",
        default_value = "32",
        value_parser = clap::value_parser!(u32).range(1..=MAX_PIPELINED)
    )]
    pub pipelined: u32,

    /// Bytes that are read ahead of the requests of a connection that are started.
    #[arg(long, env = "CAROBSHORE_READ_AHEAD", default_value = "256KiB", value_parser = size)]
    pub read_ahead: ByteSize,

    /// Bytes of responses that wait for a caller before no further request of the connection is started.
    #[arg(long, env = "CAROBSHORE_WAITING_RESPONSES", default_value = "1MiB", value_parser = size)]
    pub waiting_responses: ByteSize,

    /// How long a caller may take nothing of a response before the connection is closed, in milliseconds.
    #[arg(
        long,
        env = "CAROBSHORE_STALL_MS",
        default_value_t = DEFAULT_STALL.as_millis() as u64,
        value_parser = clap::value_parser!(u64).range(1_000..=MAX_STALL_MS)
    )]
    pub stall_ms: u64,
}

impl Flags {
    /// Returns what clients may make the process hold.
    pub fn clients(&self) -> Result<ClientSettings> {
        let pipeline = (self.pipelined, self.read_ahead, self.waiting_responses);
        Ok(ClientSettings {
            percent: self.client_memory,
            connections: ChosenBounds {
                total: self.caller_connections,
                address: self.address_connections,
            },
            pipeline: pipeline.try_into()?,
            stall: Duration::from_millis(self.stall_ms),
            control: self.control_connections,
        })
    }
}

/// Parses a size between [`MIN_SIZE`] and [`MAX_SIZE`].
fn size(text: &str) -> Result<ByteSize> {
    let size: ByteSize = text.parse()?;
    match (MIN_SIZE..=MAX_SIZE).contains(&size) {
        true => Ok(size),
        false => Err(Error::new(
            ResultCode::BadNumber,
            format!("`{size}` is out of range"),
            format!("use a size from {MIN_SIZE} to {MAX_SIZE}"),
        )),
    }
}
