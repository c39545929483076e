//! Takes changes of the store from another VM.

use std::net::SocketAddr;
use std::time::Duration;

use carobshore_http::persistent_client::CallFailure;
use carobshore_http::persistent_client::PersistentClient;
use carobshore_lib::source_choice::SourceFailure;
use carobshore_lib::store_mirror::Changes;

use crate::feed::POLL_HOLD;
use crate::feed::Poll;

/// Time for the answer beyond the hold.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Time for opening a connection.
const CONNECT_TIME: Duration = Duration::from_millis(250);

/// A poll without changes.
#[derive(Clone, Debug)]
pub struct PollFailure {
    /// What it says about the other VM.
    pub kind: SourceFailure,
    /// What happened, for the log.
    pub reason: Box<str>,
}

impl PollFailure {
    fn silent(reason: impl Into<Box<str>>) -> Self {
        Self {
            kind: SourceFailure::Silent,
            reason: reason.into(),
        }
    }
}

impl From<CallFailure> for PollFailure {
    fn from(failure: CallFailure) -> Self {
        Self::silent(match failure {
            CallFailure::Unreachable(error) => error.to_string(),
            CallFailure::TimedOut => "no answer in time".to_owned(),
            CallFailure::Broken(error) => error.to_string(),
        })
    }
}

/// Polls another VM.
#[derive(Debug)]
pub struct FeedClient(PersistentClient);

impl FeedClient {
    /// Builds a client that is not connected yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self(PersistentClient::new(addr, CONNECT_TIME))
    }

    /// Returns the address of the other VM.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr()
    }

    /// Asks for changes.
    pub async fn poll(&mut self, poll: Poll) -> Result<Changes, PollFailure> {
        let path = poll
            .path()
            .ok_or_else(|| PollFailure::silent("the topic is not handed on"))?;
        let response = self
            .0
            .call("GET", &path, &[], POLL_HOLD + ANSWER_TIME)
            .await?;
        match response.head.status {
            200 => serde_json::from_slice(&response.body)
                .map_err(|error| PollFailure::silent(error.to_string())),
            status => Err(PollFailure {
                kind: SourceFailure::Cut,
                reason: format!("status {status}").into(),
            }),
        }
    }
}
