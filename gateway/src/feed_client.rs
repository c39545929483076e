//! Client of another VM's feed of store changes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::fields::Fields;
use carobshore_http::persistent_client::CallFailure;
use carobshore_http::persistent_client::PersistentClient;
use carobshore_lib::record_age;
use carobshore_lib::roster_digest::RosterDigest;
use carobshore_lib::source_selector::SourceFailure;
use carobshore_lib::store_mirror::Changes;

use crate::feed::AGE_FIELD;
use crate::feed::HELD_FIELD;
use crate::feed::POLL_HOLD;
use crate::feed::Poll;
use crate::feed::RECOVERED_FIELD;
use crate::feed_format;
use crate::limits::NEWS_FIELD;
use crate::registrar::NEW_FIELD;
use crate::vm_list_sync::LIST_FIELD;

/// Time allowed for the response in addition to [`POLL_HOLD`].
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Time limit for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Why a poll returned no changes.
#[derive(Clone, Debug)]
pub struct PollFailure {
    /// What the failure implies about the other VM.
    pub kind: SourceFailure,
    /// Whether the other VM has heard that the store answers others.
    pub(crate) recovered: bool,
    /// Its list of VMs, if it tells that.
    pub(crate) list: Option<ToldList>,
    /// The cause, for the log.
    pub reason: Box<str>,
}

impl PollFailure {
    /// Returns the failure of a VM that has not noticed yet that the store is in a later era.
    pub(crate) fn earlier_era() -> Self {
        Self {
            kind: SourceFailure::Isolated,
            recovered: false,
            list: None,
            reason: "its records are of an earlier era".into(),
        }
    }

    fn silent(reason: impl Into<Box<str>>) -> Self {
        Self {
            kind: SourceFailure::NoResponse,
            recovered: false,
            list: None,
            reason: reason.into(),
        }
    }
}

impl From<CallFailure> for PollFailure {
    fn from(failure: CallFailure) -> Self {
        Self::silent(match failure {
            CallFailure::Unreachable(error) => error.to_string(),
            CallFailure::TimedOut => "no response within the time limit".to_owned(),
            CallFailure::Broken(error) => error.to_string(),
        })
    }
}

/// What another VM tells of its list of VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldList {
    /// The digest of the list.
    pub digest: RosterDigest,
    /// Whether it may confirm the list of this VM. One that is new, and whose own list nobody has
    /// confirmed, may not.
    pub may_confirm: bool,
}

impl ToldList {
    fn new(fields: &Fields) -> Option<Self> {
        Some(Self {
            digest: fields.text(LIST_FIELD)?.parse().ok()?,
            may_confirm: fields.text(NEW_FIELD).is_none(),
        })
    }
}

/// What a VM tells another one with a poll.
#[derive(Clone, Debug, Default)]
pub struct PollNews {
    /// What it knows of the limits of targets.
    pub limits: Option<Box<str>>,
    /// The digest of its list of VMs, if that is compared.
    pub list: Option<RosterDigest>,
}

/// The answer of another VM to a poll.
#[derive(Clone, Debug)]
pub struct PolledChanges {
    /// The changes.
    pub changes: Changes,
    /// When the store confirmed the records; nothing if the other VM does not say so.
    pub confirmed: Option<Instant>,
    /// The size of the body, in bytes.
    pub bytes: usize,
    /// What the other VM knows of the limits of targets.
    pub news: Option<Box<str>>,
    /// Its list of VMs, if it tells that.
    pub list: Option<ToldList>,
}

/// Client of the feed of one VM.
#[derive(Debug)]
pub struct FeedClient(PersistentClient);

impl FeedClient {
    /// Creates a client. It connects on the first poll, within `connect_timeout`.
    pub fn new(addr: SocketAddr, connect_timeout: Duration) -> Self {
        Self(PersistentClient::new(addr, connect_timeout))
    }

    /// Returns the address of the other VM.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr()
    }

    /// Requests changes, and waits for them as long as the other VM holds the poll.
    pub async fn poll(
        &mut self,
        poll: Poll,
        news: &PollNews,
    ) -> Result<PolledChanges, PollFailure> {
        let path = poll
            .path()
            .ok_or_else(|| PollFailure::silent("the topic has no feed"))?;
        let mut fields = poll.fields();
        if let Some(limits) = &news.limits {
            fields.add(NEWS_FIELD, &**limits);
        }
        if let Some(list) = news.list {
            fields.add(LIST_FIELD, list.to_string());
        }
        let sent = Instant::now();
        let response = self
            .0
            .call_with(fields, "GET", &path, &[], POLL_HOLD + RESPONSE_MARGIN)
            .await?;
        let list = ToldList::new(&response.head.fields);
        match response.head.status {
            200 => {
                let changes = feed_format::decode(&response.head.fields, &response.body)
                    .map_err(|error| PollFailure::silent(error.to_string()))?;
                let millis = |name| {
                    let text = response.head.fields.text(name)?;
                    Some(Duration::from_millis(text.parse().ok()?))
                };
                let age = millis(AGE_FIELD);
                Ok(PolledChanges {
                    changes,
                    confirmed: age.and_then(|age| {
                        record_age::confirmed_at(sent, Instant::now(), millis(HELD_FIELD), age)
                    }),
                    bytes: response.body.len(),
                    news: response.head.fields.text(NEWS_FIELD).map(Box::from),
                    list,
                })
            }
            status => Err(PollFailure {
                kind: SourceFailure::Isolated,
                recovered: response.head.fields.text(RECOVERED_FIELD).is_some(),
                list,
                reason: format!("status {status}").into(),
            }),
        }
    }
}
