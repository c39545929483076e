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

/// How many lines about the targets of a request, and about its VM, are shown.
const MOST_SURROUNDINGS: usize = 20;

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

/// Prints the lines of the request, and those that explain them.
pub(crate) fn run(context: &Context, args: &ExplainArgs) -> eyre::Result<Exit> {
    let lines = read_all(&args.files)?;
    let story = story(&lines, &args.id);
    let all: Vec<_> = story
        .iter()
        .map(|line| json!({"time": line.time, "source": line.source, "text": line.text, "values": line.values}))
        .collect();
    let text = match story.is_empty() {
        true => format!("no line of the logs names the request {}", args.id),
        false => story
            .iter()
            .map(|line| describe(line))
            .collect::<Vec<_>>()
            .join("\n"),
    };
    output::print(context.json, &all, &text)?;
    Ok(match story.is_empty() {
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

/// Returns the lines of the request and those that explain it, in the order of time.
fn story<'a>(lines: &'a [LogLine], id: &str) -> Vec<&'a LogLine> {
    let of_request = |line: &&LogLine| line.value("id").as_deref() == Some(id);
    let own: Vec<&LogLine> = lines.iter().filter(of_request).collect();
    let Some(end) = own.iter().map(|line| &line.time).max() else {
        return Vec::new();
    };
    let sources: BTreeSet<&str> = own.iter().map(|line| vm(line)).collect();
    let targets: BTreeSet<String> = own.iter().filter_map(|line| line.value("target")).collect();
    let explains = |line: &&LogLine| {
        let near = line.value("id").is_none() && sources.contains(vm(line)) && line.time <= *end;
        let target = line.value("target");
        near && target.is_none_or(|target| targets.contains(&target))
    };
    let mut surroundings: Vec<&LogLine> = lines.iter().filter(explains).collect();
    surroundings.sort_by(|a, b| a.time.cmp(&b.time));
    let first = surroundings.len().saturating_sub(MOST_SURROUNDINGS);
    let mut story = surroundings.split_off(first);
    story.extend(own);
    story.sort_by(|a, b| a.time.cmp(&b.time));
    story
}

/// Returns the VM that wrote a line: the last word of the source, without a time before it.
fn vm(line: &LogLine) -> &str {
    line.source.rsplit(' ').next().unwrap_or_default()
}

fn describe(line: &LogLine) -> String {
    let values = line.values.keys().filter_map(|name| {
        let value = line.value(name).filter(|value| !value.is_empty())?;
        Some(format!("{name}={value}"))
    });
    let values = values.collect::<Vec<_>>().join(", ");
    format!("{} {} {}: {values}", line.time, vm(line), line.text)
}
