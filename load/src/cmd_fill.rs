//! The subcommand `fill`.

use std::net::SocketAddr;
use std::time::Duration;

use carobshore_lib::prelude::*;
use clap::Args;
use eyre::ensure;

use crate::log_operator::LogOperator;

/// Most targets that one intent adds, so that a record stays small.
const TARGETS_PER_INTENT: usize = 200;
/// The pause between two intents. The log refuses more than several hundred appends a second.
const PAUSE: Duration = Duration::from_millis(20);
/// Failure domains among which targets are divided, named `d0` and so on.
const DOMAINS: usize = 3;

/// Puts services with targets into force that nothing serves, to measure what they cost a VM.
#[derive(Clone, Debug, Args)]
pub struct FillArgs {
    /// Address of the log.
    #[arg(long)]
    pub log: SocketAddr,

    /// Number of services.
    #[arg(long)]
    pub services: usize,

    /// Number of targets of all services together.
    #[arg(long)]
    pub targets: usize,
}

/// Runs the subcommand.
pub fn run(args: &FillArgs) -> eyre::Result<()> {
    ensure!(args.services > 0, "--services has to be at least 1");
    let system = ntex::rt::System::build()
        .name("fill")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(fill(args.clone()))
}

async fn fill(args: FillArgs) -> eyre::Result<()> {
    let mut operator = LogOperator::new(args.log, "measure".parse()?).await;
    let mut changes = Vec::new();
    for at in 0..args.services {
        let service: ServiceId = format!("fill-{at}").parse()?;
        changes.push(Change::AddService {
            service: service.clone(),
            // Without a budget no probe is sent to an address at which nothing listens.
            measuring: TargetTime(0),
            connections: 220,
        });
        for target in (at..args.targets).step_by(args.services) {
            changes.push(add_target(&service, target)?);
        }
        if changes.len() >= TARGETS_PER_INTENT {
            operator.change(std::mem::take(&mut changes)).await?;
            tokio::time::sleep(PAUSE).await;
        }
    }
    if !changes.is_empty() {
        operator.change(changes).await?;
    }
    operator.catch_up().await?;
    let config = operator.fold().config();
    println!(
        "{} services, {} targets",
        config.services.len(),
        config.target_count()
    );
    Ok(())
}

fn add_target(service: &ServiceId, at: usize) -> Result<Change> {
    // Port 9 is the discard port; a different host number per target keeps addresses apart.
    let [high, low] = u16::try_from(at % 65_536).unwrap_or_default().to_be_bytes();
    Ok(Change::AddTarget {
        service: service.clone(),
        target: format!("t{at}").parse()?,
        addr: SocketAddr::from(([127, 1, high, low], 9)),
        domain: format!("d{}", at % DOMAINS).parse()?,
        slots: 2.try_into()?,
    })
}
