//! Follows the configuration and the targets: through another VM of the failure domain if one can
//! be reached, otherwise in the platform's store.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::keyed_record::unseen;
use carobshore_lib::read_wait::ReadWait;
use carobshore_lib::source_choice::SourceChoice;
use carobshore_lib::store_mirror::Changes;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use carobshore_platform::store_records::Page;
use tokio::time::sleep;

use crate::apply_records;
use crate::feed::FULL_SNAPSHOT;
use crate::feed::Poll;
use crate::feed::SourceState;
use crate::feed_client::FeedClient;
use crate::feed_client::PollFailure;
use crate::gateway::Gateway;
use crate::store_probes::ProbeAnswer;
use crate::store_probes::ProbeResult;
use crate::store_probes::StoreProbes;

/// Pause after a page of records. Changes that come meanwhile are read in one call; the bound for
/// them to be in force is 2 s.
const TARGETS_PAUSE: Duration = Duration::from_millis(300);
const CONFIG_PAUSE: Duration = Duration::from_millis(200);
/// How long the first answer after a start or a cut connection may take before the store counts as
/// lost.
const FIRST_ANSWER: Duration = Duration::from_millis(600);
/// How long both the store and another VM are asked while neither answers, before another VM is
/// chosen.
const SEARCHED: Duration = Duration::from_millis(1_500);
/// How long after the last answer of another VM the next one is asked alone. Later the store is
/// asked at the same time, because a change has to be in force within 2 s.
const SURE: Duration = Duration::from_millis(800);
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
    peer: Option<Peer>,
    /// Chooses it.
    choice: SourceChoice,
    /// When something answered last.
    heard: Instant,
    /// The offset behind what is known; nothing before the first answer.
    next: Option<u64>,
    /// Since when nothing has answered.
    lost: Option<Instant>,
    start_tries: u32,
}

/// Another VM that is asked.
struct Peer {
    client: FeedClient,
    /// Whether it only waits for the store's return itself.
    cut: bool,
    /// Whether it may take changes from this VM, or is of another failure domain. What it knows is
    /// used, but this VM still looks for a source.
    second_hand: bool,
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
        choice: SourceChoice::default(),
        heard: Instant::now(),
        next: None,
        lost: None,
        start_tries: START_TRIES,
    };
    loop {
        watch.step().await;
    }
}

impl Watch {
    /// Takes changes once, from another VM, from the store, or from whichever answers first.
    async fn step(&mut self) {
        self.choose_peer();
        let sure = self.lost.is_none() && self.heard.elapsed() < SURE;
        match (self.peer.take(), self.probes.take(), self.next) {
            (Some(peer), probes, _) if sure => {
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
        if self.peer.is_some() {
            return;
        }
        let mut sources = self.gateway.sources();
        let first_hand = sources.len();
        if self.lost.is_some() {
            sources.extend(self.gateway.followers());
        }
        if self.lost.is_some() && self.next.is_none() {
            sources.extend(self.gateway.seeds());
        }
        let now = Instant::now();
        let Some(source) = self.choice.choose(now, &sources, self.lost.is_some()) else {
            return;
        };
        let (addr, cut) = (source.addr, source.cut);
        // While the store is lost, all VMs before this one are asked again and again.
        let level = self.level();
        log::log!(level, topic:? = self.topic, from:% = addr, cut; "another VM is asked for changes");
        self.peer = Some(Peer {
            client: FeedClient::new(addr),
            cut,
            second_hand: !sources[..first_hand].contains(&addr),
        });
    }

    /// Polls another VM once.
    async fn poll(&mut self, mut peer: Peer) {
        let from = self.next.unwrap_or(FULL_SNAPSHOT);
        match peer.poll(self.topic, from).await {
            Ok(changes) => self.polled(peer, from, changes),
            Err(failure) if self.start_tries > 0 => {
                log::debug!(topic:? = self.topic, reason = &*failure.reason; "another VM is not ready yet");
                self.start_tries -= 1;
                sleep(START_PAUSE).await;
                self.peer = Some(peer);
            }
            Err(failure) => self.avoid(&peer, &failure),
        }
    }

    fn polled(&mut self, peer: Peer, from: u64, changes: Changes) {
        self.start_tries = 0;
        if !peer.second_hand {
            self.probes = None;
            self.answered();
        }
        self.peer = Some(Peer { cut: false, ..peer });
        if changes.whole {
            self.take_all(changes.records, changes.next);
        } else if changes.next != from {
            self.take_some(changes.records, changes.next);
        }
    }

    fn avoid(&mut self, peer: &Peer, failure: &PollFailure) {
        let addr = peer.client.addr();
        let level = self.level();
        log::log!(level, topic:? = self.topic, from:% = addr, reason = &*failure.reason; "another VM does not hand changes on");
        self.choice.failed(Instant::now(), addr, failure.kind);
        if self.lost.is_none() {
            self.set_state(SourceState::Searching);
        }
        // The store's connection has not been used since this VM took changes from another one.
        let probes = self.probes.take();
        self.probes = Some(probes.unwrap_or_else(|| self.new_probes()));
    }

    fn set_state(&self, state: SourceState) {
        self.gateway.feed(self.topic).set_state(state);
    }

    /// Returns the level of lines about other VMs.
    fn level(&self) -> log::Level {
        match self.lost {
            None => log::Level::Info,
            Some(_) => log::Level::Debug,
        }
    }

    /// Asks the store and another VM at the same time, until one of them answers or another VM can
    /// be asked.
    async fn search(&mut self, peer: Option<Peer>, mut probes: StoreProbes) {
        let from = self.next;
        let patience = match self.lost {
            None => FIRST_ANSWER,
            Some(_) => SEARCHED,
        };
        probes.set_addr(self.gateway.boot.borrow().store);
        let sources = self.gateway.sources();
        let waiting = self.choice.waiting(Instant::now(), &sources);
        let mut other = pin!(poll_if_any(peer, self.topic, from));
        let mut patience = pin!(sleep(patience));
        loop {
            tokio::select! {
                answered = probes.answer(from, waiting) => match answered {
                    Ok(ProbeAnswer { client, result, time }) => {
                        self.store = client;
                        self.wait = ReadWait::after(time);
                        return self.probe_answered(result);
                    }
                    Err(failure) => {
                        self.gateway.metrics.store_call("failed");
                        self.lose(&failure.to_string());
                    }
                },
                (peer, polled) = &mut other => return match polled {
                    Ok(changes) => {
                        self.probes = Some(probes);
                        self.polled(peer, from.unwrap_or(FULL_SNAPSHOT), changes);
                    }
                    Err(failure) => {
                        self.probes = Some(probes);
                        self.avoid(&peer, &failure);
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
    fn probe_answered(&mut self, result: ProbeResult) {
        self.store_answered();
        match result {
            // Another VM may have told more since the call began.
            ProbeResult::Everything(newest) if self.next.is_some_and(|next| newest.end < next) => {}
            ProbeResult::Everything(newest) => self.take_all(newest.records, newest.end),
            ProbeResult::Changes(page) => self.take_page(page),
            ProbeResult::Expired => self.expired(),
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
        let known = self.next.unwrap_or_default();
        if page.next > known {
            self.take_some(unseen(page.records, known), page.next);
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
        self.heard = Instant::now();
        self.set_state(SourceState::Found);
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
        self.gateway.metrics.store_call("failed");
        self.probes = Some(self.new_probes());
        if *failure == StoreFailure::Closed {
            // The store cuts connections when it drops records; it may well answer at once.
            log::info!(topic:? = self.topic; "the store cut the connection");
        } else {
            self.lose(&failure.to_string());
        }
    }

    /// Notes that the store does not answer.
    fn lose(&mut self, reason: &str) {
        if self.lost.is_some() {
            log::debug!(topic:? = self.topic, reason; "the store still does not answer");
            return;
        }
        self.set_state(SourceState::Lost);
        self.lost = Some(Instant::now());
        log::warn!(topic:? = self.topic, reason; "the store does not answer");
    }

    fn take_all(&mut self, records: Vec<KeyedRecord>, next: u64) {
        self.next = Some(next);
        apply_records::apply_snapshot(&self.gateway, self.topic, &records);
        let feed = self.gateway.feed(self.topic);
        feed.update(|mirror| mirror.load(records, next));
    }

    fn take_some(&mut self, records: Vec<KeyedRecord>, next: u64) {
        self.next = Some(next);
        apply_records::apply_changes(&self.gateway, self.topic, &records);
        let feed = self.gateway.feed(self.topic);
        feed.update(|mirror| mirror.extend(records, next));
    }
}

/// Polls another VM, or waits for ever if there is none.
async fn poll_if_any(
    peer: Option<Peer>,
    topic: Topic,
    from: Option<u64>,
) -> (Peer, Result<Changes, PollFailure>) {
    let Some(mut peer) = peer else {
        return std::future::pending().await;
    };
    let polled = peer.poll(topic, from.unwrap_or(FULL_SNAPSHOT)).await;
    (peer, polled)
}

impl Peer {
    async fn poll(&mut self, topic: Topic, from: u64) -> Result<Changes, PollFailure> {
        let poll = Poll {
            topic,
            from,
            patient: self.cut,
        };
        self.client.poll(poll).await
    }
}
