//! `carobshore confirm`

use carobshore_lib::history::ConfirmRef;
use carobshore_lib::history::HistoryEntry;
use carobshore_lib::history::Verdict;
use carobshore_lib::prelude::*;
use carobshore_lib::record::Confirm;
use clap::Args as ClapArgs;
use serde::Serialize;
use uuid::Uuid;

use crate::commands::Context;
use crate::commands::plan;
use crate::commands::plan_view::PlanView;
use crate::exit::Exit;
use crate::log_append;
use crate::log_follow;
use crate::output;

/// The shortest digest prefix that is accepted as evidence that the operator has seen the plan.
const MIN_DIGEST_DIGITS: usize = 12;

/// Put an intent into force as its plan showed it.
#[derive(Debug, ClapArgs)]
pub(crate) struct ConfirmArgs {
    /// The intent's record id.
    intent: RecordId,

    /// The digest that `carobshore plan` printed, or its first 12 digits at least.
    #[arg(long, value_name = "HEX")]
    digest: String,

    /// Your operator id.
    #[arg(long, env = "CAROBSHORE_OPERATOR", value_name = "ID")]
    operator: OperatorId,
}

#[derive(Debug, Serialize)]
struct Outcome<'a> {
    in_force: bool,
    confirm: &'a ConfirmRef,
    intent: RecordId,
    #[serde(flatten)]
    verdict: &'a Verdict,
    fresh: Option<PlanView>,
}

#[derive(Debug, Serialize)]
struct Stale<'a> {
    in_force: bool,
    code: ResultCode,
    by: Option<&'a ConfirmRef>,
    fresh: PlanView,
}

/// Appends a confirm, reads the log back, and reports whether the plan is in force.
pub(crate) async fn run(context: &Context, mut args: ConfirmArgs) -> eyre::Result<Exit> {
    check_digest(&args.digest)?;
    args.digest.make_ascii_lowercase();
    let mut follower = log_follow::follow(&context.log, context.timeout).await?;
    let current = current_plan(follower.state(), args.intent)?;
    if !current.digest().to_string().starts_with(&args.digest) {
        return report_stale(context, follower.state(), &current, args.intent);
    }
    let id = RecordId(Uuid::now_v7());
    let record = Record {
        id,
        body: Body::Confirm(Confirm {
            operator: args.operator,
            intent: args.intent,
            digest: current.digest(),
            bases: current.bases().clone(),
        }),
    };
    let known = follower.state().applied();
    let offset = log_append::append(&context.log, record, known, context.timeout).await?;
    let read_back = log_follow::catch_up(&context.log, &mut follower, context.timeout).await;
    read_back.map_err(|error| read_back_error(offset, &error))?;
    let after = follower.state();
    let Some(entry) = after.entry_of(id) else {
        return Err(not_visible_yet(offset).into());
    };
    report(context, after, entry)
}

fn check_digest(digest: &str) -> Result<()> {
    let hex = digest.bytes().all(|byte| byte.is_ascii_hexdigit());
    if hex && (MIN_DIGEST_DIGITS..=64).contains(&digest.len()) {
        return Ok(());
    }
    Err(Error::new(
        ResultCode::BadUsage,
        format!("`{}` is not a digest", digest.escape_debug()),
        "copy the digest, or at least its first 12 digits, from `carobshore plan`",
    ))
}

/// Computes the intent's plan against the current configuration.
fn current_plan(state: &ReplicatedState, intent: RecordId) -> Result<Plan> {
    plan::compute(state, intent)?;
    let pending = state
        .intent(intent)
        .ok_or_else(|| not_visible_yet(state.applied()))?;
    Plan::new(state.config(), &pending.intent)
}

/// Reports that the digest does not match the current plan, so nothing was published.
fn report_stale(
    context: &Context,
    state: &ReplicatedState,
    current: &Plan,
    intent: RecordId,
) -> eyre::Result<Exit> {
    let confirms = current
        .bases()
        .keys()
        .filter_map(|id| state.last_confirm(id));
    let latest = confirms.max_by_key(|confirm| confirm.offset);
    let fresh = plan::compute(state, intent)?;
    let cause = latest.map_or_else(
        || "check that the digest was copied whole".to_owned(),
        |latest| {
            format!(
                "the last confirm of its services is that of {} at offset {}",
                latest.operator, latest.offset
            )
        },
    );
    let code = ResultCode::StalePlan;
    let text = format!(
        "not published [{code}]: the digest is not that of the present plan; {cause}\nfresh \
         plan:\n\n{}",
        fresh.text()
    );
    let outcome = Stale {
        in_force: false,
        code,
        by: latest,
        fresh,
    };
    output::print(context.json, &outcome, &text)?;
    Ok(Exit::Refused)
}

fn report(context: &Context, after: &ReplicatedState, entry: &HistoryEntry) -> eyre::Result<Exit> {
    let fresh = match entry.is_in_force() {
        true => None,
        false => plan::compute(after, entry.intent).ok(),
    };
    let text = render(entry, fresh.as_ref());
    let outcome = Outcome {
        in_force: entry.is_in_force(),
        confirm: &entry.confirm,
        intent: entry.intent,
        verdict: &entry.verdict,
        fresh,
    };
    output::print(context.json, &outcome, &text)?;
    Ok(match entry.is_in_force() {
        true => Exit::Done,
        false => Exit::Refused,
    })
}

fn render(entry: &HistoryEntry, fresh: Option<&PlanView>) -> String {
    let offset = entry.confirm.offset;
    match &entry.verdict {
        Verdict::InForce { versions } => {
            let versions: Vec<_> = versions
                .iter()
                .map(|(id, version)| format!("{id} version {version}"))
                .collect();
            let versions = match versions.is_empty() {
                true => "the services are removed".to_owned(),
                false => versions.join(", "),
            };
            format!("in force since offset {offset}: {versions}")
        }
        Verdict::Rejected { code, by } => {
            let cause = by.as_ref().map_or_else(
                || "the plan no longer fits".to_owned(),
                |earlier| {
                    format!(
                        "the confirm of {} at offset {} came first",
                        earlier.operator, earlier.offset
                    )
                },
            );
            let next = fresh.map_or_else(
                || {
                    "next: look at `carobshore history`; publish a new intent if it is still needed"
                        .to_owned()
                },
                |plan| format!("fresh plan:\n\n{}", plan.text()),
            );
            format!("not in force [{code}]: {cause} (yours is at offset {offset})\n{next}")
        }
    }
}

fn read_back_error(offset: Offset, error: &Error) -> Error {
    Error::new(
        error.code,
        format!(
            "the confirm is on the log at offset {offset}, but it could not be read back: {}",
            error.message
        ),
        "do not repeat it; `carobshore history` shows whether it is in force once the log answers",
    )
}

fn not_visible_yet(offset: Offset) -> Error {
    Error::new(
        ResultCode::LogUnavailable,
        format!("the log does not show the confirm at offset {offset} yet"),
        "do not repeat it; run `carobshore history` in a few seconds",
    )
}
