//! Probes the store while it does not answer, so that its recovery is noticed soon.
//!
//! A call that started before the recovery may never be answered. So a probe does not wait for the
//! end of the previous one: probes start at a steady rate, and the first response counts.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::reconnect_pacer::ReconnectPacer;
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
    /// The records from the requested offset on.
    Changes(Page),
    /// The records from that offset on have expired: the newest record of each key has to be read.
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

type Probe = Pin<Box<dyn Future<Output = Result<ProbeAnswer, StoreFailure>>>>;

/// The running probes of one topic.
pub struct StoreProbes {
    addr: SocketAddr,
    topic: Topic,
    pace: ReconnectPacer,
    running: FuturesUnordered<Probe>,
}

impl StoreProbes {
    /// Creates probes. The first one starts at once.
    pub fn new(addr: SocketAddr, topic: Topic) -> Self {
        Self {
            addr,
            topic,
            pace: ReconnectPacer::new(Instant::now()),
            running: FuturesUnordered::new(),
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
        from: Option<u64>,
        waiting: usize,
    ) -> Result<ProbeAnswer, StoreFailure> {
        loop {
            let due = self.pace.due(self.running.len(), waiting);
            tokio::select! {
                Some(result) = self.running.next() => return result,
                () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => self.start_probe(from),
            }
        }
    }

    fn start_probe(&mut self, from: Option<u64>) {
        self.pace.began(Instant::now());
        let client = StoreClient::new(self.addr, self.topic);
        self.running.push(Box::pin(probe(client, from)));
    }
}

async fn probe(mut client: StoreClient, from: Option<u64>) -> Result<ProbeAnswer, StoreFailure> {
    let started = Instant::now();
    let answer = match from {
        Some(from) => client
            .read(from, Duration::ZERO, RESPONSE_TIMEOUT)
            .await
            .map(ProbeResult::Changes),
        None => client.newest().await.map(ProbeResult::Everything),
    };
    let result = match answer {
        Err(StoreFailure::Expired) => ProbeResult::Expired,
        answer => answer?,
    };
    Ok(ProbeAnswer {
        client,
        result,
        time: started.elapsed(),
    })
}
