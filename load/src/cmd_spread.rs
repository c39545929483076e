//! The subcommand `spread`.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_entry::rpc::VmRpcClient;
use carobshore_lib::prelude::*;
use clap::Args;
use eyre::ensure;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use serde_json::json;

use crate::log_operator::LogOperator;

/// The time within which a change has to be in force on every VM.
const TARGET: Duration = Duration::from_secs(4);
/// How long a change is waited for before the run fails.
const PATIENCE: Duration = Duration::from_secs(30);
/// The pause between two looks at a VM, which bounds the resolution of the result.
const LOOK: Duration = Duration::from_millis(5);

/// Measures how long a confirmed change takes until it is in force on every entry VM.
///
/// The exit status is 1 when a change takes longer than 4 s.
#[derive(Clone, Debug, Args)]
pub struct SpreadArgs {
    /// Address of the log.
    #[arg(long)]
    pub log: SocketAddr,

    /// Procedure address of an entry VM; may be repeated.
    #[arg(long = "vm", required = true)]
    pub vms: Vec<SocketAddr>,

    /// Number of changes.
    #[arg(long, default_value_t = 50)]
    pub changes: u32,

    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Runs the subcommand.
pub fn run(args: &SpreadArgs) -> eyre::Result<()> {
    let system = ntex::rt::System::build()
        .name("spread")
        .build(ntex::rt::DefaultRuntime);
    let times = system.block_on(measure(args.clone()))?;
    let worst = times.last().copied().unwrap_or_default();
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    if args.json {
        let line = json!({
            "vms": args.vms.len(),
            "changes": times.len(),
            "median_ms": median.as_millis() as u64,
            "worst_ms": worst.as_millis() as u64,
        });
        println!("{line}");
    } else {
        println!(
            "{} changes on {} VMs, confirm to in force on all: median {} ms, worst {} ms",
            times.len(),
            args.vms.len(),
            median.as_millis(),
            worst.as_millis(),
        );
    }
    ensure!(
        worst < TARGET,
        "a change took {} ms, above 4000 ms",
        worst.as_millis()
    );
    Ok(())
}

async fn measure(args: SpreadArgs) -> eyre::Result<Vec<Duration>> {
    let service: ServiceId = "spread".parse()?;
    let mut operator = LogOperator::new(args.log, "measure".parse()?).await;
    let clients: Vec<_> = args
        .vms
        .iter()
        .map(|vm| client(*vm))
        .collect::<Result<_, _>>()?;
    operator.catch_up().await?;
    if operator.fold().config().service(&service).is_none() {
        let service = service.clone();
        let measuring = TargetTime(0);
        let connections = 1;
        let add = Change::AddService {
            service,
            measuring,
            connections,
        };
        operator.change(vec![add]).await?;
    }
    let mut times = Vec::new();
    for round in 0..args.changes {
        // A different pause before each change, so that the reads of the VMs are met at all phases.
        tokio::time::sleep(Duration::from_millis(u64::from(round * 37 % 500))).await;
        let measuring = TargetTime(u64::from(round % 2) + 1);
        let set = Change::SetMeasuring {
            service: service.clone(),
            measuring,
        };
        let offset = operator.change(vec![set]).await?;
        let confirmed = Instant::now();
        for client in &clients {
            wait_for(client, offset, confirmed).await?;
        }
        times.push(confirmed.elapsed());
    }
    times.sort_unstable();
    Ok(times)
}

async fn wait_for(client: &HttpClient, offset: Offset, since: Instant) -> eyre::Result<()> {
    loop {
        // Nothing is returned but the offset of the record that the VM applies next.
        let page = client.records_since(offset.next()).await?;
        if page.next > offset {
            return Ok(());
        }
        ensure!(
            since.elapsed() < PATIENCE,
            "offset {offset} is not in force after 30 s"
        );
        tokio::time::sleep(LOOK).await;
    }
}

fn client(vm: SocketAddr) -> eyre::Result<HttpClient> {
    Ok(HttpClientBuilder::default().build(format!("http://{vm}"))?)
}
