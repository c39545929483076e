//! Probes the store while it does not answer, so that its recovery is noticed soon.
//!
//! A call that started before the recovery may never be answered. So a probe does not wait for the
//! end of the previous one: probes start at a steady rate, and the first response counts.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::StorePosition;
use carobshore_lib::reconnect_pacer::ReconnectPacer;
use carobshore_platform::era_watch::EraWatch;
use carobshore_platform::store_client::FirstPage;
use carobshore_platform::store_client::NewestRecords;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use carobshore_platform::store_records::Page;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep_until;

/// Time limit for the response to a probe. It is long enough for a slow store.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The content of a response from the store.
#[derive(Debug)]
pub enum ProbeResult {
    /// The newest record of each key.
    Everything(NewestRecords),
    /// The records from the requested position on.
    Changes(Page),
    /// The store is in a later era than that of the requested position.
    LaterEra,
    /// The records from that position on have expired: the newest record of each key has to be read.
    Expired,
}

/// A response from the store.
#[derive(Debug)]
pub struct ProbeAnswer {
    /// The client that received it, with its connection.
    pub client: StoreClient,
    /// The content.
    pub result: ProbeResult,
    /// How long the call took.
    pub time: Duration,
}

/// What a call of a probe has returned.
enum ProbeStep {
    /// The response of the store, whole.
    Answer(ProbeAnswer),
    /// The first page of a list.
    FirstPage {
        client: StoreClient,
        page: FirstPage,
        /// How long the call took.
        time: Duration,
    },
}

type Probe = Pin<Box<dyn Future<Output = Result<ProbeStep, StoreFailure>>>>;

/// The running probes of one topic.
pub struct StoreProbes {
    addr: SocketAddr,
    topic: Topic,
    eras: Rc<EraWatch>,
    pace: ReconnectPacer,
    running: FuturesUnordered<Probe>,
    /// Whether the only probe that runs reads the rest of a list. There is memory for one list.
    reads_rest: bool,
}

impl StoreProbes {
    /// Creates probes. The first one starts at once.
    pub fn new(addr: SocketAddr, topic: Topic, eras: Rc<EraWatch>) -> Self {
        Self {
            addr,
            topic,
            eras,
            pace: ReconnectPacer::new(Instant::now()),
            running: FuturesUnordered::new(),
            reads_rest: false,
        }
    }

    /// Changes the address of the store for later probes.
    pub fn set_addr(&mut self, addr: SocketAddr) {
        self.addr = addr;
    }

    /// Waits until a probe ends. Dropping the future keeps the probes running. `waiting` is the
    /// number of VMs that probe as well and would report the recovery, so that probes can be rare.
    pub async fn next_answer(
        &mut self,
        from: Option<StorePosition>,
        waiting: usize,
    ) -> Result<ProbeAnswer, StoreFailure> {
        loop {
            let due = self.pace.due(self.running.len(), waiting);
            let due = due.filter(|_| !self.reads_rest);
            tokio::select! {
                Some(result) = self.running.next() => match self.on_step(result) {
                    Some(result) => return result,
                    None => continue,
                },
                () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => self.start_probe(from),
            }
        }
    }

    /// Returns the result of a probe. After the first page of a list there is none yet: the probe reads
    /// the rest, and the others end, because the store answers.
    fn on_step(
        &mut self,
        step: Result<ProbeStep, StoreFailure>,
    ) -> Option<Result<ProbeAnswer, StoreFailure>> {
        self.reads_rest = false;
        match step {
            Ok(ProbeStep::Answer(answer)) => Some(Ok(answer)),
            Ok(ProbeStep::FirstPage { client, page, time }) => {
                self.running.clear();
                self.running.push(Box::pin(read_rest(client, page, time)));
                self.reads_rest = true;
                None
            }
            Err(failure) => Some(Err(failure)),
        }
    }

    fn start_probe(&mut self, from: Option<StorePosition>) {
        self.pace.began(Instant::now());
        let client = StoreClient::new(self.addr, self.topic, Rc::clone(&self.eras));
        self.running.push(Box::pin(probe(client, from)));
    }
}

/// Calls the store once.
async fn probe(
    mut client: StoreClient,
    from: Option<StorePosition>,
) -> Result<ProbeStep, StoreFailure> {
    let started = Instant::now();
    let answer = match from {
        Some(from) => client
            .read(from.offset.0, Duration::ZERO, RESPONSE_TIMEOUT)
            .await
            .map(|page| match page.next.era == from.era {
                true => ProbeResult::Changes(page),
                false => ProbeResult::LaterEra,
            }),
        None => {
            let page = client.first_page().await?;
            let time = started.elapsed();
            return Ok(ProbeStep::FirstPage { client, page, time });
        }
    };
    let result = match answer {
        Err(StoreFailure::Expired) => ProbeResult::Expired,
        answer => answer?,
    };
    Ok(ProbeStep::Answer(ProbeAnswer {
        client,
        result,
        time: started.elapsed(),
    }))
}

/// Reads the rest of a list.
async fn read_rest(
    mut client: StoreClient,
    page: FirstPage,
    time: Duration,
) -> Result<ProbeStep, StoreFailure> {
    let newest = client.newest_after(page).await?;
    Ok(ProbeStep::Answer(ProbeAnswer {
        client,
        result: ProbeResult::Everything(newest),
        time,
    }))
}
