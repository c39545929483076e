//! The client of the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use carobshore_lib::prelude::*;
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use serde::Deserialize;

/// Longest wait for an answer of the log.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Most records that one read asks for.
pub const READ_RECORDS: usize = 1_000;
/// Largest answer to a read, in bytes.
const READ_BYTES: usize = 64 << 20;

/// One record as the log stores it.
#[derive(Clone, Debug, Deserialize)]
pub struct LogEntry {
    /// The record's position.
    pub offset: Offset,
    /// The record's encoded form.
    pub data: Box<str>,
}

/// The answer to a successful read.
#[derive(Clone, Debug, Deserialize)]
pub struct LogPage {
    /// The oldest offset that the log still has.
    pub first: Offset,
    /// The offset that the next record will get.
    pub next: Offset,
    /// Records from the requested offset on.
    pub records: Vec<LogEntry>,
}

/// Why a read gave no records.
#[derive(Clone, Debug)]
pub enum ReadError {
    /// Records from the requested offset have expired; `first` is the oldest one that is left.
    Expired {
        /// The oldest offset that the log still has.
        first: Offset,
    },
    /// The log did not answer, or not with a usable answer.
    Unavailable(Error),
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct ExpiredAnswer {
    first: Offset,
}

/// Reads from and appends to the log over HTTP.
#[derive(Clone, Debug)]
pub struct LogClient {
    base: Box<str>,
    client: Client,
}

impl LogClient {
    /// Creates a client of the log at `addr`. It connects on first use.
    pub async fn new(addr: SocketAddr) -> eyre::Result<Self> {
        let client = Client::builder()
            .response_timeout(millis(ANSWER_TIMEOUT))
            .disable_redirects()
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|error| eyre::eyre!("cannot build the client of the log: {error}"))?;
        Ok(Self {
            base: format!("http://{addr}/v1/records").into(),
            client,
        })
    }

    /// Reads records from `from` on.
    pub async fn read(&self, from: Offset) -> Result<LogPage, ReadError> {
        let url = format!("{}?from={from}&max={READ_RECORDS}", self.base);
        let unavailable = |error: &dyn std::fmt::Display| ReadError::Unavailable(log_error(error));
        let response = self
            .client
            .get(&*url)
            .send()
            .await
            .map_err(|error| unavailable(&error))?;
        let body = response
            .body()
            .limit(READ_BYTES)
            .timeout(millis(ANSWER_TIMEOUT));
        let bytes = body.await.map_err(|error| unavailable(&error))?;
        match response.status() {
            StatusCode::OK => parse(&bytes).map_err(ReadError::Unavailable),
            StatusCode::GONE => {
                let expired: ExpiredAnswer = parse(&bytes).map_err(ReadError::Unavailable)?;
                Err(ReadError::Expired {
                    first: expired.first,
                })
            }
            status => Err(unavailable(&format_args!("status {status}"))),
        }
    }

    /// Appends a record. After an error the record may or may not be in the log.
    pub async fn append(&self, data: Bytes) -> Result<Offset> {
        let request = self
            .client
            .post(&*self.base)
            .content_type("application/json");
        let response = request
            .send_body(data)
            .await
            .map_err(|error| log_error(&error))?;
        let bytes = response.body().await.map_err(|error| log_error(&error))?;
        if response.status() != StatusCode::OK {
            return Err(log_error(&format_args!("status {}", response.status())));
        }
        parse::<Appended>(&bytes).map(|appended| appended.offset)
    }
}

fn millis(duration: Duration) -> ntex::time::Millis {
    ntex::time::Millis::from(duration)
}

fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| log_error(&error))
}

fn log_error(reason: &dyn std::fmt::Display) -> Error {
    Error::new(
        ResultCode::LogUnavailable,
        format!("the log gave no usable answer: {reason}"),
        "check that the log service runs and that its address is right",
    )
}
