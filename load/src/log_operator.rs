//! An operator who changes the configuration through the log.

use std::net::SocketAddr;

use carobshore_lib::history::Verdict;
use carobshore_lib::prelude::*;
use carobshore_lib::record::Confirm;
use carobshore_platform::log_client::AppendAnswer;
use carobshore_platform::log_client::LogClient;
use carobshore_platform::log_client::ReadAnswer;
use eyre::bail;
use uuid::Uuid;

/// Most records that one read asks for.
const READ_RECORDS: u32 = 512;

/// An intent on the log with the plan that it has there.
#[derive(Clone, Debug)]
pub struct Published {
    /// The intent's record id.
    pub id: RecordId,
    /// The intent's offset.
    pub offset: Offset,
    /// The plan.
    pub plan: Plan,
}

/// Publishes and confirms changes, with a fold of its own to plan on.
#[derive(Debug)]
pub struct LogOperator {
    log: LogClient,
    operator: OperatorId,
    fold: ReplicatedState,
}

impl LogOperator {
    /// Creates an operator that uses the log at `addr`.
    pub async fn new(addr: SocketAddr, operator: OperatorId) -> Self {
        Self {
            log: LogClient::new(addr),
            operator,
            fold: ReplicatedState::default(),
        }
    }

    /// Returns the state that the operator has read.
    pub fn fold(&self) -> &ReplicatedState {
        &self.fold
    }

    /// Publishes an intent.
    pub async fn publish(&mut self, note: &str, changes: Vec<Change>) -> eyre::Result<Published> {
        let intent = Intent {
            operator: self.operator.clone(),
            note: note.into(),
            changes,
        };
        let id = RecordId(Uuid::now_v7());
        let offset = self.append(id, Body::Intent(intent.clone())).await?;
        self.catch_up().await?;
        let plan = Plan::new(self.fold.config(), &intent)?;
        Ok(Published { id, offset, plan })
    }

    /// Confirms the plan of an intent and returns the offset of the confirm. The log's order
    /// decides whether it holds.
    pub async fn confirm(&mut self, published: &Published) -> eyre::Result<Offset> {
        let confirm = Confirm {
            operator: self.operator.clone(),
            intent: published.id,
            digest: published.plan.digest(),
            bases: published.plan.bases().clone(),
        };
        let id = RecordId(Uuid::now_v7());
        let offset = self.append(id, Body::Confirm(confirm)).await?;
        self.catch_up().await?;
        match self.fold.entry_of(id).map(|entry| &entry.verdict) {
            Some(Verdict::InForce { .. }) => Ok(offset),
            judged => bail!("the confirm at offset {offset} does not hold: {judged:?}"),
        }
    }

    /// Puts changes into force and returns the offset of the confirm.
    pub async fn change(&mut self, changes: Vec<Change>) -> eyre::Result<Offset> {
        let published = self.publish("", changes).await?;
        self.confirm(&published).await
    }

    /// Reads to the end of the log.
    pub async fn catch_up(&mut self) -> eyre::Result<()> {
        loop {
            let from = self.fold.applied();
            let ReadAnswer::Page(page) = self.log.read(from, READ_RECORDS).await else {
                bail!(
                    "the log at {} cannot be read from offset {from}",
                    self.log.addr()
                );
            };
            for record in &page.records {
                self.fold.apply_text(record.offset, &record.data);
            }
            if self.fold.applied() >= page.next {
                return Ok(());
            }
        }
    }

    async fn append(&self, id: RecordId, body: Body) -> eyre::Result<Offset> {
        match self.log.append(&Record { id, body }).await {
            AppendAnswer::Appended(offset) => Ok(offset),
            AppendAnswer::Rejected(message) => bail!("the log refused a record: {message}"),
            AppendAnswer::OutcomeUnknown => bail!("the answer of the log to an append is missing"),
        }
    }
}
