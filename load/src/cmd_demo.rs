//! The subcommand `demo`.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::Change;
use carobshore_lib::prelude::OperatorId;
use carobshore_standin::TargetSettings;
use clap::Args;
use eyre::ensure;
use uuid::Uuid;

use crate::operator_session;
use crate::runner;
use crate::schedule;
use crate::schedule::ScheduleSpec;
use crate::sender::Sender;
use crate::sender::SenderSettings;
use crate::site;
use crate::site::Site;
use crate::site::SiteService;
use crate::summary::Summary;
use crate::tally::Tally;

/// Targets of each service.
const TARGETS: usize = 3;

/// Failure domains, with an entry VM in each.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// The site has to serve, and then to accept keys, within this time each.
const PATIENCE: Duration = Duration::from_secs(20);

/// A leaving target gets no new work after this time.
const DRAIN: Duration = Duration::from_secs(3);

/// Requests outstanding at most.
const LIMIT: usize = 500;

/// Starts a whole site on loopback, puts two services into force and calls them.
#[derive(Clone, Debug, Args)]
pub struct DemoArgs {
    /// Requests per second.
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,

    /// Seconds for which requests arrive, at most 20.
    #[arg(long, default_value_t = 5.0)]
    pub seconds: f64,

    /// Seed of the requests.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Runs the subcommand.
pub fn run(args: &DemoArgs) -> eyre::Result<()> {
    ensure!(
        args.rate > 0.0 && args.rate <= 1000.0,
        "--rate has to be between 0 and 1000"
    );
    ensure!(
        args.seconds > 0.0 && args.seconds <= 20.0,
        "--seconds has to be between 0 and 20"
    );
    let start = Instant::now();
    let args = args.clone();
    let violations = runner::block_on(async move { demonstrate(&args).await })?;
    println!(
        "the demonstration took {:.1} s",
        start.elapsed().as_secs_f64()
    );
    ensure!(violations == 0, "{violations} violations of invariants");
    Ok(())
}

async fn demonstrate(args: &DemoArgs) -> eyre::Result<u64> {
    let mut site = start()?;
    let (entries, services) = (site.entries(), site.services());
    let log = site.log.addr();
    operator_session::wait_joined(log, entries.len(), PATIENCE).await?;
    println!("the entry VMs have joined the roster");

    println!("\n== An operator puts two services into force");
    let carys: OperatorId = "carys".parse()?;
    let session = operator_session::run(log, &carys, "first services", site.changes()).await?;
    session.lines.iter().for_each(|line| println!("{line}"));
    let took = site::wait_ready(&entries, &services, PATIENCE).await?;
    println!(
        "all entry VMs serve both services {:.1} s later",
        took.as_secs_f64()
    );
    let took = site::wait_keys(&entries, &services, PATIENCE).await?;
    println!(
        "and {:.1} s after that they accept requests with keys: a VM that starts first lets the \
         time pass in which another VM could still own them",
        took.as_secs_f64()
    );

    println!("\n== Reads, completions with a key and uploads through the three entry VMs");
    let tally = call(args, &site).await?;
    let audit = runner::audit(&tally, &site.target_addrs()).await?;
    let summary = Summary::new(&tally, Some(audit));
    println!("{summary}");

    println!("\n== Another operator takes a target away under load");
    let (idris, leaving) = ("idris".parse()?, &site.targets[0]);
    let change = Change::MarkLeaving {
        service: leaving.service.clone(),
        target: leaving.id.clone(),
    };
    let session = operator_session::run(log, &idris, "repair", vec![change]).await?;
    session.lines.iter().for_each(|line| println!("{line}"));
    tokio::time::sleep(DRAIN).await;
    let before = leaving.standin.executions().started;
    let tally = call(args, &site).await?;
    let after = leaving.standin.executions().started;
    println!(
        "{} got {} requests in the {:.0} s after its drain time; the others answered {}",
        leaving.id,
        after - before,
        args.seconds,
        tally.whole.count(),
    );

    println!("\n== The entry VMs stop");
    let late = u64::from(after != before);
    site.stop()?;
    println!("all requests in flight have ended, and the VMs have left the roster");
    Ok(summary.violations + tally.violations() + late)
}

fn start() -> eyre::Result<Site> {
    let service = |name: &str, millis| -> eyre::Result<SiteService> {
        Ok(SiteService {
            id: name.parse()?,
            targets: TARGETS,
            settings: TargetSettings {
                mean: Duration::from_millis(millis),
                ..TargetSettings::default()
            },
        })
    };
    let services = [service("status", 10)?, service("booking", 20)?];
    let domains = DOMAINS
        .map(str::parse)
        .into_iter()
        .collect::<Result<Vec<_>, _>>()?;
    let site = Site::start(&services, &domains)?;
    println!("== A site on loopback");
    println!("log {}, VM list {}", site.log.addr(), site.vm_list.addr());
    for target in &site.targets {
        println!(
            "target {} at {} in domain {}",
            target.id,
            target.standin.addr(),
            target.domain
        );
    }
    for (vm, domain) in site.vms.iter().zip(DOMAINS) {
        println!(
            "entry VM {} at {} in domain {domain}",
            vm.id(),
            vm.addresses().listen
        );
    }
    Ok(site)
}

async fn call(args: &DemoArgs, site: &Site) -> eyre::Result<Tally> {
    let settings = SenderSettings {
        entries: site.entries(),
        services: site.services(),
        direct: false,
        deadline: Duration::from_secs(5),
        upload: 64 * 1024,
        blob: 64 * 1024,
        run: Uuid::now_v7().simple().to_string().into(),
    };
    let schedule = schedule::draw(&ScheduleSpec {
        seed: args.seed,
        rate: args.rate,
        length: Duration::from_secs_f64(args.seconds),
        mix: "read=6,blob=1,once=2,upload=1".parse()?,
        entries: settings.entries.len(),
        services: settings.services.len(),
    });
    let sender = Rc::new(Sender::new(settings).await?);
    Ok(runner::send_all(sender, schedule, LIMIT).await)
}
