//! Runs the simulator of the platform's VM list.

use std::net::SocketAddr;

use carobshore_standin::VmEntry;
use carobshore_standin::VmListSettings;
use carobshore_standin::VmListStandin;
use carobshore_standin::logging;
use clap::Parser;
use eyre::WrapErr;

/// Simulates the platform's VM list: GET /v1/vms, PUT and DELETE /v1/vms/NAME, faults under /faults.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address to listen on; port 0 lets the kernel choose.
    #[arg(long, env = "CAROBSHORE_STANDIN_ADDR", default_value = "127.0.0.1:0")]
    addr: SocketAddr,

    /// Entries at the start, as the JSON that GET /v1/vms returns.
    #[arg(long, env = "CAROBSHORE_STANDIN_VMS", default_value = "[]")]
    vms: String,

    /// Seed of faults that hit a share of the requests.
    #[arg(long, env = "CAROBSHORE_STANDIN_SEED", default_value_t = 1)]
    seed: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let _logger = logging::start("info")?;
    let vms: Vec<VmEntry> = serde_json::from_str(&args.vms)
        .wrap_err("--vms is not a JSON list of {name, addr, domain, state}")?;
    let settings = VmListSettings {
        addr: args.addr,
        vms,
        seed: args.seed,
    };
    let list = VmListStandin::start(settings)?;
    println!("listening on {}", list.addr());
    tokio::signal::ctrl_c().await?;
    Ok(())
}
