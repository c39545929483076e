//! The subcommand `run`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::ResultCode;
use clap::Args;
use eyre::ensure;
use uuid::Uuid;

use crate::mix::Mix;
use crate::runner;
use crate::schedule;
use crate::schedule::MAX_ARRIVALS;
use crate::schedule::ScheduleSpec;
use crate::sender::Sender;
use crate::sender::SenderSettings;
use crate::summary::Summary;

/// Sends an open-loop load to entry VMs and checks every response.
///
/// The exit status is 1 when a response breaks an invariant.
#[derive(Clone, Debug, Args)]
pub struct RunArgs {
    /// Address of an entry VM; may be repeated.
    #[arg(long = "entry", required = true)]
    pub entries: Vec<SocketAddr>,

    /// Name of a service; may be repeated.
    #[arg(long = "service", required = true)]
    pub services: Vec<Box<str>>,

    /// Requests per second.
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,

    /// Seconds for which requests arrive.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,

    /// Seed of the schedule.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,

    /// Weights of the kinds of requests: read, blob, once, post, upload.
    #[arg(long, default_value = "read=1")]
    pub mix: Mix,

    /// Deadline of each request, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub deadline_ms: u64,

    /// Length of an upload, in bytes.
    #[arg(long, default_value_t = 256 * 1024)]
    pub upload: usize,

    /// Length of a long response, in bytes.
    #[arg(long, default_value_t = 256 * 1024)]
    pub blob: u64,

    /// Requests outstanding at most; more are counted and not sent.
    #[arg(long, default_value_t = 2000)]
    pub limit: usize,

    /// Address of a simulated target whose executions are compared with the responses; may be
    /// repeated, and has to be given for all targets of the services.
    #[arg(long = "target")]
    pub targets: Vec<SocketAddr>,

    /// Prints the summary as JSON.
    #[arg(long)]
    pub json: bool,
}

impl RunArgs {
    /// Returns the schedule of the run.
    fn schedule(&self) -> Result<ScheduleSpec, Error> {
        let count = self.rate * self.seconds;
        if !(count > 0.0 && count < MAX_ARRIVALS as f64 && self.rate > 0.0) {
            return Err(Error::new(
                ResultCode::BadUsage,
                format!(
                    "{} requests a second for {} s cannot be sent",
                    self.rate, self.seconds
                ),
                format!("use positive numbers, and at most {MAX_ARRIVALS} requests"),
            ));
        }
        Ok(ScheduleSpec {
            seed: self.seed,
            rate: self.rate,
            length: Duration::from_secs_f64(self.seconds),
            mix: self.mix.clone(),
            entries: self.entries.len(),
            services: self.services.len(),
        })
    }

    fn sender(&self) -> SenderSettings {
        SenderSettings {
            entries: self.entries.clone(),
            services: self.services.clone(),
            direct: false,
            deadline: Duration::from_millis(self.deadline_ms),
            upload: self.upload,
            blob: self.blob,
            run: Uuid::now_v7().simple().to_string().into(),
        }
    }
}

/// Runs the subcommand.
pub fn run(args: &RunArgs) -> eyre::Result<()> {
    let schedule = schedule::draw(&args.schedule()?);
    let settings = args.sender();
    let (limit, targets) = (args.limit, args.targets.clone());
    let summary = runner::block_on(async move {
        let sender = Rc::new(Sender::new(settings).await?);
        let tally = runner::send_all(sender, schedule, limit).await;
        let audit = match targets.is_empty() {
            true => None,
            false => Some(runner::audit(&tally, &targets).await?),
        };
        Ok::<_, eyre::Report>(Summary::new(&tally, audit))
    })?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&summary)?);
    } else {
        println!("{summary}");
    }
    ensure!(
        summary.violations == 0,
        "{} violations of invariants",
        summary.violations
    );
    Ok(())
}
