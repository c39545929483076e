//! Takes changes of the store from another VM.

use std::net::SocketAddr;
use std::time::Duration;

use carobshore_http::client::Client;
use carobshore_http::client::Outgoing;
use carobshore_http::fields::Fields;
use carobshore_http::socket::Vigilance;
use carobshore_lib::source_choice::SourceFailure;
use carobshore_lib::store_mirror::Changes;
use tokio::time::timeout;

use crate::feed::HOLD;
use crate::feed::Poll;

/// Time for the answer beyond the hold.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Time for opening a connection.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// The largest answer.
const MAX_BODY: usize = 64 << 20;

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

/// Polls another VM.
#[derive(Debug)]
pub struct FeedClient {
    addr: SocketAddr,
    connection: Option<Client>,
}

impl FeedClient {
    /// Builds a client that is not connected yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            connection: None,
        }
    }

    /// Returns the address of the other VM.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Asks for changes.
    pub async fn poll(&mut self, poll: Poll) -> Result<Changes, PollFailure> {
        let path = poll
            .path()
            .ok_or_else(|| PollFailure::silent("the topic is not handed on"))?;
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Client::open(self.addr, CONNECT_TIME, Vigilance::CLOSE, MAX_BODY)
                .await
                .map_err(|error| PollFailure::silent(error.to_string()))?,
        };
        let mut fields = Fields::default();
        fields.add("Host", self.addr.to_string());
        let request = Outgoing::new("GET", &path, &fields, &[]);
        let answer = timeout(HOLD + ANSWER_TIME, connection.exchange(&request, |_| true)).await;
        let response = answer
            .map_err(|_| PollFailure::silent("no answer in time"))?
            .map_err(|failure| PollFailure::silent(failure.error.to_string()))?;
        if connection.is_idle() {
            self.connection = Some(connection);
        }
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
