//! Runs the simulator of a target.

use std::net::SocketAddr;
use std::time::Duration;

use carobshore_standin::TargetSettings;
use carobshore_standin::TargetStandin;
use carobshore_standin::logging;
use clap::Parser;

/// Simulates a target: echoes requests, GET /blob?size=N, /probe, /executions, faults under /faults.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address to listen on; port 0 lets the kernel choose.
    #[arg(long, env = "CAROBSHORE_STANDIN_ADDR", default_value = "127.0.0.1:0")]
    addr: SocketAddr,

    /// Name of the target.
    #[arg(long, env = "CAROBSHORE_STANDIN_ID", default_value = "target")]
    id: Box<str>,

    /// Requests that run at the same time.
    #[arg(long, env = "CAROBSHORE_STANDIN_SLOTS", default_value_t = 2)]
    #[arg(value_parser = clap::value_parser!(u16).range(1..))]
    slots: u16,

    /// Requests that may wait for a slot; more are refused.
    #[arg(long, env = "CAROBSHORE_STANDIN_QUEUE", default_value_t = 16)]
    queue: usize,

    /// Mean service time in milliseconds.
    #[arg(long, env = "CAROBSHORE_STANDIN_MEAN_MS", default_value_t = 10.0)]
    mean_ms: f64,

    /// Sigma of the log-normal service times; 0 makes all of them equal.
    #[arg(long, env = "CAROBSHORE_STANDIN_SIGMA", default_value_t = 0.5)]
    sigma: f64,

    /// Slot time that a probe takes, in milliseconds.
    #[arg(long, env = "CAROBSHORE_STANDIN_PROBE_MS", default_value_t = 6.0)]
    probe_ms: f64,

    /// Seconds for which the target is cold after its start.
    #[arg(long, env = "CAROBSHORE_STANDIN_COLD_SECONDS", default_value_t = 0.0)]
    cold_seconds: f64,

    /// Factor by which a cold target is slower.
    #[arg(long, env = "CAROBSHORE_STANDIN_COLD_FACTOR", default_value_t = 3.0)]
    cold_factor: f64,

    /// Seed of service times and faults.
    #[arg(long, env = "CAROBSHORE_STANDIN_SEED", default_value_t = 1)]
    seed: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let _logger = logging::start("info")?;
    let settings = TargetSettings {
        addr: args.addr,
        id: args.id,
        slots: usize::from(args.slots),
        queue: args.queue,
        mean: Duration::try_from_secs_f64(args.mean_ms / 1e3)?,
        sigma: args.sigma,
        probe: Duration::try_from_secs_f64(args.probe_ms / 1e3)?,
        cold: Duration::try_from_secs_f64(args.cold_seconds)?,
        cold_factor: args.cold_factor,
        seed: args.seed,
    };
    let target = TargetStandin::start(settings)?;
    println!("listening on {}", target.addr());
    tokio::signal::ctrl_c().await?;
    Ok(())
}
