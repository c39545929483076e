//! `carobshore explain`

use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;

use clap::Args as ClapArgs;
use eyre::WrapErr;
use serde_json::json;

use crate::commands::Context;
use crate::exit::Exit;
use crate::log_line::LogLine;
use crate::output;

/// The maximum number of lines shown besides those of the request: lines about its targets and from
/// its VMs.
const MAX_CONTEXT_LINES: usize = 20;

/// Tell the story of a request from the logs of the VMs.
///
/// Shows each line of the request in the order of time, and what the same VM came to believe about
/// its targets, the configuration and the store before.
#[derive(Debug, ClapArgs)]
pub(crate) struct ExplainArgs {
    /// Id of the request.
    id: String,

    /// Log files; standard input if there is none.
    files: Vec<PathBuf>,
}

/// Prints the log lines of the request and the context lines before its end.
pub(crate) fn run(context: &Context, args: &ExplainArgs) -> eyre::Result<Exit> {
    let lines = read_all(&args.files)?;
    let selected = select_lines(&lines, &args.id);
    let all: Vec<_> = selected
        .iter()
        .map(|line| json!({"time": line.time, "source": line.source, "text": line.text, "values": line.values}))
        .collect();
    let text = match selected.is_empty() {
        true => format!("no line of the logs names the request {}", args.id),
        false => selected
            .iter()
            .map(|line| format_line(line))
            .collect::<Vec<_>>()
            .join("\n"),
    };
    output::print(context.json, &all, &text)?;
    Ok(match selected.is_empty() {
        true => Exit::Refused,
        false => Exit::Done,
    })
}

fn read_all(files: &[PathBuf]) -> eyre::Result<Vec<LogLine>> {
    if files.is_empty() {
        return read("", io::stdin().lock());
    }
    let mut lines = Vec::new();
    for path in files {
        let name = path.display().to_string();
        let file = File::open(path).wrap_err_with(|| format!("cannot open {name}"))?;
        lines.extend(read(&name, BufReader::new(file))?);
    }
    Ok(lines)
}

fn read(name: &str, source: impl BufRead) -> eyre::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for line in source.lines() {
        lines.extend(LogLine::parse(name, &line.wrap_err("cannot read a log")?));
    }
    Ok(lines)
}

/// Selects the lines of the request and its context, sorted by time. The context is the last lines
/// before the request's end that name no request, come from its VMs, and name no other target.
fn select_lines<'a>(lines: &'a [LogLine], id: &str) -> Vec<&'a LogLine> {
    let of_request = |line: &&LogLine| line.value("id").as_deref() == Some(id);
    let own: Vec<&LogLine> = lines.iter().filter(of_request).collect();
    let Some(end) = own.iter().map(|line| &line.time).max() else {
        return Vec::new();
    };
    let vms: BTreeSet<&str> = own.iter().map(|line| vm_name(line)).collect();
    let targets: BTreeSet<String> = own.iter().filter_map(|line| line.value("target")).collect();
    let is_context = |line: &&LogLine| {
        let in_scope =
            line.value("id").is_none() && vms.contains(vm_name(line)) && line.time <= *end;
        let target = line.value("target");
        in_scope && target.is_none_or(|target| targets.contains(&target))
    };
    let mut context: Vec<&LogLine> = lines.iter().filter(is_context).collect();
    context.sort_by(|a, b| a.time.cmp(&b.time));
    let first = context.len().saturating_sub(MAX_CONTEXT_LINES);
    let mut selected = context.split_off(first);
    selected.extend(own);
    selected.sort_by(|a, b| a.time.cmp(&b.time));
    selected
}

/// Returns the name of the VM that wrote a line: the last word of the source, which may hold a file
/// name and a time before it.
fn vm_name(line: &LogLine) -> &str {
    line.source.rsplit(' ').next().unwrap_or_default()
}

fn format_line(line: &LogLine) -> String {
    let values = line.values.keys().filter_map(|name| {
        let value = line.value(name).filter(|value| !value.is_empty())?;
        Some(format!("{name}={value}"))
    });
    let values = values.collect::<Vec<_>>().join(", ");
    format!("{} {} {}: {values}", line.time, vm_name(line), line.text)
}
