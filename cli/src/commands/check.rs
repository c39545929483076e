//! `carobshore check`

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use carobshore_http::persistent_client::PersistentClient;
use carobshore_lib::byte_size::ByteSize;
use carobshore_lib::config_check::config_change::ConfigChange;
use carobshore_lib::config_check::config_summary::ConfigSummary;
use carobshore_lib::config_check::finding::Finding;
use carobshore_lib::config_check::finding::Severity;
use carobshore_lib::config_check::rules;
use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::ResultCode;
use carobshore_platform::config_document;
use carobshore_platform::config_document::ReadConfig;
use clap::Args as ClapArgs;
use clap::ValueEnum;
use eyre::WrapErr;
use serde::Serialize;

use crate::commands::Context;
use crate::exit::Exit;
use crate::output;

/// The path at which a gateway shows the configuration in force.
const CONFIG_PATH: &str = "/config";
/// Bytes in a mebibyte.
const MIB: u64 = 1 << 20;

const AFTER_HELP: &str = "\
Exit codes:
  0  nothing was found; differences from the version in force are not counted
  1  errors, entries without effect, or contradictions were found
  2  the configuration, or the version in force, cannot be read";

/// Check a configuration of the gateway before it is sent.
///
/// Reports what the VMs would refuse, entries that never have an effect, limits that contradict each
/// other, and what differs from the version in force. Sends nothing.
#[derive(Debug, ClapArgs)]
#[command(after_help = AFTER_HELP)]
pub(crate) struct CheckArgs {
    /// The configuration; standard input if it is `-` or left out.
    file: Option<PathBuf>,

    /// Compare with this configuration, or with what a VM shows at `/config`, in a file.
    #[arg(long, value_name = "FILE", conflicts_with = "vm")]
    in_force: Option<PathBuf>,

    /// Compare with the version in force at a gateway with this admin address.
    #[arg(long, value_name = "IP:PORT")]
    vm: Option<SocketAddr>,

    /// Memory of the smallest VM in MiB, to compare the limit of bodies with.
    #[arg(long, value_name = "MIB")]
    memory: Option<u32>,

    /// How to print the result.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// How to print the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// Lines for people.
    Text,
    /// One JSON object for scripts.
    Json,
}

/// The result of a check.
#[derive(Debug, Serialize)]
struct Report {
    version: u64,
    findings: Vec<Finding>,
    /// What differs from the version in force, if one was given.
    changes: Option<Vec<ConfigChange>>,
}

/// Checks a configuration and prints what was found.
pub(crate) async fn run(context: &Context, args: &CheckArgs) -> eyre::Result<Exit> {
    let json = context.json || args.format == Format::Json;
    match check(context, args, json).await {
        Ok(exit) => Ok(exit),
        Err(report) => {
            output::print_error(json, &report);
            Ok(Exit::Usage)
        }
    }
}

async fn check(context: &Context, args: &CheckArgs, json: bool) -> eyre::Result<Exit> {
    let read = config_document::read(&read_text(args.file.as_deref())?)?;
    let in_force = in_force(context, args).await?;
    let later = ConfigSummary::from(&read.config);
    let report = Report {
        version: later.version,
        changes: in_force.map(|in_force| in_force.changes_to(&later)),
        findings: findings(&read, args.memory),
    };
    output::print(json, &report, &text(&report))?;
    Ok(match report.findings.is_empty() {
        true => Exit::Done,
        false => Exit::Refused,
    })
}

fn read_text(file: Option<&Path>) -> eyre::Result<String> {
    let mut text = String::new();
    match file.filter(|file| *file != Path::new("-")) {
        Some(file) => {
            let read = std::fs::read_to_string(file);
            text = read.wrap_err_with(|| format!("cannot read {}", file.display()))?;
        }
        None => {
            let read = io::stdin().read_to_string(&mut text);
            read.wrap_err("cannot read standard input")?;
        }
    }
    Ok(text)
}

/// Returns what the VMs refuse, followed by what they accept although it cannot be meant.
fn findings(read: &ReadConfig, memory: Option<u32>) -> Vec<Finding> {
    let refused = read.faults.iter().map(|fault| Finding {
        severity: Severity::Error,
        place: match fault.resource.is_empty() {
            true => "the document".into(),
            false => fault.resource.clone(),
        },
        text: fault.error.message.clone(),
    });
    let memory = memory.map(|mib| ByteSize(u64::from(mib) * MIB));
    refused.chain(rules::find(&read.config, memory)).collect()
}

async fn in_force(context: &Context, args: &CheckArgs) -> eyre::Result<Option<ConfigSummary>> {
    let text = match (&args.in_force, args.vm) {
        (Some(file), _) => read_text(Some(file))?,
        (None, Some(vm)) => fetch(context, vm).await?,
        (None, None) => return Ok(None),
    };
    if let Ok(summary) = serde_json::from_str(&text) {
        return Ok(Some(summary));
    }
    let config = config_document::decode(&text).wrap_err("cannot read the version in force")?;
    Ok(Some(ConfigSummary::from(&config)))
}

/// Reads the configuration in force from a gateway.
async fn fetch(context: &Context, vm: SocketAddr) -> eyre::Result<String> {
    let mut client = PersistentClient::new(vm, context.timeout);
    let response = client.call("GET", CONFIG_PATH, &[], context.timeout).await;
    match response {
        Ok(response) if response.head.status == 200 => Ok(String::from_utf8(response.body)?),
        Ok(response) => Err(unreadable(vm, &format!("status {}", response.head.status)).into()),
        Err(failure) => Err(unreadable(vm, &format!("{failure:?}")).into()),
    }
}

fn unreadable(vm: SocketAddr, reason: &str) -> Error {
    Error::new(
        ResultCode::BadSetting,
        format!("the VM at {vm} does not show its configuration: {reason}"),
        "give the admin address of a gateway, or a file with --in-force",
    )
}

fn text(report: &Report) -> String {
    let mut lines: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
    let changes = report.changes.iter().flatten();
    lines.extend(changes.map(ToString::to_string));
    let (found, version) = (report.findings.len(), report.version);
    let changed = report.changes.as_ref().map_or(String::new(), |changes| {
        format!(", {} differences from the version in force", changes.len())
    });
    lines.push(format!("version {version}: {found} findings{changed}"));
    lines.join("\n")
}
