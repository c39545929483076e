//! `carobshore intent`

use std::path::Path;
use std::path::PathBuf;

use carobshore_lib::prelude::*;
use clap::Args as ClapArgs;
use serde::Serialize;
use uuid::Uuid;

use crate::change_arg::ChangeArg;
use crate::commands::Context;
use crate::commands::plan_view::PlanView;
use crate::exit::Exit;
use crate::log_append;
use crate::log_follow;
use crate::output;
use crate::words::FORMS;

/// Publish changes that come into force together when they are confirmed.
#[derive(Debug, ClapArgs)]
#[command(after_help = format!("Changes:\n{FORMS}"))]
pub(crate) struct IntentArgs {
    /// Your operator id.
    #[arg(long, env = "CAROBSHORE_OPERATOR", value_name = "ID")]
    operator: OperatorId,

    /// Why, for the other operator.
    #[arg(long, default_value = "")]
    note: String,

    /// Read changes from a file, one a line, before those given as arguments; `-` is the standard
    /// input.
    #[arg(long, value_name = "FILE")]
    file: Option<PathBuf>,

    /// The changes in their order, each as one quoted argument.
    #[arg(value_name = "CHANGE")]
    changes: Vec<ChangeArg>,
}

#[derive(Debug, Serialize)]
struct Published {
    offset: Offset,
    #[serde(flatten)]
    plan: PlanView,
}

/// Publishes an intent after checking that it can be applied to the current configuration.
pub(crate) async fn run(context: &Context, args: IntentArgs) -> eyre::Result<Exit> {
    let mut changes = match &args.file {
        Some(file) => file_changes(file)?,
        None => Vec::new(),
    };
    changes.extend(args.changes.into_iter().map(|change| change.0));
    if changes.is_empty() {
        return Err(no_changes().into());
    }
    let intent = Intent {
        operator: args.operator,
        note: args.note.into(),
        changes,
    };
    let follower = log_follow::follow(&context.log, context.timeout).await?;
    let state = follower.state();
    let id = RecordId(Uuid::now_v7());
    let plan = PlanView::with_id(state.config(), id, &intent)?;
    let record = Record {
        id,
        body: Body::Intent(intent),
    };
    let offset = log_append::append(&context.log, record, state.applied(), context.timeout).await?;
    let text = format!(
        "published at offset {offset}, not in force yet\n{}",
        plan.text()
    );
    output::print(context.json, &Published { offset, plan }, &text)?;
    Ok(Exit::Done)
}

fn file_changes(path: &Path) -> Result<Vec<Change>> {
    let text = match path.as_os_str() == "-" {
        true => std::io::read_to_string(std::io::stdin()),
        false => std::fs::read_to_string(path),
    };
    let text = text.map_err(|error| {
        Error::new(
            ResultCode::BadUsage,
            format!("the changes in {} cannot be read: {error}", path.display()),
            "give a text file with one change a line; nothing was published",
        )
    })?;
    let lines = text.lines().enumerate();
    let lines = lines.map(|(index, line)| (index + 1, line.trim()));
    let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    lines
        .map(|(number, line)| {
            let change = line.parse::<ChangeArg>();
            change.map(|change| change.0).map_err(|error| {
                let message = format!("{} line {number}: {}", path.display(), error.message);
                Error::new(error.code, message, error.help)
            })
        })
        .collect()
}

fn no_changes() -> Error {
    Error::new(
        ResultCode::BadUsage,
        "no change is given",
        "give changes as arguments or with --file; `carobshore intent --help` lists their forms",
    )
}
