//! HTTP server for readiness checks, metrics, the state dump and the feed of store changes.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use carobshore_http::head::RequestHead;
use carobshore_http::message_error::MessageError;
use carobshore_lib::config_check::config_summary::ConfigSummary;
use carobshore_lib::memory_budget::phase::Phase;
use carobshore_platform::header_fields::READINESS_PATH;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::accept_loop;
use crate::clients::ClientConnection;
use crate::feed;
use crate::feed::Told;
use crate::gateway::Gateway;
use crate::limit_client;
use crate::limits;
use crate::limits::NEWS_FIELD;
use crate::quota_server;
use crate::recovery_news;
use crate::registrar;
use crate::reply::Reply;
use crate::state_dump;
use crate::vm_list_sync;

/// Largest request head, in bytes.
const MAX_REQUEST: usize = 8 << 10;
/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a client may take no byte of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections until the process exits.
pub async fn accept(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    name: &'static str,
) -> eyre::Result<()> {
    let clients = gateway.kept_clients(name)?;
    accept_loop::run(listener, name, clients, |stream, client| {
        let gateway = Rc::clone(&gateway);
        async move {
            let served = tokio::select! {
                served = serve(&gateway, stream, &client) => served,
                () = client.closed() => Ok(()),
            };
            if let Err(error) = served {
                log::debug!(reason:% = error; "an admin connection failed");
            }
        }
    })
    .await
}

async fn serve(
    gateway: &Gateway,
    mut stream: TcpStream,
    client: &ClientConnection,
) -> Result<(), MessageError> {
    let mut buffer = BytesMut::new();
    let mut told = Told::default();
    loop {
        let Some(head) = RequestHead::take(&mut buffer, MAX_REQUEST)? else {
            let read = timeout(IDLE_TIMEOUT, stream.read_buf(&mut buffer)).await;
            match read {
                Ok(Ok(0)) | Err(_) => return Ok(()),
                Ok(read) => read?,
            };
            continue;
        };
        client.progress(Phase::Serving);
        let mut reply = respond(gateway, &head, &mut told).await;
        reply.close |= !head.keep_alive;
        write(&mut stream, &reply.to_bytes()).await?;
        if reply.close {
            return Ok(());
        }
        client.progress(Phase::Idle);
    }
}

/// Writes a response to a client that takes some of it every [`WRITE_TIMEOUT`].
async fn write(stream: &mut TcpStream, mut rest: &[u8]) -> Result<(), MessageError> {
    while !rest.is_empty() {
        let written = timeout(WRITE_TIMEOUT, stream.write(rest)).await;
        let written = written.map_err(|_| MessageError::Closed)??;
        if written == 0 {
            return Err(MessageError::Closed);
        }
        rest = &rest[written..];
    }
    Ok(())
}

async fn respond(gateway: &Gateway, head: &RequestHead, told: &mut Told) -> Reply {
    if let Some(poll) = feed::parse(head) {
        if let Some(message) = head.fields.text(NEWS_FIELD) {
            limits::read_news(gateway, "a follower", message);
        }
        vm_list_sync::hear(gateway, head);
        let reply = gateway.feed(poll.topic).answer(poll, told).await;
        let reply = match limits::news(gateway) {
            Some(message) => reply.with_field(NEWS_FIELD, &message),
            None => reply,
        };
        let reply = vm_list_sync::with_list(gateway, reply);
        gateway.metrics.feed_bytes("sent", reply.body_len());
        return reply;
    }
    if let Some(reply) = recovery_news::answer(gateway, head) {
        return reply;
    }
    if let Some(reply) = registrar::answer(gateway, head).await {
        return reply;
    }
    if let Some(reply) = limit_client::answer(gateway, &head.method, &head.target) {
        return reply;
    }
    if let Some(reply) = quota_server::answer(gateway, head) {
        return reply;
    }
    match (&*head.method, &*head.target) {
        ("GET", READINESS_PATH | "/ready") => match gateway.is_ready() {
            true => Reply::text(200, "ready\n"),
            false => Reply::text(503, "not ready\n"),
        },
        ("GET", "/metrics") => {
            let version = gateway.routes.borrow().config().version.0;
            let targets = gateway.directory.borrow().iter().count();
            if let Some(age) = gateway.config_age(Instant::now()) {
                gateway.metrics.config_age(age);
            }
            match gateway
                .metrics
                .text(gateway.in_flight.count(), version, targets)
            {
                Ok(text) => Reply::text(200, text),
                Err(error) => Reply::text(500, format!("{error:#}\n")),
            }
        }
        ("GET", "/config") => {
            let summary = ConfigSummary::from(&**gateway.routes.borrow().config());
            match serde_json::to_string(&summary) {
                Ok(text) => Reply::text(200, text),
                Err(error) => Reply::text(500, format!("{error}\n")),
            }
        }
        ("GET", "/dump") => Reply::text(200, state_dump::dump(gateway, Instant::now()).to_string()),
        _ => Reply::text(404, "use /ready, /metrics, /config or /dump\n"),
    }
}
