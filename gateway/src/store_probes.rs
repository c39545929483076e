//! Asks the store again and again while it does not answer, so that its return is noticed soon.
//!
//! A call that was begun before the store's return may never be answered. So the next one does not
//! wait for the end of the last one: calls begin at a steady pace, and the first answer counts.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::return_pace::ReturnPace;
use carobshore_platform::store_client::Newest;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use carobshore_platform::store_records::Page;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep_until;

/// Time for the answer of a call. A slow store takes long, and is still heard.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// What the store answered.
#[derive(Debug)]
pub enum ProbeResult {
    /// Everything it has.
    Everything(Newest),
    /// What comes after the offset that was asked for.
    Changes(Page),
    /// What came after that offset is gone: everything has to be read.
    Expired,
}

/// An answer of the store.
#[derive(Debug)]
pub struct ProbeAnswer {
    /// The client that got it, with its connection.
    pub client: StoreClient,
    /// What it says.
    pub result: ProbeResult,
    /// How long it took.
    pub time: Duration,
}

type Asking = Pin<Box<dyn Future<Output = Result<ProbeAnswer, StoreFailure>>>>;

/// The calls under way.
pub struct StoreProbes {
    addr: SocketAddr,
    topic: Topic,
    pace: ReturnPace,
    running: FuturesUnordered<Asking>,
}

impl StoreProbes {
    /// Builds probes of which the first one begins at once.
    pub fn new(addr: SocketAddr, topic: Topic) -> Self {
        Self {
            addr,
            topic,
            pace: ReturnPace::new(Instant::now()),
            running: FuturesUnordered::new(),
        }
    }

    /// Changes the address of the store for the calls that have not begun.
    pub fn set_addr(&mut self, addr: SocketAddr) {
        self.addr = addr;
    }

    /// Waits until a call has ended. Dropping the future keeps the calls under way. `waiting`
    /// counts the VMs that would tell of the store's return, so that calls are rare.
    pub async fn answer(
        &mut self,
        from: Option<u64>,
        waiting: usize,
    ) -> Result<ProbeAnswer, StoreFailure> {
        loop {
            let due = self.pace.due(self.running.len(), waiting);
            tokio::select! {
                Some(result) = self.running.next() => return result,
                () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => self.begin(from),
            }
        }
    }

    fn begin(&mut self, from: Option<u64>) {
        self.pace.began(Instant::now());
        let client = StoreClient::new(self.addr, self.topic);
        self.running.push(Box::pin(ask(client, from)));
    }
}

async fn ask(mut client: StoreClient, from: Option<u64>) -> Result<ProbeAnswer, StoreFailure> {
    let started = Instant::now();
    let answer = match from {
        Some(from) => client
            .read(from, Duration::ZERO, ANSWER_TIME)
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
