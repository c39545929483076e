//! What an operator does: publish an intent, look at its plan and confirm it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::Change;
use carobshore_lib::prelude::OperatorId;
use carobshore_lib::prelude::ReplicatedState;
use eyre::ensure;

use crate::log_operator::LogOperator;

/// Pause between two looks at the log.
const POLL: Duration = Duration::from_millis(50);

/// What a session leaves behind.
#[derive(Debug)]
pub struct Session {
    /// The steps as the operator sees them.
    pub lines: Vec<String>,
    /// The state of the log after the confirm.
    pub fold: ReplicatedState,
}

/// Runs the session.
pub async fn run(
    log: SocketAddr,
    operator: &OperatorId,
    note: &str,
    changes: Vec<Change>,
) -> eyre::Result<Session> {
    let mut session = LogOperator::new(log, operator.clone()).await;
    let published = session.publish(note, changes).await?;
    let (id, offset, plan) = (published.id, published.offset, &published.plan);
    let mut lines = vec![format!(
        "{operator} publishes intent {id} at offset {offset}: {note}"
    )];
    lines.push(format!("plan {}", plan.digest()));
    lines.extend(plan.lines().into_iter().map(|line| format!("  {line}")));
    lines.extend(
        plan.warnings()
            .into_iter()
            .map(|line| format!("  warning: {line}")),
    );
    let offset = session.confirm(&published).await?;
    lines.push(format!("confirmed at offset {offset}"));
    let fold = session.fold().clone();
    Ok(Session { lines, fold })
}

/// Waits until so many entry VMs have joined; returns the state of the log then.
pub async fn wait_joined(
    log: SocketAddr,
    vms: usize,
    patience: Duration,
) -> eyre::Result<ReplicatedState> {
    let mut reader = LogOperator::new(log, "reader".parse()?).await;
    let start = Instant::now();
    loop {
        reader.catch_up().await?;
        if reader.fold().roster().members.len() >= vms {
            return Ok(reader.fold().clone());
        }
        ensure!(
            start.elapsed() < patience,
            "not all {vms} entry VMs join in time"
        );
        tokio::time::sleep(POLL).await;
    }
}
