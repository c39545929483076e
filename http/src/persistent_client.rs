//! A client that keeps one connection to one server and opens it when it is needed.

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

/// The largest body of a response.
const MAX_BODY: usize = 64 << 20;

/// A call without a response.
#[derive(Debug)]
pub enum CallFailure {
    /// No connection could be opened.
    Unreachable(io::Error),
    /// No response came in time.
    TimedOut,
    /// The connection or the response broke.
    Broken(MessageError),
}

/// Calls one server, one call at a time.
#[derive(Debug)]
pub struct PersistentClient {
    addr: SocketAddr,
    /// Time for opening a connection.
    connect_time: Duration,
    connection: Option<Client>,
}

impl PersistentClient {
    /// Builds a client that is not connected yet.
    pub fn new(addr: SocketAddr, connect_time: Duration) -> Self {
        Self {
            addr,
            connect_time,
            connection: None,
        }
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and waits at most `limit` for the response, once a connection is open.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Response, CallFailure> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Client::open(
                self.addr,
                self.connect_time,
                KeepAliveOptions::SHORT,
                MAX_BODY,
            )
            .await
            .map_err(CallFailure::Unreachable)?,
        };
        let mut fields = Fields::default();
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
}
