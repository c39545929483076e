//! `carobshore history`

use carobshore_lib::history::HistoryEntry;
use carobshore_lib::history::Verdict;
use clap::Args as ClapArgs;

use crate::commands::Context;
use crate::exit::Exit;
use crate::log_follow;
use crate::output;
use crate::table::table;

/// Show the last confirms and whether they are in force.
#[derive(Debug, ClapArgs)]
pub(crate) struct HistoryArgs {
    /// The most confirms to show.
    #[arg(long, env = "CAROBSHORE_HISTORY_MAX", default_value_t = 20)]
    max: usize,
}

/// Prints the most recent confirms, oldest first.
pub(crate) async fn run(context: &Context, args: &HistoryArgs) -> eyre::Result<Exit> {
    let follower = log_follow::follow(&context.log, context.timeout).await?;
    let state = follower.state();
    let mut entries: Vec<_> = state.history().rev().take(args.max).collect();
    entries.reverse();
    if entries.is_empty() && !context.json {
        println!("nothing was confirmed yet; publish a change with `carobshore intent`");
        return Ok(Exit::Done);
    }
    let mut rows = table(&["offset", "operator", "result", "touches", "intent", "note"]);
    for entry in &entries {
        rows.add_row(row(entry));
    }
    output::print(context.json, &entries, &rows.trim_fmt())?;
    Ok(Exit::Done)
}

fn row(entry: &HistoryEntry) -> [String; 6] {
    let items: Vec<_> = entry.items.iter().map(ToString::to_string).collect();
    [
        entry.confirm.offset.to_string(),
        entry.confirm.operator.to_string(),
        result(&entry.verdict),
        items.join(" "),
        entry.intent.to_string(),
        entry.note.to_string(),
    ]
}

fn result(verdict: &Verdict) -> String {
    match verdict {
        Verdict::InForce { .. } => "in force".to_owned(),
        Verdict::Rejected { code, by: None } => format!("rejected [{code}]"),
        Verdict::Rejected {
            code,
            by: Some(earlier),
        } => format!(
            "rejected [{code}], {} at offset {} came first",
            earlier.operator, earlier.offset
        ),
    }
}
