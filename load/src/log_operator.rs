//! An operator who changes the configuration through the log.

use std::net::SocketAddr;

use carobshore_lib::prelude::*;
use carobshore_lib::record::Confirm;
use carobshore_platform::log_client::AppendAnswer;
use carobshore_platform::log_client::LogClient;
use carobshore_platform::log_client::ReadAnswer;
use eyre::bail;
use uuid::Uuid;

/// Most records that one read asks for.
const READ_RECORDS: u32 = 512;

/// Publishes and confirms changes, with a fold of its own to plan on.
#[derive(Debug)]
pub struct LogOperator {
    log: LogClient,
    operator: OperatorId,
    fold: Fold,
}

impl LogOperator {
    /// Creates an operator that uses the log at `addr`.
    pub async fn new(addr: SocketAddr, operator: OperatorId) -> Self {
        Self {
            log: LogClient::new(addr).await,
            operator,
            fold: Fold::default(),
        }
    }

    /// Returns the state that the operator has read.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Puts changes into force and returns the offset of the confirm.
    pub async fn change(&mut self, changes: Vec<Change>) -> eyre::Result<Offset> {
        self.catch_up().await?;
        let intent = Intent {
            operator: self.operator.clone(),
            note: "".into(),
            changes,
        };
        let plan = Plan::new(self.fold.config(), &intent)?;
        let id = RecordId(Uuid::now_v7());
        let confirm = Confirm {
            operator: self.operator.clone(),
            intent: id,
            digest: plan.digest(),
            bases: plan.bases().clone(),
        };
        self.append(id, Body::Intent(intent)).await?;
        let id = RecordId(Uuid::now_v7());
        self.append(id, Body::Confirm(confirm)).await
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
            AppendAnswer::Refused(message) => bail!("the log refused a record: {message}"),
            AppendAnswer::Lost => bail!("the answer of the log to an append is missing"),
        }
    }
}
