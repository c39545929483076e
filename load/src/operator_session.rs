//! What an operator does: publish an intent, look at its plan and confirm it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::history::Verdict;
use carobshore_lib::prelude::Body;
use carobshore_lib::prelude::Change;
use carobshore_lib::prelude::Fold;
use carobshore_lib::prelude::Intent;
use carobshore_lib::prelude::Offset;
use carobshore_lib::prelude::OperatorId;
use carobshore_lib::prelude::Plan;
use carobshore_lib::prelude::Record;
use carobshore_lib::prelude::RecordId;
use carobshore_lib::record::Confirm;
use carobshore_platform::log_client::AppendAnswer;
use carobshore_platform::log_client::LogClient;
use carobshore_platform::log_client::ReadAnswer;
use eyre::bail;
use eyre::ensure;
use eyre::eyre;
use uuid::Uuid;

/// Records that are read at once.
const PAGE: u32 = 1_000;

/// Pause between two looks at the log.
const POLL: Duration = Duration::from_millis(50);

/// What a session leaves behind.
#[derive(Debug)]
pub struct Session {
    /// The steps as the operator sees them.
    pub lines: Vec<String>,
    /// The state of the log after the confirm.
    pub fold: Fold,
}

/// Runs the session. The log's order decides whether the confirm holds.
pub async fn run(
    log: SocketAddr,
    operator: &OperatorId,
    note: &str,
    changes: Vec<Change>,
) -> eyre::Result<Session> {
    let log = LogClient::new(log).await;
    let mut lines = Vec::new();
    let intent = Intent {
        operator: operator.clone(),
        note: note.into(),
        changes,
    };
    let id = RecordId(Uuid::now_v7());
    let offset = append(&log, id, Body::Intent(intent.clone())).await?;
    lines.push(format!(
        "{operator} publishes intent {id} at offset {offset}: {note}"
    ));
    let fold = read(&log).await?;
    let plan = Plan::new(fold.config(), &intent)?;
    lines.push(format!("plan {}", plan.digest()));
    lines.extend(plan.lines().into_iter().map(|line| format!("  {line}")));
    lines.extend(
        plan.warnings()
            .into_iter()
            .map(|line| format!("  warning: {line}")),
    );
    let confirm = Confirm {
        operator: operator.clone(),
        intent: id,
        digest: plan.digest(),
        bases: plan.bases().clone(),
    };
    let confirm_id = RecordId(Uuid::now_v7());
    let offset = append(&log, confirm_id, Body::Confirm(confirm)).await?;
    let fold = read(&log).await?;
    match fold.judged(confirm_id).map(|entry| &entry.verdict) {
        Some(Verdict::InForce { .. }) => lines.push(format!("confirmed at offset {offset}")),
        judged => bail!("the confirm at offset {offset} does not hold: {judged:?}"),
    }
    Ok(Session { lines, fold })
}

async fn append(log: &LogClient, id: RecordId, body: Body) -> eyre::Result<Offset> {
    match log.append(&Record { id, body }).await {
        AppendAnswer::Appended(offset) => Ok(offset),
        AppendAnswer::Refused(message) => Err(eyre!("the log refuses the record: {message}")),
        AppendAnswer::Lost => Err(eyre!("the log did not answer; read it before trying again")),
    }
}

/// Waits until so many entry VMs have joined; returns the state of the log then.
pub async fn wait_joined(log: SocketAddr, vms: usize, patience: Duration) -> eyre::Result<Fold> {
    let log = LogClient::new(log).await;
    let start = Instant::now();
    loop {
        let fold = read(&log).await?;
        if fold.roster().members.len() >= vms {
            return Ok(fold);
        }
        ensure!(
            start.elapsed() < patience,
            "not all {vms} entry VMs join in time"
        );
        tokio::time::sleep(POLL).await;
    }
}

/// Folds the whole log.
async fn read(log: &LogClient) -> eyre::Result<Fold> {
    let mut fold = Fold::default();
    let mut from = Offset(0);
    loop {
        let page = match log.read(from, PAGE).await {
            ReadAnswer::Page(page) => page,
            ReadAnswer::Expired(first) => bail!("records before offset {first} have expired"),
            ReadAnswer::Failed => bail!("the log does not answer"),
        };
        for record in &page.records {
            fold.apply_text(record.offset, &record.data);
            from = Offset(record.offset.0 + 1);
        }
        if from >= page.next {
            return Ok(fold);
        }
    }
}
