//! Follows the configuration and the targets: through another VM of the failure domain if one can
//! be reached, otherwise in the platform's store.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::read_wait::ReadWait;
use carobshore_lib::store_mirror::Changes;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use carobshore_platform::store_records::Page;
use tokio::time::sleep;

use crate::feed::EVERYTHING;
use crate::feed::FeedClient;
use crate::gateway::Gateway;
use crate::store_probes::Answer;
use crate::store_probes::Found;
use crate::store_probes::StoreProbes;
use crate::take_over;

/// Pause after a page of records. Changes that come meanwhile are read in one call; the bound for
/// them to be in force is 2 s.
const TARGETS_PAUSE: Duration = Duration::from_millis(300);
const CONFIG_PAUSE: Duration = Duration::from_millis(200);
/// How long the first answer after a start or a cut connection may take before the store counts as
/// lost.
const FIRST_ANSWER: Duration = Duration::from_millis(600);
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
    /// How long its reads wait.
    wait: ReadWait,
    /// The calls that ask for an answer while the store has given none to the last call. A read that
    /// waits proves nothing then.
    probes: Option<StoreProbes>,
    /// The other VM that is asked.
    peer: Option<FeedClient>,
    /// Other VMs that failed, and until when they are not asked.
    avoided: Vec<(SocketAddr, Instant)>,
    /// Until when no other VM is asked.
    direct_until: Option<Instant>,
    /// The offset behind what is known; nothing before the first answer.
    next: Option<u64>,
    /// Since when nothing has answered.
    lost: Option<Instant>,
    start_tries: u32,
}

/// Follows a topic until the process ends.
pub async fn follow(gateway: Rc<Gateway>, topic: Topic) -> eyre::Result<()> {
    let addr = gateway.boot.borrow().store;
    let mut watch = Watch {
        store: StoreClient::new(addr, topic),
        wait: ReadWait::default(),
        probes: Some(StoreProbes::new(addr, topic)),
        gateway,
        topic,
        peer: None,
        avoided: Vec::new(),
        direct_until: None,
        next: None,
        lost: None,
        start_tries: START_TRIES,
    };
    loop {
        watch.step().await;
    }
}

impl Watch {
    async fn step(&mut self) {
        self.choose_peer();
        let peer = self.peer.take();
        match (peer, self.probes.take(), self.next) {
            (Some(peer), probes, _) if self.lost.is_none() => {
                self.probes = probes;
                self.poll(peer).await;
            }
            (None, None, Some(from)) => self.read(from).await,
            (peer, probes, _) => {
                let probes = probes.unwrap_or_else(|| self.new_probes());
                self.search(peer, probes).await;
            }
        }
    }

    fn new_probes(&self) -> StoreProbes {
        let addr = self.gateway.boot.borrow().store;
        StoreProbes::new(addr, self.topic)
    }

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
        let polled = peer.poll(self.topic, from).await;
        match polled {
            Ok(changes) => self.polled(peer, from, changes),
            Err(reason) if self.start_tries > 0 => {
                log::debug!(topic:? = self.topic, reason = &*reason; "another VM is not ready yet");
                self.start_tries -= 1;
                sleep(START_PAUSE).await;
                self.peer = Some(peer);
            }
            Err(reason) => self.avoid(&peer, &reason),
        }
    }

    fn polled(&mut self, peer: FeedClient, from: u64, changes: Changes) {
        self.start_tries = 0;
        self.answered();
        if changes.whole {
            self.take_all(changes.records, changes.next);
        } else if changes.next != from {
            self.take_some(changes.records, changes.next);
        }
        if self.gateway.sources().contains(&peer.addr()) {
            self.peer = Some(peer);
        } else {
            // A VM of another failure domain is asked only for the start, and what it knows may be old.
            self.probes = Some(self.new_probes());
        }
    }

    fn avoid(&mut self, peer: &FeedClient, reason: &str) {
        log::info!(topic:? = self.topic, from:% = peer.addr(), reason; "another VM does not hand changes on");
        // VMs that follow this one must not wait for it meanwhile.
        self.gateway.feed(self.topic).set_healthy(false);
        let (now, topic) = (Instant::now(), self.topic);
        let addr = self.gateway.boot.borrow().store;
        self.avoided.push((peer.addr(), now + AVOIDED));
        self.direct_until = Some(now + DIRECT);
        self.probes
            .get_or_insert_with(|| StoreProbes::new(addr, topic));
    }

    /// Asks the store and another VM at the same time, until one of them answers or another VM can
    /// be asked.
    async fn search(&mut self, peer: Option<FeedClient>, mut probes: StoreProbes) {
        let from = self.next;
        let patience = match self.lost {
            None => FIRST_ANSWER,
            Some(_) => DIRECT,
        };
        probes.set_addr(self.gateway.boot.borrow().store);
        let mut other = pin!(poll_if_any(peer, self.topic, from));
        let mut patience = pin!(sleep(patience));
        loop {
            tokio::select! {
                answered = probes.answer(from) => match answered {
                    Ok(Answer { client, found, time }) => {
                        self.store = client;
                        self.wait = ReadWait::after(time);
                        return self.found(found);
                    }
                    Err(failure) => self.lose(&failure.to_string()),
                },
                (peer, polled) = &mut other => return match polled {
                    Ok(changes) => self.polled(peer, from.unwrap_or(EVERYTHING), changes),
                    Err(reason) => {
                        self.probes = Some(probes);
                        self.avoid(&peer, &reason);
                    }
                },
                () = &mut patience => {
                    self.probes = Some(probes);
                    return self.lose("no answer yet");
                }
            }
        }
    }

    /// Takes in what the store answered to a probe.
    fn found(&mut self, found: Found) {
        self.store_answered();
        match found {
            Found::Everything(newest) => self.take_all(newest.records, newest.end),
            Found::Changes(page) => self.take_page(page),
            Found::Expired => self.expired(),
        }
    }

    fn expired(&mut self) {
        log::info!(topic:? = self.topic, offset = self.next; "records have expired; reading all");
        self.next = None;
    }

    fn take_page(&mut self, page: Page) {
        if page.malformed > 0 {
            log::warn!(topic:? = self.topic, count = page.malformed; "malformed records");
        }
        if self.next != Some(page.next) {
            self.take_some(page.records, page.next);
        }
    }

    /// Reads the store once.
    async fn read(&mut self, from: u64) {
        let (wait, slack) = (self.wait.get(), self.wait.slack());
        match self.store.read(from, wait, slack).await {
            Ok(page) if page.next == from => self.store_answered(),
            Ok(page) => {
                self.store_answered();
                self.take_page(page);
                sleep(self.pause()).await;
            }
            Err(StoreFailure::Expired) => self.expired(),
            Err(failure) => self.failed(&failure),
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
        self.answered();
    }

    /// Notes that a source answered.
    fn answered(&mut self) {
        self.gateway.feed(self.topic).set_healthy(true);
        let Some(since) = self.lost.take() else {
            return;
        };
        let ms = since.elapsed().as_millis() as u64;
        log::info!(topic:? = self.topic, ms; "changes arrive again");
        if self.topic == Topic::Targets {
            let mut directory = self.gateway.directory.borrow_mut();
            directory.store_returned(Instant::now());
        }
    }

    /// Notes that a read failed.
    fn failed(&mut self, failure: &StoreFailure) {
        self.probes = Some(self.new_probes());
        if *failure == StoreFailure::Cut {
            // The store cuts connections when it drops records; it may well answer at once.
            self.gateway.metrics.store_call("failed");
            log::info!(topic:? = self.topic; "the store cut the connection");
        } else {
            self.lose(&failure.to_string());
        }
    }

    /// Notes that the store did not answer a call.
    fn lose(&mut self, reason: &str) {
        self.gateway.metrics.store_call("failed");
        if self.lost.is_some() {
            log::debug!(topic:? = self.topic, reason; "the store still does not answer");
            return;
        }
        self.gateway.feed(self.topic).set_healthy(false);
        self.lost = Some(Instant::now());
        log::warn!(topic:? = self.topic, reason; "the store does not answer");
        // Another VM may still reach the store.
        self.direct_until = None;
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

/// Polls another VM, or waits for ever if there is none.
async fn poll_if_any(
    peer: Option<FeedClient>,
    topic: Topic,
    from: Option<u64>,
) -> (FeedClient, Result<Changes, Box<str>>) {
    let Some(mut peer) = peer else {
        return std::future::pending().await;
    };
    let polled = peer.poll(topic, from.unwrap_or(EVERYTHING)).await;
    (peer, polled)
}
