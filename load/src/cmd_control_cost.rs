//! The subcommand `control-cost`.

use std::fs;
use std::time::Duration;
use std::time::Instant;

use clap::Args;
use comfy_table::Table;
use eyre::OptionExt;
use eyre::WrapErr;
use eyre::ensure;

/// Clock ticks a second in which the kernel counts processor time for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// The most processor time that control may take, as a share of one core.
const MOST_CPU: f64 = 0.012;
/// The most memory that control may take.
const MOST_KIB: u64 = 64 * 1024;
/// The most bytes a second that control may send and receive.
const MOST_BYTES: f64 = 21_000.0;

/// Measures what idle entry processes cost, from the kernel's counters.
///
/// Bytes are those of the loopback interface of the processes' network namespace, headers
/// included, in both directions and divided by the number of processes. Run everything in a network
/// namespace of its own, or other traffic is counted as well.
#[derive(Clone, Debug, Args)]
pub struct ControlCostArgs {
    /// Id of an entry process; may be repeated.
    #[arg(long = "pid", required = true)]
    pub pids: Vec<u32>,

    /// Seconds for which is measured.
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    ticks: u64,
    rss_kib: u64,
}

/// Runs the subcommand.
pub fn run(args: &ControlCostArgs) -> eyre::Result<()> {
    let first = samples(&args.pids)?;
    let bytes = loopback_bytes(args.pids[0])?;
    let start = Instant::now();
    std::thread::sleep(Duration::from_secs(args.seconds));
    let seconds = start.elapsed().as_secs_f64();
    let last = samples(&args.pids)?;
    let bytes = loopback_bytes(args.pids[0])? - bytes;
    let processes = args.pids.len() as f64;
    let shares = first
        .iter()
        .zip(&last)
        .map(|(first, last)| (last.ticks - first.ticks) as f64 / TICKS_PER_SECOND / seconds);
    let shares: Vec<f64> = shares.collect();
    let mean = shares.iter().sum::<f64>() / processes;
    let worst = shares.iter().copied().fold(0.0, f64::max);
    let memory = last
        .iter()
        .map(|sample| sample.rss_kib)
        .max()
        .unwrap_or_default();
    // Each byte on loopback is sent by one end and received by the other.
    let rate = bytes as f64 * 2.0 / processes / seconds;
    let mut table = Table::new();
    table.set_header(["per process", "mean", "worst", "limit"]);
    let percent = |share: f64| format!("{:.2}% of a core", share * 100.0);
    table.add_row([
        "processor",
        &percent(mean),
        &percent(worst),
        &percent(MOST_CPU),
    ]);
    let kib = |kib: u64| format!("{:.1} MiB", kib as f64 / 1024.0);
    table.add_row(["resident memory", "", &kib(memory), &kib(MOST_KIB)]);
    let kilobytes = |rate: f64| format!("{:.1} KB/s", rate / 1_000.0);
    table.add_row([
        "bytes in and out",
        &kilobytes(rate),
        "",
        &kilobytes(MOST_BYTES),
    ]);
    println!("{table}");
    ensure!(worst <= MOST_CPU, "the processor share is above the limit");
    ensure!(memory <= MOST_KIB, "the resident memory is above the limit");
    ensure!(rate <= MOST_BYTES, "the bytes a second are above the limit");
    Ok(())
}

fn samples(pids: &[u32]) -> eyre::Result<Vec<Sample>> {
    pids.iter().map(|pid| sample(*pid)).collect()
}

fn sample(pid: u32) -> eyre::Result<Sample> {
    let stat = read(pid, "stat")?;
    // The name in parentheses may hold spaces, so fields are counted from behind it.
    let (_, fields) = stat.rsplit_once(')').ok_or_eyre("no fields in stat")?;
    let fields: Vec<_> = fields.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<u64>().ok());
    let user = ticks(11).ok_or_eyre("no user time in stat")?;
    let system = ticks(12).ok_or_eyre("no system time in stat")?;
    let status = read(pid, "status")?;
    let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let rss = rss.and_then(|rss| rss.trim().strip_suffix(" kB")?.parse().ok());
    Ok(Sample {
        ticks: user + system,
        rss_kib: rss.ok_or_eyre("no VmRSS in status")?,
    })
}

fn loopback_bytes(pid: u32) -> eyre::Result<u64> {
    let devices = read(pid, "net/dev")?;
    let line = devices
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    received.ok_or_eyre("no loopback interface in net/dev")
}

fn read(pid: u32, file: &str) -> eyre::Result<String> {
    let path = format!("/proc/{pid}/{file}");
    fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))
}
