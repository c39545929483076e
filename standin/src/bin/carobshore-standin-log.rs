//! Runs the simulator of the platform's log.

use std::net::SocketAddr;
use std::time::Duration;

use carobshore_standin::LogSettings;
use carobshore_standin::LogStandin;
use carobshore_standin::logging;
use clap::Parser;

/// Simulates the platform's log: POST and GET /v1/records, faults under /faults.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address to listen on; port 0 lets the kernel choose.
    #[arg(long, env = "CAROBSHORE_STANDIN_ADDR", default_value = "127.0.0.1:0")]
    addr: SocketAddr,

    /// Appends taken per second; the rest is answered 429.
    #[arg(long, env = "CAROBSHORE_STANDIN_APPENDS", default_value_t = 500)]
    appends: u32,

    /// Records kept.
    #[arg(long, env = "CAROBSHORE_STANDIN_RECORDS", default_value_t = 1_000_000)]
    records: usize,

    /// Seconds for which a record is kept.
    #[arg(long, env = "CAROBSHORE_STANDIN_AGE_SECONDS", default_value_t = 3600)]
    age_seconds: u64,

    /// Seed of faults that hit a share of the requests.
    #[arg(long, env = "CAROBSHORE_STANDIN_SEED", default_value_t = 1)]
    seed: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let _logger = logging::start("info")?;
    let settings = LogSettings {
        addr: args.addr,
        appends: args.appends,
        records: args.records,
        age: Duration::from_secs(args.age_seconds),
        seed: args.seed,
    };
    let log = LogStandin::start(&settings)?;
    println!("listening on {}", log.addr());
    tokio::signal::ctrl_c().await?;
    Ok(())
}
