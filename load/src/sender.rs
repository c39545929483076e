//! Sends one request and checks the response.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::blob;
use ntex::client::Client;
use ntex::client::ClientRequest;
use ntex::client::ClientResponse;
use ntex::client::Connector;
use ntex::http::Method;
use ntex::service::cfg::SharedCfg;
use ntex::time::Seconds;
use ntex::util::Bytes;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::arrival::Arrival;
use crate::arrival::Kind;
use crate::checker::Checker;
use crate::checker::Expected;
use crate::checker::ExpectedBody;
use crate::checker::Head;
use crate::sample::Sample;

/// How long after its deadline a request is given up. An entry VM has to answer before.
const GRACE: Duration = Duration::from_secs(5);

/// How long the client keeps idle connections. It is shorter than the keep-alive time of the
/// servers, so that no request meets a connection that is being closed.
const IDLE: Seconds = Seconds(15);

/// Connections that the client may hold. The runner limits the requests that are outstanding;
/// without a limit here, ntex never wakes a request that waits for another one's new connection.
const MAX_CONNECTIONS: usize = 100_000;

/// Where and how requests are sent.
#[derive(Clone, Debug)]
pub struct SenderSettings {
    /// The entry VMs, or the targets when `direct` is set.
    pub entries: Vec<SocketAddr>,
    /// The services.
    pub services: Vec<Box<str>>,
    /// Whether requests go to targets without an entry VM between.
    pub direct: bool,
    /// The deadline of each request.
    pub deadline: Duration,
    /// The length of an upload.
    pub upload: usize,
    /// The length of a long response.
    pub blob: u64,
    /// The prefix of request ids, unique to the run.
    pub run: Box<str>,
}

/// Sends requests through one client.
#[derive(Debug)]
pub struct Sender {
    client: Client,
    settings: SenderSettings,
}

/// A request that is ready to be sent.
struct Prepared {
    expected: Expected,
    method: Method,
    path: String,
    body: Bytes,
    key: Option<Box<str>>,
}

impl Sender {
    /// Builds a sender. It has to be used in an ntex system.
    pub async fn new(settings: SenderSettings) -> eyre::Result<Self> {
        let connector = Connector::new().limit(MAX_CONNECTIONS).keep_alive(IDLE);
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .build(SharedCfg::new("load"))
            .await;
        let client =
            client.map_err(|error| eyre::eyre!("the HTTP client cannot start: {error}"))?;
        Ok(Self { client, settings })
    }

    /// Sends the request of `arrival`, whose schedule began at `start`.
    pub async fn send(&self, start: Instant, arrival: Arrival) -> Sample {
        let due = start + arrival.at;
        let delay = due.elapsed();
        let prepared = self.prepare(&arrival);
        let execution = prepared.expected.id.clone();
        let mut checker = Checker::new(prepared.expected.clone());
        let mut answered = Head::default();
        let exchange = self.exchange(&arrival, &prepared, &mut checker, &mut answered);
        let limit = self.settings.deadline + GRACE;
        let is_complete = tokio::time::timeout(limit, exchange).await.unwrap_or(false);
        Sample {
            kind: arrival.kind,
            execution,
            delay,
            latency: due.elapsed(),
            verdict: checker.end(is_complete),
            code: answered.code,
            target: answered.target,
        }
    }

    fn prepare(&self, arrival: &Arrival) -> Prepared {
        let id: Box<str> = format!("{}-{}", self.settings.run, arrival.index).into();
        let body = match arrival.kind {
            Kind::Upload => blob::chunk(&id, 0, self.settings.upload),
            Kind::Once | Kind::Post => Bytes::copy_from_slice(id.as_bytes()),
            Kind::Read | Kind::Blob => Bytes::new(),
        };
        let size = self.settings.blob;
        let (path, expected) = match arrival.kind {
            Kind::Blob => (format!("/blob?size={size}"), ExpectedBody::Blob { size }),
            kind => (format!("/{kind}"), echo_of(&body)),
        };
        let key = (arrival.kind == Kind::Once).then(|| Uuid::now_v7().to_string().into());
        Prepared {
            expected: Expected {
                id,
                body: expected,
                has_outcome: !self.settings.direct,
            },
            method: if arrival.kind.is_idempotent() {
                Method::GET
            } else {
                Method::POST
            },
            path,
            body,
            key,
        }
    }

    fn request(&self, arrival: &Arrival, prepared: &Prepared) -> ClientRequest {
        let entry = self.settings.entries[arrival.entry];
        let service = &*self.settings.services[arrival.service];
        let deadline = self.settings.deadline.as_millis().to_string();
        let url = format!("http://{entry}{}", prepared.path);
        let mut request = self
            .client
            .request(prepared.method.clone(), url)
            .header("carobshore-service", service)
            .header("carobshore-deadline-ms", deadline)
            .header("x-request-id", &*prepared.expected.id);
        if let Some(key) = &prepared.key {
            request = request.header("idempotency-key", &**key);
        }
        request
    }

    /// Returns whether the response arrived to its end.
    async fn exchange(
        &self,
        arrival: &Arrival,
        prepared: &Prepared,
        checker: &mut Checker,
        answered: &mut Head,
    ) -> bool {
        let request = self.request(arrival, prepared);
        let Ok(response) = request.send_body(prepared.body.clone()).await else {
            return false;
        };
        *answered = head_of(&response);
        checker.head(answered.clone());
        let mut payload = response.take_payload();
        while let Some(chunk) = payload.recv().await {
            let Ok(chunk) = chunk else {
                return false;
            };
            checker.chunk(&chunk);
        }
        true
    }
}

fn echo_of(body: &[u8]) -> ExpectedBody {
    ExpectedBody::Echo {
        bytes: body.len() as u64,
        digest: format!("{:016x}", xxh3_64(body)).into(),
    }
}

fn head_of(response: &ClientResponse) -> Head {
    let text = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().ok()?.into())
    };
    Head {
        status: response.status().as_u16(),
        id: text("x-request-id"),
        target: text("target-id"),
        outcome: text("carobshore-outcome"),
        code: text("carobshore-code"),
    }
}
