//! Follows the configuration and the targets, through another VM of the failure domain if one can
//! be reached, otherwise through the platform's store.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::keyed_record::unseen;
use carobshore_lib::long_poll::LongPoll;
use carobshore_lib::prelude::StorePosition;
use carobshore_lib::record_age::RecordAge;
use carobshore_lib::source_selector::SourceFailure;
use carobshore_lib::source_selector::SourceSelector;
use carobshore_lib::start_phase::StartPhase;
use carobshore_lib::store_reader::StoreReader;
use carobshore_lib::store_reader::Use;
use carobshore_platform::era_watch::EraWatch;
use carobshore_platform::store_client::NewestRecords;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use carobshore_platform::store_records::Page;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::apply_records;
use crate::feed::SourceState;
use crate::feed_client::CONNECT_TIMEOUT;
use crate::feed_client::FeedClient;
use crate::feed_client::PollFailure;
use crate::feed_client::PollNews;
use crate::feed_client::PolledChanges;
use crate::feed_format::FeedFormat;
use crate::feed_peer;
use crate::feed_peer::Peer;
use crate::gateway::Gateway;
use crate::limits;
use crate::record_source::RecordSource;
use crate::recovery_news;
use crate::store_probes::ProbeAnswer;
use crate::store_probes::ProbeResult;
use crate::store_probes::StoreProbes;
use crate::vm_list_sync;

/// Pause after a page of records, so that the changes of that time are read in one call. A change
/// must be in force within 2 s.
const TARGETS_PAUSE: Duration = Duration::from_millis(300);
const CONFIG_PAUSE: Duration = Duration::from_millis(200);
/// How long the first response after a start or a closed connection may take before the store
/// counts as lost.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the store and another VM are both queried without a response before another VM is
/// chosen.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before a failed poll is retried while VMs start.
const START_PAUSE: Duration = Duration::from_millis(40);

/// The follower of one topic.
struct Watch {
    gateway: Rc<Gateway>,
    topic: Topic,
    store: StoreClient,
    /// How long a read waits for records.
    wait: LongPoll,
    /// Probes that replace reads after a call to the store has failed. While a read waits for
    /// records, it cannot tell whether the store is available.
    probes: Option<StoreProbes>,
    /// The other VM that is polled.
    peer: Option<Peer>,
    /// Chooses the peer.
    choice: SourceSelector,
    /// When the store last confirmed the records, to this VM or through others.
    record_age: RecordAge,
    /// Up to where the topic is known.
    reader: StoreReader,
    /// Since when no source has responded; nothing while one does.
    lost_since: Option<Instant>,
    /// When this VM last called the store because it had heard that the store answers others.
    called_on_news: Instant,
    /// The time in which other VMs may be starting as well.
    start: StartPhase,
}

/// Follows a topic until the process exits.
pub async fn follow(gateway: Rc<Gateway>, topic: Topic) -> eyre::Result<()> {
    let addr = gateway.boot.borrow().store;
    let mut watch = Watch {
        store: StoreClient::new(addr, topic, Rc::clone(&gateway.eras)),
        wait: LongPoll::default(),
        probes: Some(StoreProbes::new(addr, topic, Rc::clone(&gateway.eras))),
        gateway,
        topic,
        peer: None,
        choice: SourceSelector::default(),
        record_age: RecordAge::new(Instant::now()),
        reader: StoreReader::default(),
        lost_since: None,
        called_on_news: Instant::now(),
        start: StartPhase::new(Instant::now()),
    };
    loop {
        watch.step().await;
    }
}

impl Watch {
    /// Gets changes once, from another VM, from the store, or from whichever responds first.
    async fn step(&mut self) {
        self.drop_outdated();
        let outdated = era_risen(Rc::clone(&self.gateway.eras), self.reader.known());
        let gateway = Rc::clone(&self.gateway);
        let lost_since = self.lost_since.map(|lost| lost.max(self.called_on_news));
        let recovered = recovery_heard(&gateway, self.topic, lost_since);
        tokio::select! {
            biased;
            () = self.advance() => {}
            () = outdated => {}
            () = recovered => self.call_on_news(),
        }
    }

    /// Calls the store at once, because it answers others.
    fn call_on_news(&mut self) {
        log::info!(topic:? = self.topic; "the store answers others; it is called at once");
        self.called_on_news = Instant::now();
        self.probes = Some(self.new_probes());
    }

    /// Gives up the position if the store is in a later era, in which offsets stand for other records.
    /// What is known stays in use until the records of that era are read.
    fn drop_outdated(&mut self) {
        let newest = self.gateway.eras.newest();
        let Some(known) = self.reader.give_up(newest) else {
            return;
        };
        log::info!(
            topic:? = self.topic, known:% = known, era:% = newest;
            "the records are of an earlier era; reading all"
        );
        // Probes from the old position run in vain.
        self.probes = self.probes.take().map(|_| self.new_probes());
        if self.lost_since.is_none() {
            self.set_state(SourceState::Searching);
        }
    }

    async fn advance(&mut self) {
        self.choose_peer();
        match (self.peer.take(), self.probes.take(), self.reader.known()) {
            (None, None, Some(from)) => self.read(from).await,
            (peer, probes, _) => self.query(peer, probes).await,
        }
    }

    /// Returns when the store is called besides another VM.
    fn store_due(&self, peer: Option<&Peer>) -> Instant {
        match peer {
            Some(_) if self.lost_since.is_none() => {
                self.record_age.store_due(self.gateway.preceding_vms())
            }
            _ => Instant::now(),
        }
    }

    fn new_probes(&self) -> StoreProbes {
        let addr = self.gateway.boot.borrow().store;
        StoreProbes::new(addr, self.topic, Rc::clone(&self.gateway.eras))
    }

    /// Chooses the preferred one of the VMs that may be polled, unless there is a peer already.
    fn choose_peer(&mut self) {
        if self.peer.is_some() {
            return;
        }
        let mut sources = self.gateway.sources();
        let direct_count = sources.len();
        if self.lost_since.is_some() {
            sources.extend(self.gateway.followers());
        }
        if self.lost_since.is_some() && self.reader.known().is_none() {
            sources.extend(self.gateway.seeds());
        }
        let now = Instant::now();
        self.start.rotate(now, &mut sources[..direct_count]);
        let Some(source) = self.choice.choose(now, &sources, self.lost_since.is_some()) else {
            return;
        };
        let (addr, isolated) = (source.addr, source.isolated);
        // While the store is lost, all preferred VMs are polled repeatedly.
        let level = self.level();
        log::log!(level, topic:? = self.topic, from:% = addr, cut = isolated; "another VM is asked for changes");
        self.peer = Some(Peer {
            client: FeedClient::new(addr, self.start.connect_timeout(now, CONNECT_TIMEOUT)),
            isolated,
            indirect: !sources[..direct_count].contains(&addr),
            format: FeedFormat::Compact,
        });
    }

    fn apply_polled(&mut self, peer: Peer, polled: PolledChanges) {
        let PolledChanges {
            changes,
            confirmed,
            bytes,
            news,
            list,
        } = polled;
        if let Some(list) = list {
            vm_list_sync::compare(&self.gateway, peer.client.addr(), list);
        }
        if let Some(message) = news {
            limits::read_news(&self.gateway, "its source", &message);
        }
        let source = RecordSource::Vm(peer.client.addr());
        self.gateway.metrics.feed_bytes("received", bytes);
        if self.gateway.eras.observe(changes.era).is_none() {
            return self.on_poll_failure(&peer, &PollFailure::earlier_era());
        }
        self.start.answered();
        let Some(changes) = self.gateway.feed(self.topic).restore(changes) else {
            log::info!(topic:? = self.topic, from:% = source; "changes of unknown records; reading them whole");
            self.peer = Some(Peer {
                format: FeedFormat::Plain,
                ..peer
            });
            return;
        };
        let (next, newest) = (changes.position(), self.gateway.eras.newest());
        let used = match (changes.complete, self.reader.known()) {
            (true, _) => self.reader.take_snapshot(newest, next),
            (false, Some(from)) => self.reader.take_page(from, next),
            (false, None) => Use::Ignore,
        };
        if used == Use::Ignore {
            self.peer = Some(peer);
            return;
        }
        if let Some(confirmed) = confirmed {
            self.record_age.confirm(confirmed);
        }
        // An answer that is older than the limit is no reason not to call the store.
        let is_fresh = self.record_age.store_due(self.gateway.preceding_vms()) > Instant::now();
        if !peer.indirect && is_fresh {
            self.probes = None;
            self.on_response();
        }
        self.peer = Some(Peer {
            isolated: false,
            format: FeedFormat::Compact,
            ..peer
        });
        match used {
            Use::Replace => self.apply_snapshot(changes.records, next, source),
            Use::Apply(_) => self.apply_changes(changes.records, next, source),
            Use::Current | Use::Ignore => {}
        }
        if let Some(confirmed) = confirmed {
            let feed = self.gateway.feed(self.topic);
            feed.set_source(source);
            feed.confirm(confirmed);
        }
    }

    fn on_poll_failure(&mut self, peer: &Peer, failure: &PollFailure) {
        let addr = peer.client.addr();
        let level = self.level();
        log::log!(level, topic:? = self.topic, from:% = addr, reason = &*failure.reason; "another VM does not hand changes on");
        self.choice.failed(Instant::now(), addr, failure.kind);
        if let Some(list) = failure.list {
            vm_list_sync::compare(&self.gateway, addr, list);
        }
        if self.lost_since.is_none() {
            self.set_state(SourceState::Searching);
        }
        let is_told = self.called_on_news.elapsed() < recovery_news::SAME_NEWS;
        if failure.recovered && !is_told && self.lost_since.is_some() {
            return self.call_on_news();
        }
        // The connection to the store has not been used while this VM polled the peer.
        let probes = self.probes.take();
        self.probes = Some(probes.unwrap_or_else(|| self.new_probes()));
    }

    fn set_state(&self, state: SourceState) {
        self.gateway.feed(self.topic).set_state(state);
    }

    /// Returns the level of log lines about other VMs.
    fn level(&self) -> log::Level {
        match self.lost_since {
            None => log::Level::Info,
            Some(_) => log::Level::Debug,
        }
    }

    /// Queries another VM, and from [`Self::store_due`] on the store as well, until one of them
    /// responds or another VM can be chosen.
    async fn query(&mut self, peer: Option<Peer>, mut probes: Option<StoreProbes>) {
        let from = self.reader.known();
        let store_due = self.store_due(peer.as_ref()).max(Instant::now());
        let time_limit = match self.lost_since {
            None => FIRST_RESPONSE_TIMEOUT,
            Some(_) => SEARCH_TIMEOUT,
        };
        let sources = self.gateway.sources();
        let waiting = self.choice.waiting(Instant::now(), &sources);
        let asked = peer.as_ref().filter(|peer| !peer.isolated);
        let asked = asked.map(|peer| peer.client.addr());
        let news = PollNews {
            limits: limits::news(&self.gateway).map(Box::from),
            list: vm_list_sync::digest(&self.gateway),
        };
        let newest = self.gateway.eras.newest();
        let mut other = pin!(feed_peer::poll_if_any(peer, self.topic, from, newest, news));
        let mut call_store = pin!(sleep_until(store_due.into()));
        let mut time_limit = pin!(sleep_until((store_due + time_limit).into()));
        let mut calls_store = false;
        loop {
            let probing = async {
                let probes = probes.as_mut().expect("the store is called by probes");
                probes.next_answer(from, waiting).await
            };
            tokio::select! {
                response = probing, if calls_store => {
                    let purpose = if from.is_some() { "probe" } else { "first-read" };
                    self.gateway.metrics.store_call(purpose, &response);
                    match response {
                        Ok(answer) => return self.on_probe_answer(answer, asked),
                        Err(failure) => self.mark_lost(&failure.to_string()),
                    }
                }
                () = &mut call_store, if !calls_store => {
                    let addr = self.gateway.boot.borrow().store;
                    let probes = probes.get_or_insert_with(|| self.new_probes());
                    probes.set_addr(addr);
                    calls_store = true;
                }
                (peer, polled) = &mut other => {
                    self.probes = probes;
                    return self.on_polled(peer, polled).await;
                }
                () = &mut time_limit => {
                    self.probes = probes;
                    return self.mark_lost("no response yet");
                }
            }
        }
    }

    /// Processes the response of the store to a probe. `asked` is the VM that was polled meanwhile:
    /// its records are too old, or it has not answered.
    fn on_probe_answer(&mut self, answer: ProbeAnswer, asked: Option<SocketAddr>) {
        let now = Instant::now();
        if let Some(addr) = asked {
            let age = self.record_age.age(now).as_millis() as u64;
            log::info!(topic:? = self.topic, from:% = addr, age_ms = age; "the store is called because changes from another VM are late");
            self.choice.failed(now, addr, SourceFailure::NoResponse);
        }
        self.store = answer.client;
        self.wait = LongPoll::from_latency(answer.time);
        self.on_probe_result(answer.result);
    }

    /// Processes the result of a poll.
    async fn on_polled(&mut self, peer: Peer, polled: Result<PolledChanges, PollFailure>) {
        match polled {
            Ok(polled) => self.apply_polled(peer, polled),
            Err(failure) if self.start.is_active(Instant::now()) => {
                log::debug!(topic:? = self.topic, reason = &*failure.reason; "another VM is not ready yet");
                self.start.failed();
                sleep(START_PAUSE).await;
            }
            Err(failure) => self.on_poll_failure(&peer, &failure),
        }
    }

    /// Processes the response of the store to a probe.
    fn on_probe_result(&mut self, result: ProbeResult) {
        if self.lost_since.is_some() && self.topic == Topic::Operators {
            recovery_news::tell(&self.gateway);
        }
        self.on_response();
        match result {
            // Another VM may have sent later records since the call began.
            ProbeResult::Everything(list) => self.apply_list(list),
            ProbeResult::Changes(page) => self.apply_page(page),
            // The next step gives up the position.
            ProbeResult::LaterEra => {}
            ProbeResult::Expired => self.on_expired(),
        }
    }

    fn on_expired(&mut self) {
        let known = self.reader.known().map(|known| known.to_string());
        log::info!(topic:? = self.topic, known; "records have expired; reading all");
        self.reader.expired(self.gateway.eras.newest());
    }

    fn apply_list(&mut self, list: NewestRecords) {
        let newest = self.gateway.eras.newest();
        if self.reader.take_list(newest, list.end) == Use::Ignore {
            return;
        }
        self.report_malformed(list.malformed);
        self.apply_snapshot(list.records, list.end, RecordSource::Store);
        self.confirm();
    }

    fn apply_page(&mut self, page: Page) {
        self.report_malformed(page.malformed);
        match self.reader.take_page(page.from, page.next) {
            Use::Apply(from) => {
                let records = unseen(page.records, from);
                self.apply_changes(records, page.next, RecordSource::Store);
            }
            Use::Current => {}
            Use::Replace | Use::Ignore => return,
        }
        self.confirm();
    }

    /// Logs and counts records of which not even the key can be read.
    fn report_malformed(&self, count: u32) {
        if count > 0 {
            log::warn!(topic:? = self.topic, count; "malformed records");
            let metrics = &self.gateway.metrics;
            metrics.malformed_entries("record", count);
        }
    }

    /// Reads from the store once.
    async fn read(&mut self, from: StorePosition) {
        let started = Instant::now();
        let (wait, slack) = (
            self.wait.wait(self.record_age.age(started)),
            self.wait.slack(),
        );
        let page = self.store.read(from.offset.0, wait, slack).await;
        self.gateway.metrics.store_call("wait", &page);
        match page {
            // The next step gives up the position.
            Ok(page) if page.next.era != from.era => self.on_response(),
            Ok(page) if page.next == from => {
                self.wait.observe(started.elapsed(), wait);
                self.on_response();
                self.apply_page(page);
            }
            Ok(page) => {
                self.on_response();
                self.apply_page(page);
                sleep(self.pause()).await;
            }
            Err(StoreFailure::Expired) => self.on_expired(),
            Err(failure) => self.on_read_failure(&failure),
        }
    }

    fn pause(&self) -> Duration {
        match self.topic {
            Topic::Targets => TARGETS_PAUSE,
            Topic::Operators | Topic::Vms => CONFIG_PAUSE,
        }
    }

    /// Records that the store has just confirmed the records of this VM.
    fn confirm(&mut self) {
        let now = Instant::now();
        self.record_age.confirm(now);
        let feed = self.gateway.feed(self.topic);
        feed.set_source(RecordSource::Store);
        feed.confirm(now);
    }

    /// Records that a source responded.
    fn on_response(&mut self) {
        self.set_state(SourceState::Found);
        let Some(since) = self.lost_since.take() else {
            return;
        };
        let ms = since.elapsed().as_millis() as u64;
        let known = self.reader.known().map(|known| known.to_string());
        log::info!(topic:? = self.topic, ms, known; "changes arrive again");
        if self.topic == Topic::Targets {
            let mut directory = self.gateway.directory.borrow_mut();
            directory.store_recovered(Instant::now());
        }
    }

    /// Records that a read failed.
    fn on_read_failure(&mut self, failure: &StoreFailure) {
        self.probes = Some(self.new_probes());
        if *failure == StoreFailure::Closed {
            // The store closes connections when it drops records, and may respond again at once.
            log::info!(topic:? = self.topic; "the store cut the connection");
        } else {
            self.mark_lost(&failure.to_string());
        }
    }

    /// Records that the store does not respond.
    fn mark_lost(&mut self, reason: &str) {
        if self.lost_since.is_some() {
            log::debug!(topic:? = self.topic, reason; "the store still does not answer");
            return;
        }
        self.set_state(SourceState::Lost);
        self.lost_since = Some(Instant::now());
        log::warn!(topic:? = self.topic, reason; "the store does not answer");
    }

    fn apply_snapshot(
        &mut self,
        records: Vec<KeyedRecord>,
        next: StorePosition,
        source: RecordSource,
    ) {
        apply_records::apply_snapshot(&self.gateway, self.topic, &records, next, source);
        let feed = self.gateway.feed(self.topic);
        feed.update(|mirror| mirror.load(records, next));
    }

    fn apply_changes(
        &mut self,
        records: Vec<KeyedRecord>,
        next: StorePosition,
        source: RecordSource,
    ) {
        apply_records::apply_changes(&self.gateway, self.topic, next.era, &records, source);
        let feed = self.gateway.feed(self.topic);
        feed.update(|mirror| mirror.extend(records, next));
    }
}

/// Waits until this VM hears that the store answers others, if it has been lost since some time.
async fn recovery_heard(gateway: &Gateway, topic: Topic, lost_since: Option<Instant>) {
    match lost_since {
        Some(since) => gateway.feed(topic).recovery_heard(since).await,
        None => std::future::pending().await,
    }
}

/// Waits until the store is in a later era than that of the position, if there is one.
async fn era_risen(eras: Rc<EraWatch>, known: Option<StorePosition>) {
    match known {
        Some(known) => {
            eras.risen_above(known.era).await;
        }
        None => std::future::pending().await,
    }
}
