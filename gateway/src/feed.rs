//! Hands changes of the store on to other VMs of the failure domain.
//!
//! Each call of the store is paid for, and traffic within a failure domain is not. So one VM of a
//! failure domain reads the store, and the others poll it. A poll is held until there is something
//! new, and answered after [`POLL_HOLD`] at the latest, so that a VM that is gone is noticed.

use std::cell::RefCell;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::store_mirror::StoreMirror;
use carobshore_platform::store_client::Topic;
use tokio::sync::watch;
use tokio::time::timeout_at;

use crate::reply::Reply;

/// How long a poll is held while there is nothing new.
pub const POLL_HOLD: Duration = Duration::from_millis(600);
/// How long a poll is held while this VM looks for a source itself. When the source of many VMs is
/// gone, the next one of them finds the store, and the others have to wait for it, not to ask the
/// store as well.
const SEARCH_HOLD: Duration = Duration::from_millis(300);
/// The path of the polls; the topic and the offset follow.
const PATH: &str = "/feed/";

/// The names of the topics in the path.
const OPERATORS: &str = "operators";
const TARGETS: &str = "targets";
/// What follows the offset in a patient poll.
const PATIENT: &str = "/patient";

/// An offset behind every record: who asks from there gets everything.
pub const FULL_SNAPSHOT: u64 = u64::MAX;

/// Whether changes reach this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SourceState {
    /// This VM looks for a source: it has just started, or its last one gave no changes.
    #[default]
    Searching,
    /// Its source answers.
    Found,
    /// Neither the store nor another VM answers.
    Lost,
}

/// A topic as this VM knows it, for other VMs.
#[derive(Debug)]
pub struct Feed {
    mirror: RefCell<StoreMirror>,
    /// Rings at each change.
    state: watch::Sender<SourceState>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            mirror: RefCell::default(),
            state: watch::channel(SourceState::default()).0,
        }
    }
}

impl Feed {
    /// Changes the copy, and wakes the VMs that poll.
    pub fn update(&self, change: impl FnOnce(&mut StoreMirror)) {
        change(&mut self.mirror.borrow_mut());
        self.state.send_modify(|_| {});
    }

    /// Notes whether changes reach this VM.
    pub fn set_state(&self, state: SourceState) {
        self.state
            .send_if_modified(|old| std::mem::replace(old, state) != state);
    }

    /// Answers a poll.
    pub async fn answer(&self, poll: Poll) -> Reply {
        self.hold(poll).await;
        let mirror = self.mirror.borrow();
        let found = *self.state.borrow() == SourceState::Found;
        // Who knows nothing is better off with what was true when the store was lost.
        let useful = found || poll.from == FULL_SNAPSHOT;
        if !useful || mirror.next().is_none() {
            return Reply::text(503, "this VM does not follow the store now\n");
        }
        match serde_json::to_vec(&mirror.since(poll.from)) {
            Ok(body) => Reply::text(200, body),
            Err(error) => Reply::text(500, format!("{error}\n")),
        }
    }

    /// Waits until there is something to answer.
    async fn hold(&self, poll: Poll) {
        let started = Instant::now();
        let mut changed = self.state.subscribe();
        loop {
            let state = *changed.borrow_and_update();
            let known = self.mirror.borrow().next() == Some(poll.from);
            let hold = match state {
                SourceState::Found if known => POLL_HOLD,
                SourceState::Lost if poll.patient => POLL_HOLD,
                SourceState::Searching => SEARCH_HOLD,
                SourceState::Found | SourceState::Lost => return,
            };
            match timeout_at((started + hold).into(), changed.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }
}

/// What another VM asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The topic.
    pub topic: Topic,
    /// The offset of the first change that it does not know.
    pub from: u64,
    /// Whether the answer waits while this VM's own source does not answer.
    pub patient: bool,
}

impl Poll {
    /// Returns the path of the request, or nothing for a topic that is not handed on.
    pub fn path(self) -> Option<String> {
        let name = match self.topic {
            Topic::Operators => OPERATORS,
            Topic::Targets => TARGETS,
            Topic::Vms => return None,
        };
        let patient = if self.patient { PATIENT } else { "" };
        Some(format!("{PATH}{name}/{}{patient}", self.from))
    }
}

/// Returns what a poll asks for, or nothing if the request is none.
pub fn parse(target: &str) -> Option<Poll> {
    let (topic, from) = target.strip_prefix(PATH)?.split_once('/')?;
    let plain = from.strip_suffix(PATIENT);
    let topic = match topic {
        OPERATORS => Topic::Operators,
        TARGETS => Topic::Targets,
        _ => return None,
    };
    Some(Poll {
        topic,
        from: plain.unwrap_or(from).parse().ok()?,
        patient: plain.is_some(),
    })
}
