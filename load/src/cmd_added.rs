//! The subcommand `added`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobshore_lib::prelude::Homes;
use carobshore_lib::prelude::HomesSettings;
use carobshore_lib::prelude::ReplicatedState;
use carobshore_lib::prelude::ServiceId;
use carobshore_standin::TargetSettings;
use clap::Args;
use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use eyre::OptionExt;
use eyre::ensure;
use uuid::Uuid;

use crate::checker::Verdict;
use crate::mix::Mix;
use crate::operator_session;
use crate::runner;
use crate::schedule;
use crate::schedule::ScheduleSpec;
use crate::sender::Sender;
use crate::sender::SenderSettings;
use crate::site;
use crate::site::Site;
use crate::site::SiteService;
use crate::summary::millis;
use crate::tally::Latencies;

/// The site has to serve within this time after the confirm.
const PATIENCE: Duration = Duration::from_secs(20);

/// Within this time every VM has read the newest roster.
const SETTLE: Duration = Duration::from_secs(2);

/// Requests outstanding at most.
const LIMIT: usize = 1000;

/// Slots of the target, enough that no request waits for one.
const SLOTS: usize = 256;

/// Measures what calls through an entry VM take longer than calls of the target itself.
///
/// Direct calls, calls through the home VM and calls through a VM that forwards to the home take
/// turns, so that other load on the machine affects all alike.
#[derive(Clone, Debug, Args)]
pub struct AddedArgs {
    /// Requests per second.
    #[arg(long, default_value_t = 200.0)]
    pub rate: f64,

    /// Seconds for each of the three ways.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,

    /// Turns of each way.
    #[arg(long, default_value_t = 5)]
    pub turns: u32,

    /// Service time of the target in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub mean_ms: u64,

    /// Seed of the schedules.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,

    /// Weights of the kinds of requests.
    #[arg(long, default_value = "read=1")]
    pub mix: Mix,
}

/// One way to the target.
struct Way {
    name: &'static str,
    sender: Rc<Sender>,
    latencies: Latencies,
    failures: u64,
}

/// Runs the subcommand.
pub fn run(args: &AddedArgs) -> eyre::Result<()> {
    ensure!(
        args.rate > 0.0 && args.rate <= 20_000.0,
        "--rate has to be between 0 and 20000"
    );
    ensure!(
        args.seconds > 0.0 && args.seconds <= 600.0,
        "--seconds has to be between 0 and 600"
    );
    ensure!(
        (1..=100).contains(&args.turns),
        "--turns has to be from 1 to 100"
    );
    let args = args.clone();
    runner::block_on(async move { measure(&args).await })
}

async fn measure(args: &AddedArgs) -> eyre::Result<()> {
    let service: ServiceId = "status".parse()?;
    let mut site = start(args, &service)?;
    let operator = "carys".parse()?;
    let log = site.log.addr();
    operator_session::run(log, &operator, "", site.changes()).await?;
    let fold = operator_session::wait_joined(log, site.vms.len(), PATIENCE).await?;
    tokio::time::sleep(SETTLE).await;
    site::wait_ready(&site.entries(), &site.services(), PATIENCE).await?;
    let home = home_of(&site, &service, &fold)?;
    let entries = site.entries();
    let mut ways = [
        way("direct", site.targets[0].standin.addr(), true, &service).await?,
        way("home VM", entries[home], false, &service).await?,
        way("forwarding VM", entries[1 - home], false, &service).await?,
    ];
    let mut next = 0;
    for turn in 0..args.turns {
        for way in &mut ways {
            next = take_turn(args, way, turn, next).await;
        }
    }
    println!("{}", report(&ways));
    let failures: u64 = ways.iter().map(|way| way.failures).sum();
    site.stop()?;
    ensure!(
        failures == 0,
        "{failures} requests had no complete response"
    );
    Ok(())
}

/// Starts one target behind two entry VMs of the same failure domain, of which one is the home.
fn start(args: &AddedArgs, service: &ServiceId) -> eyre::Result<Site> {
    let domain = "a".parse()?;
    let settings = TargetSettings {
        slots: SLOTS,
        mean: Duration::from_millis(args.mean_ms),
        sigma: 0.0,
        ..TargetSettings::default()
    };
    let service = SiteService {
        id: service.clone(),
        targets: 1,
        settings,
    };
    Site::start(&[service], &[domain, "a".parse()?])
}

/// Returns which of the entry VMs is the home, by the same decision that the VMs take.
fn home_of(site: &Site, service: &ServiceId, fold: &ReplicatedState) -> eyre::Result<usize> {
    let spec = fold
        .config()
        .service(service)
        .ok_or_eyre("the service is not in force")?;
    let homes = Homes::assign(service, spec, fold.roster(), &HomesSettings::default());
    let home = site.vms.iter().position(|vm| homes.contains(vm.id()));
    home.ok_or_eyre("no entry VM is in the roster")
}

async fn way(
    name: &'static str,
    addr: SocketAddr,
    direct: bool,
    service: &ServiceId,
) -> eyre::Result<Way> {
    let settings = SenderSettings {
        entries: vec![addr],
        services: vec![service.as_str().into()],
        direct,
        deadline: Duration::from_secs(5),
        upload: 64 * 1024,
        blob: 64 * 1024,
        run: Uuid::now_v7().simple().to_string().into(),
    };
    Ok(Way {
        name,
        sender: Rc::new(Sender::new(settings).await?),
        latencies: Latencies::default(),
        failures: 0,
    })
}

/// Sends one part of the load; returns the index of the next request.
async fn take_turn(args: &AddedArgs, way: &mut Way, turn: u32, first: usize) -> usize {
    let mut schedule = schedule::draw(&ScheduleSpec {
        seed: args.seed + u64::from(turn),
        rate: args.rate,
        length: Duration::from_secs_f64(args.seconds) / args.turns,
        mix: args.mix.clone(),
        entries: 1,
        services: 1,
    });
    for arrival in &mut schedule {
        arrival.index += first;
    }
    let next = first + schedule.len();
    let tally = runner::send_all(Rc::clone(&way.sender), schedule, LIMIT).await;
    way.latencies.merge(&tally.whole);
    way.failures += tally.unsent + tally.sent - tally.count(Verdict::Whole);
    next
}

fn report(ways: &[Way; 3]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED);
    table.set_header([
        "latency, ms",
        "count",
        "p50",
        "p99",
        "added p50",
        "added p99",
    ]);
    let direct = &ways[0].latencies;
    for way in ways {
        let quantile = |share| millis(way.latencies.quantile(share));
        let added = |share| quantile(share) - millis(direct.quantile(share));
        table.add_row([
            way.name.to_owned(),
            way.latencies.count().to_string(),
            format!("{:.3}", quantile(0.5)),
            format!("{:.3}", quantile(0.99)),
            format!("{:.3}", added(0.5)),
            format!("{:.3}", added(0.99)),
        ]);
    }
    table
}
