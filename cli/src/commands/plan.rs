//! `carobshore plan`

use std::collections::BTreeSet;

use carobshore_lib::history::ConfirmRef;
use carobshore_lib::prelude::*;
use clap::Args as ClapArgs;
use serde::Serialize;

use crate::commands::Context;
use crate::commands::plan_view::PlanView;
use crate::exit::Exit;
use crate::log_follow;
use crate::output;
use crate::table::table;

/// Show what an intent changes, or list the intents that wait for a confirm.
#[derive(Debug, ClapArgs)]
pub(crate) struct PlanArgs {
    /// The intent's record id; all waiting intents are listed without it.
    intent: Option<RecordId>,
}

#[derive(Debug, Serialize)]
struct PendingRow<'a> {
    intent: RecordId,
    offset: Offset,
    operator: &'a OperatorId,
    note: &'a str,
    /// The services and routes that the intent changes.
    #[serde(rename = "services")]
    items: BTreeSet<ItemId>,
}

/// Prints the plan of an intent, or the list of pending intents.
pub(crate) async fn run(context: &Context, args: &PlanArgs) -> eyre::Result<Exit> {
    let follower = log_follow::follow(&context.log, context.timeout).await?;
    let state = follower.state();
    match args.intent {
        None => list(context, state)?,
        Some(id) => {
            let view = compute(state, id)?;
            output::print(context.json, &view, &view.text())?;
        }
    }
    Ok(Exit::Done)
}

/// Computes the plan of a pending intent against the current configuration. Fails if the intent is
/// unknown, already in force, or no longer applicable.
pub(crate) fn compute(state: &ReplicatedState, id: RecordId) -> Result<PlanView> {
    if let Some(confirm) = state.confirm_of(id) {
        return Err(already_in_force(id, confirm));
    }
    let Some(pending) = state.intent(id) else {
        return Err(Error::new(
            ResultCode::UnknownIntent,
            format!("no intent {id} waits for a confirm"),
            "list the waiting intents with `carobshore plan`, or publish it again with \
             `carobshore intent`",
        ));
    };
    PlanView::new(state.config(), pending).map_err(|error| {
        let help = format!(
            "the configuration has changed since the intent was published (see `carobshore \
             history`); publish one that fits; the cause was: {}",
            error.help
        );
        Error::new(error.code, error.message, help)
    })
}

fn already_in_force(id: RecordId, confirm: &ConfirmRef) -> Error {
    Error::new(
        ResultCode::StalePlan,
        format!(
            "intent {id} is already in force by the confirm of {} at offset {}",
            confirm.operator, confirm.offset
        ),
        "nothing is left to do for it; `carobshore history` shows the confirm",
    )
}

fn list(context: &Context, state: &ReplicatedState) -> eyre::Result<()> {
    let waiting: Vec<_> = state
        .pending()
        .map(|pending| PendingRow {
            intent: pending.id,
            offset: pending.offset,
            operator: &pending.intent.operator,
            note: &pending.intent.note,
            items: pending.intent.items(),
        })
        .collect();
    if waiting.is_empty() && !context.json {
        println!("no intent waits for a confirm; publish one with `carobshore intent`");
        return Ok(());
    }
    let mut rows = table(&["intent", "offset", "operator", "touches", "note"]);
    for row in &waiting {
        let items: Vec<_> = row.items.iter().map(ToString::to_string).collect();
        rows.add_row([
            row.intent.to_string(),
            row.offset.to_string(),
            row.operator.to_string(),
            items.join(" "),
            row.note.to_owned(),
        ]);
    }
    output::print(context.json, &waiting, &rows.trim_fmt())
}
