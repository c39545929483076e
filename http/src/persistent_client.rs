//! A client that reuses one connection to a server and reconnects on demand.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use crate::client::Client;
use crate::client::EncodedRequest;
use crate::client::Response;
use crate::fields::Fields;
use crate::message_error::MessageError;
use crate::socket::KeepAliveOptions;

/// Largest body of a response, in bytes, unless [`PersistentClient::with_max_body`] says otherwise. It
/// is a tenth of the memory of the smallest VM (160 MiB): a process has several connections.
pub const MAX_BODY: usize = 16 << 20;

/// Why a call returned no response.
#[derive(Debug, thiserror::Error)]
pub enum CallFailure {
    /// The connection could not be opened.
    #[error("the connection could not be opened: {0}")]
    Unreachable(io::Error),
    /// No response arrived within the time limit.
    #[error("no response arrived in time")]
    TimedOut,
    /// The connection failed, or the response was malformed.
    #[error(transparent)]
    Broken(MessageError),
}

/// Sends requests to one server, one at a time.
#[derive(Debug)]
pub struct PersistentClient {
    addr: SocketAddr,
    /// Time limit for opening a connection.
    connect_timeout: Duration,
    /// Largest body of a response, in bytes.
    max_body: usize,
    connection: Option<Client>,
}

impl PersistentClient {
    /// Creates a client. It connects on the first call.
    pub fn new(addr: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            addr,
            connect_timeout,
            max_body: MAX_BODY,
            connection: None,
        }
    }

    /// Rejects responses whose bodies have more bytes.
    pub fn with_max_body(mut self, bytes: usize) -> Self {
        self.max_body = bytes;
        self
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether there is a connection that the server has not closed.
    pub fn is_connected(&mut self) -> bool {
        self.connection.as_mut().is_some_and(Client::is_idle)
    }

    /// Opens the connection unless there is one.
    pub async fn connect(&mut self) -> Result<(), CallFailure> {
        if self.connection.is_none() {
            self.connection = Some(self.open().await?);
        }
        Ok(())
    }

    /// Sends a request and waits at most `limit` for the response, not counting the time to
    /// connect.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Response, CallFailure> {
        let fields = Fields::default();
        self.call_with(fields, method, path, body, limit).await
    }

    /// Sends a request with additional header fields, like [`Self::call`].
    pub async fn call_with(
        &mut self,
        mut fields: Fields,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Response, CallFailure> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.open().await?,
        };
        fields.add("Host", self.addr.to_string());
        let request = EncodedRequest::new(method, path, &fields, body);
        let response = timeout(limit, connection.exchange(&request, |_| true))
            .await
            .map_err(|_| CallFailure::TimedOut)?
            .map_err(|failure| CallFailure::Broken(failure.error))?;
        if connection.is_idle() {
            self.connection = Some(connection);
        }
        Ok(response)
    }

    async fn open(&self) -> Result<Client, CallFailure> {
        let options = KeepAliveOptions::SHORT;
        let opened = Client::open(self.addr, self.connect_timeout, options, self.max_body).await;
        opened.map_err(CallFailure::Unreachable)
    }
}
