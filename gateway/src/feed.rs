//! Feed of store changes for other VMs of the failure domain.
//!
//! Each call to the store costs money, and traffic within a failure domain does not. So one VM of a
//! failure domain reads the store, and the others long-poll that VM. A poll is held until there is
//! a change, or until the store has confirmed that there is none, for [`POLL_HOLD`] at most, so that
//! the others notice when the VM is gone.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::fields::Fields;
use carobshore_http::head::RequestHead;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_lib::store_mirror::Changes;
use carobshore_lib::store_mirror::StoreMirror;
use carobshore_platform::era_watch::EraWatch;
use carobshore_platform::store_client::Topic;
use tokio::sync::watch;
use tokio::time::timeout_at;

use crate::compressed_body::CompressedBody;
use crate::feed_format;
use crate::feed_format::FeedFormat;
use crate::record_source::RecordSource;
use crate::recovery_news::SAME_NEWS;
use crate::reply::Reply;

/// How long a poll is held while there is no change. It is longer than the VM's own read waits.
pub const POLL_HOLD: Duration = Duration::from_millis(900);
/// How long a poll is held while this VM itself looks for a source. When the source of many VMs
/// fails, the next VM in line turns to the store, and the others must wait for it instead of
/// calling the store as well.
const SEARCH_HOLD: Duration = Duration::from_millis(300);
/// The same for a VM that has started and has no records yet. A whole failure domain may be starting.
const START_HOLD: Duration = Duration::from_millis(800);
/// Path prefix of a poll; the topic and the offset follow.
const PATH: &str = "/feed/";

/// Largest number of encoded answers that are kept.
const MAX_ENCODED: usize = 16;
/// Header field of an answer: milliseconds since the store confirmed the records.
pub const AGE_FIELD: &str = "Feed-Age";
/// Header field of an answer: milliseconds for which the poll was held.
pub const HELD_FIELD: &str = "Feed-Held";
/// Header field of an answer without changes: the store answers others, as this VM has heard.
pub(crate) const RECOVERED_FIELD: &str = "Store-Recovered";
/// How long a VM that has heard that the store answers others has for an answer of its own, before it passes
/// the news on.
const RECOVERY_PATIENCE: Duration = Duration::from_millis(150);
/// Header field of a poll: the newest era of the store that the VM knows.
pub(crate) const ERA_FIELD: &str = "Feed-Era";

/// Names of the topics in the path.
const OPERATORS: &str = "operators";
const TARGETS: &str = "targets";
/// Path suffix of a poll that may also wait while this VM's own source does not answer.
const PATIENT: &str = "/patient";

/// The offset in the path of a poll for all records.
const EVERYTHING: u64 = u64::MAX;

/// The state of this VM's source of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SourceState {
    /// This VM is looking for a source: it has just started, or its last source returned no
    /// changes.
    #[default]
    Searching,
    /// The source answers.
    Found,
    /// Neither the store nor another VM answers.
    Lost,
}

/// This VM's copy of the records of a topic, which other VMs poll.
#[derive(Debug)]
pub struct Feed {
    mirror: RefCell<StoreMirror>,
    /// The era of the store. Records of an earlier one are handed on to VMs only that know no later one
    /// and have no records.
    eras: Rc<EraWatch>,
    /// The state of the source. Subscribers are notified of each change of it or of the records.
    state: watch::Sender<SourceState>,
    /// When the store last confirmed the records, to this VM or to one that they came through.
    confirmed: Cell<Option<Instant>>,
    /// Where the records were last confirmed or changed from.
    source: Cell<Option<RecordSource>>,
    /// When this VM last heard that the store answers others.
    recovered: Cell<Option<Instant>>,
    /// Answers since the last change of the records, most of which are asked for by many VMs.
    encoded: RefCell<Vec<(Option<StorePosition>, FeedFormat, CompressedBody)>>,
}

impl Default for Feed {
    fn default() -> Self {
        Self::new(Rc::default())
    }
}

impl Feed {
    /// Creates the feed of a VM that has no records yet.
    pub fn new(eras: Rc<EraWatch>) -> Self {
        Self {
            eras,
            mirror: RefCell::default(),
            state: watch::channel(SourceState::default()).0,
            confirmed: Cell::default(),
            source: Cell::default(),
            recovered: Cell::default(),
            encoded: RefCell::default(),
        }
    }

    /// Changes the copy of the records, and wakes the polls that are held.
    pub fn update(&self, change: impl FnOnce(&mut StoreMirror)) {
        change(&mut self.mirror.borrow_mut());
        self.encoded.borrow_mut().clear();
        self.state.send_modify(|_| {});
    }

    /// Sets the state of the source.
    pub fn set_state(&self, state: SourceState) {
        self.state
            .send_if_modified(|old| std::mem::replace(old, state) != state);
    }

    /// Records that the records were current at `at`, according to the store.
    pub fn confirm(&self, at: Instant) {
        self.confirmed.set(self.confirmed.get().max(Some(at)));
        self.state.send_modify(|_| {});
    }

    /// Records that the store answers others.
    pub(crate) fn hear_recovery(&self, now: Instant) {
        if !self.has_heard_recovery(now) {
            self.recovered.set(Some(now));
            self.state.send_modify(|_| {});
        }
    }

    /// Returns whether this VM has just heard that the store answers others.
    pub(crate) fn has_heard_recovery(&self, now: Instant) -> bool {
        let heard = self.recovered.get();
        heard.is_some_and(|at| now.saturating_duration_since(at) < SAME_NEWS)
    }

    /// Waits until this VM hears that the store answers others, later than `since`.
    pub(crate) async fn recovery_heard(&self, since: Instant) {
        let mut changed = self.state.subscribe();
        // The sender lives as long as this future.
        let _ = changed
            .wait_for(|_| self.recovered.get() > Some(since))
            .await;
    }

    /// Returns the position up to which the topic is known; nothing before the first read.
    pub fn next(&self) -> Option<StorePosition> {
        self.mirror.borrow().next()
    }

    /// Sets where the records were last confirmed or changed from.
    pub(crate) fn set_source(&self, source: RecordSource) {
        self.source.set(Some(source));
    }

    /// Returns whether this VM reads the topic from the store itself.
    pub(crate) fn is_read_from_store(&self) -> bool {
        *self.state.borrow() == SourceState::Found && self.source.get() == Some(RecordSource::Store)
    }

    /// Returns what the state dump shows.
    pub(crate) fn dump(&self, now: Instant) -> serde_json::Value {
        let age = self.age(now);
        serde_json::json!({
            "next": self.next(),
            "from": self.source.get().map(|source| source.to_string()),
            "age_ms": age.map(|age| age.as_millis() as u64),
        })
    }

    /// Returns how long ago the store confirmed the records; nothing if it never has.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed.get();
        confirmed.map(|at| now.saturating_duration_since(at))
    }

    /// Answers a poll. `told` is what earlier answers on the same connection have said.
    pub async fn answer(&self, poll: Poll, told: &mut Told) -> Reply {
        let started = Instant::now();
        if let Some(era) = poll.newest {
            self.eras.observe(era);
        }
        self.hold(poll, *told).await;
        told.0 = self.confirmed.get();
        let mirror = self.mirror.borrow();
        let known = mirror.next();
        let found = *self.state.borrow() == SourceState::Found && self.is_newest(known);
        // A VM without any records is better off with those from before the store was lost.
        let from_before = poll.from.is_none() && !poll.knows_later_than(known);
        if known.is_none() || !(found || from_before) {
            let reply = Reply::text(503, "this VM does not follow the store now\n");
            return match self.has_heard_recovery(Instant::now()) {
                true => reply.with_field(RECOVERED_FIELD, "1"),
                false => reply,
            };
        }
        let reply = match self.encode(&mirror, poll) {
            Ok(reply) => reply,
            Err(error) => return Reply::text(500, format!("{error}\n")),
        };
        let now = Instant::now();
        match self.age(now) {
            Some(age) => reply
                .with_field(AGE_FIELD, &age.as_millis().to_string())
                .with_field(HELD_FIELD, &(now - started).as_millis().to_string()),
            None => reply,
        }
    }

    fn encode(&self, mirror: &StoreMirror, poll: Poll) -> io::Result<Reply> {
        let from = poll.position(mirror.next());
        let mut encoded = self.encoded.borrow_mut();
        let mut known = encoded.iter();
        let same = |entry: &&(Option<StorePosition>, FeedFormat, _)| {
            (entry.0, entry.1) == (from, poll.format)
        };
        if let Some((.., found)) = known.find(same) {
            return Ok(found.reply());
        }
        let changes = match poll.format {
            FeedFormat::Plain => mirror.since(from),
            FeedFormat::Compact => mirror.patches_since(from),
        };
        let new = feed_format::encode(&changes, poll.format)?;
        let reply = new.reply();
        if encoded.len() == MAX_ENCODED {
            encoded.remove(0);
        }
        encoded.push((from, poll.format, new));
        Ok(reply)
    }

    /// Returns changes of another VM with all records whole, or nothing if that takes a record that
    /// is not known here.
    pub fn restore(&self, changes: Changes) -> Option<Changes> {
        self.mirror.borrow().restore(changes)
    }

    /// Returns whether a position is of the newest era.
    fn is_newest(&self, known: Option<StorePosition>) -> bool {
        known.is_some_and(|known| known.era == self.eras.newest())
    }

    /// Waits until the poll can be answered, or the time to hold it is over.
    async fn hold(&self, poll: Poll, told: Told) {
        let started = Instant::now();
        let mut changed = self.state.subscribe();
        let mut last_state = None;
        // When the state last changed. A source that is lost late in a poll is still waited for.
        let mut state_since = started;
        loop {
            let state = *changed.borrow_and_update();
            if last_state.replace(state) != Some(state) {
                state_since = Instant::now();
            }
            let known = self.mirror.borrow().next();
            let is_current = poll.from.is_some()
                && poll.position(known) == known
                && told == Told(self.confirmed.get());
            let heard = self.recovered.get().filter(|heard| *heard > started);
            let end = match state {
                SourceState::Found if !self.is_newest(known) => state_since + SEARCH_HOLD,
                SourceState::Found if is_current => started + POLL_HOLD,
                SourceState::Lost if poll.patient => {
                    let end = started + POLL_HOLD;
                    heard.map_or(end, |heard| end.min(heard + RECOVERY_PATIENCE))
                }
                SourceState::Searching if known.is_none() => state_since + START_HOLD,
                SourceState::Searching => state_since + SEARCH_HOLD,
                SourceState::Found | SourceState::Lost => return,
            };
            match timeout_at(end.into(), changed.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }
}

/// The last confirmation by the store that another VM knows of. On a new connection it knows none,
/// so that it learns at once how old the records are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told(Option<Instant>);

/// A request of another VM for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The topic.
    pub topic: Topic,
    /// Up to where the other VM knows the topic; nothing if it has no records.
    pub from: Option<StorePosition>,
    /// The newest era that the other VM knows; nothing from VMs of the release before, whose offsets are
    /// taken for those of this VM's era.
    pub newest: Option<StoreEra>,
    /// Whether to hold the poll even while this VM's own source does not answer.
    pub patient: bool,
    /// The format of the answer.
    pub format: FeedFormat,
}

impl Poll {
    /// Returns the path of the request, or nothing for a topic without a feed.
    pub fn path(self) -> Option<String> {
        let name = match self.topic {
            Topic::Operators => OPERATORS,
            Topic::Targets => TARGETS,
            Topic::Vms => return None,
        };
        let patient = if self.patient { PATIENT } else { "" };
        let from = self.from.map_or(EVERYTHING, |from| from.offset.0);
        Some(format!("{PATH}{name}/{from}{patient}"))
    }

    /// Returns the header fields of the request.
    pub(crate) fn fields(self) -> Fields {
        let mut fields = self.format.fields();
        if let Some(era) = self.newest {
            fields.add(ERA_FIELD, era.to_string());
        }
        fields
    }

    /// Returns up to where the other VM knows the topic, if this VM knows it up to `known`.
    fn position(self, known: Option<StorePosition>) -> Option<StorePosition> {
        let era = self.newest.or(known.map(|known| known.era));
        let from = self.from?;
        Some(StorePosition {
            era: era.unwrap_or(from.era),
            ..from
        })
    }

    /// Returns whether the other VM knows a later era than that of a position.
    fn knows_later_than(self, known: Option<StorePosition>) -> bool {
        known.is_some_and(|known| self.newest > Some(known.era))
    }
}

/// Parses a poll. Returns nothing if the request is not one.
pub fn parse(head: &RequestHead) -> Option<Poll> {
    let (topic, from) = head.target.strip_prefix(PATH)?.split_once('/')?;
    let without_suffix = from.strip_suffix(PATIENT);
    let topic = match topic {
        OPERATORS => Topic::Operators,
        TARGETS => Topic::Targets,
        _ => return None,
    };
    let offset: u64 = without_suffix.unwrap_or(from).parse().ok()?;
    let newest = head.fields.text(ERA_FIELD).map(str::parse).transpose();
    let newest: Option<StoreEra> = newest.ok()?;
    let from = StorePosition::new(newest.unwrap_or_default(), offset);
    Some(Poll {
        topic,
        from: (offset != EVERYTHING).then_some(from),
        newest,
        patient: without_suffix.is_some(),
        format: FeedFormat::requested(&head.fields),
    })
}
