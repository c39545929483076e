//! Follows the configuration and the targets: through another VM of the failure domain if one can
//! be reached, otherwise in the platform's store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::backoff::Backoff;
use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::read_wait::CONFIRM_PAUSE;
use carobshore_lib::read_wait::ReadWait;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use carobshore_platform::store_records::Page;

use crate::feed::EVERYTHING;
use crate::feed::FeedClient;
use crate::gateway::Gateway;
use crate::take_over;

/// Pause after a page of records. Changes that come meanwhile are read in one call; the bound for
/// them to be in force is 2 s.
const TARGETS_PAUSE: Duration = Duration::from_millis(300);
const CONFIG_PAUSE: Duration = Duration::from_millis(200);
/// Pauses between calls while the store fails. Refused calls cost as much as others.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for the answer to a read that confirms another one.
const CONFIRM_TIME: Duration = Duration::from_secs(1);
/// How long another VM that failed is not asked again.
const AVOIDED: Duration = Duration::from_secs(3);
/// How long the store is read directly after another VM failed, before the next one is asked.
const DIRECT: Duration = Duration::from_millis(1_500);
/// How often a VM that has just started is asked while the other one starts too.
const START_TRIES: u32 = 4;
const START_PAUSE: Duration = Duration::from_millis(150);

/// Follows one topic.
struct Watch {
    gateway: Rc<Gateway>,
    topic: Topic,
    store: StoreClient,
    /// The other VM that is asked.
    peer: Option<FeedClient>,
    /// Other VMs that failed, and until when they are not asked.
    avoided: Vec<(SocketAddr, Instant)>,
    /// Until when no other VM is asked.
    direct_until: Option<Instant>,
    backoff: Backoff,
    /// Confirms the reads of `store` over a connection of its own.
    confirmer: StoreClient,
    /// Whether the store answered the last call. A read that waits proves nothing before.
    store_answers: bool,
    /// The offset behind what is known; nothing before the first answer.
    next: Option<u64>,
    /// Since when nothing has answered.
    lost: Option<Instant>,
    /// Whether the store cut the connection and has not answered since.
    cut: bool,
    start_tries: u32,
}

/// Follows a topic until the process ends.
pub async fn follow(gateway: Rc<Gateway>, topic: Topic) -> eyre::Result<()> {
    let addr = gateway.boot.borrow().store;
    let mut watch = Watch {
        gateway,
        topic,
        store: StoreClient::new(addr, topic),
        peer: None,
        avoided: Vec::new(),
        direct_until: None,
        backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE),
        confirmer: StoreClient::new(addr, topic),
        store_answers: false,
        next: None,
        lost: None,
        cut: false,
        start_tries: START_TRIES,
    };
    loop {
        watch.choose_peer();
        match watch.peer.take() {
            Some(peer) => watch.poll(peer).await,
            None => watch.read().await,
        }
    }
}

impl Watch {
    /// Turns to the preferred one of the VMs that may be asked.
    fn choose_peer(&mut self) {
        let now = Instant::now();
        if self.peer.is_some() || self.direct_until.is_some_and(|until| now < until) {
            return;
        }
        self.avoided.retain(|(_, until)| *until > now);
        let mut sources = self.gateway.sources();
        if self.next.is_none() && self.lost.is_some() {
            sources.extend(self.gateway.seeds());
        }
        let usable = |addr: &SocketAddr| !self.avoided.iter().any(|(other, _)| other == addr);
        if let Some(addr) = sources.into_iter().find(usable) {
            log::info!(topic:? = self.topic, from:% = addr; "changes come from another VM");
            self.peer = Some(FeedClient::new(addr));
        }
    }

    /// Polls another VM once.
    async fn poll(&mut self, mut peer: FeedClient) {
        let from = self.next.unwrap_or(EVERYTHING);
        match peer.poll(self.topic, from).await {
            Ok(changes) => {
                self.start_tries = 0;
                self.answered();
                if changes.whole {
                    self.take_all(changes.records, changes.next);
                } else if changes.next != from {
                    self.take_some(changes.records, changes.next);
                }
                // A VM of another failure domain is asked only for the start.
                self.peer = Some(peer).filter(|peer| self.gateway.sources().contains(&peer.addr()));
            }
            Err(reason) if self.start_tries > 0 && self.lost.is_none() => {
                log::debug!(topic:? = self.topic, reason = &*reason; "another VM is not ready yet");
                self.start_tries -= 1;
                tokio::time::sleep(START_PAUSE).await;
                self.peer = Some(peer);
            }
            Err(reason) => {
                log::info!(topic:? = self.topic, from:% = peer.addr(), reason = &*reason; "another VM does not hand changes on");
                // VMs that follow this one must not wait for it meanwhile.
                self.gateway.feed(self.topic).set_healthy(false);
                let now = Instant::now();
                self.avoided.push((peer.addr(), now + AVOIDED));
                self.direct_until = Some(now + DIRECT);
            }
        }
    }

    /// Reads the store once.
    async fn read(&mut self) {
        let Some(from) = self.next else {
            return self.load().await;
        };
        match self.wait_for_records(from).await {
            Ok(page) if page.next == from => self.store_answered(),
            Ok(page) => {
                self.store_answered();
                if page.malformed > 0 {
                    log::warn!(topic:? = self.topic, count = page.malformed; "malformed records");
                }
                self.take_some(page.records, page.next);
                tokio::time::sleep(self.pause()).await;
            }
            Err(StoreFailure::Expired) => {
                log::info!(topic:? = self.topic, offset = from; "records have expired; reading all");
                self.next = None;
            }
            Err(failure) => self.failed(&failure).await,
        }
    }

    /// Waits for records from an offset on, with whatever it takes to miss none.
    async fn wait_for_records(&mut self, from: u64) -> Result<Page, StoreFailure> {
        let relied_on = self.gateway.feed(self.topic).is_relied_on(Instant::now());
        let wait = ReadWait::new(relied_on);
        if !self.store_answers {
            return self.store.read(from, Duration::ZERO, CONFIRM_TIME).await;
        }
        let read = self.store.read(from, wait.get(), wait.slack());
        if !wait.needs_confirming() {
            return read.await;
        }
        tokio::pin!(read);
        tokio::select! {
            answer = &mut read => return answer,
            confirmed = confirm(&mut self.confirmer, from) => if let Some(page) = confirmed? {
                log::info!(topic:? = self.topic, offset = from; "a waiting read had missed records");
                return Ok(page);
            },
        }
        read.await
    }

    /// Reads everything from the store.
    async fn load(&mut self) {
        match self.store.newest().await {
            Ok(newest) => {
                self.store_answered();
                self.take_all(newest.records, newest.end);
            }
            Err(failure) => self.failed(&failure).await,
        }
    }

    fn pause(&self) -> Duration {
        match self.topic {
            Topic::Targets => TARGETS_PAUSE,
            Topic::Operators | Topic::Vms => CONFIG_PAUSE,
        }
    }

    fn store_answered(&mut self) {
        self.gateway.metrics.store_call("answered");
        self.store_answers = true;
        self.answered();
    }

    /// Notes that a source answered.
    fn answered(&mut self) {
        self.cut = false;
        self.backoff.succeeded();
        self.gateway.feed(self.topic).set_healthy(true);
        if let Some(since) = self.lost.take() {
            let ms = since.elapsed().as_millis() as u64;
            log::info!(topic:? = self.topic, ms; "changes arrive again");
            let mut directory = self.gateway.directory.borrow_mut();
            directory.store_returned(Instant::now());
        }
    }

    /// Notes that the store did not answer, and pauses.
    async fn failed(&mut self, failure: &StoreFailure) {
        self.gateway.metrics.store_call("failed");
        self.store_answers = false;
        if *failure == StoreFailure::Cut && !std::mem::replace(&mut self.cut, true) {
            // The store cuts connections when it drops records; it may well answer at once.
            log::info!(topic:? = self.topic; "the store cut the connection");
            return;
        }
        self.gateway.feed(self.topic).set_healthy(false);
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            log::warn!(topic:? = self.topic, reason:% = failure; "the store does not answer");
        }
        let addr = self.gateway.boot.borrow().store;
        self.store.set_addr(addr);
        self.confirmer.set_addr(addr);
        // Another VM may still reach the store.
        self.direct_until = None;
        tokio::time::sleep(self.backoff.failed()).await;
    }

    fn take_all(&mut self, records: Vec<KeyedRecord>, next: u64) {
        self.next = Some(next);
        take_over::all(&self.gateway, self.topic, &records);
        let feed = self.gateway.feed(self.topic);
        feed.update(|mirror| mirror.load(records, next));
    }

    fn take_some(&mut self, records: Vec<KeyedRecord>, next: u64) {
        self.next = Some(next);
        take_over::some(&self.gateway, self.topic, &records);
        let feed = self.gateway.feed(self.topic);
        feed.update(|mirror| mirror.extend(records, next));
    }
}

/// Reads without a wait until a quick answer shows that a read that waits has been taken into account.
/// Returns the records that it has missed. A store that does not answer this does not serve the other
/// read either, which would find out much later.
async fn confirm(confirmer: &mut StoreClient, from: u64) -> Result<Option<Page>, StoreFailure> {
    loop {
        tokio::time::sleep(CONFIRM_PAUSE).await;
        let started = Instant::now();
        let page = confirmer.read(from, Duration::ZERO, CONFIRM_TIME).await?;
        if page.next != from {
            return Ok(Some(page));
        }
        if ReadWait::confirms(started.elapsed()) {
            return Ok(None);
        }
    }
}
