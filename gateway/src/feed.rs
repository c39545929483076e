//! Hands changes of the store on to other VMs of the failure domain, and takes them from one.
//!
//! Each call of the store is paid for, and traffic within a failure domain is not. So one VM of a
//! failure domain reads the store, and the others poll it. A poll is held until there is something
//! new, and answered after [`HOLD`] at the latest, so that a VM that is gone is noticed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use carobshore_http::client::Client;
use carobshore_http::client::Outgoing;
use carobshore_http::fields::Fields;
use carobshore_http::socket::Vigilance;
use carobshore_lib::store_mirror::Changes;
use carobshore_lib::store_mirror::StoreMirror;
use carobshore_platform::store_client::Topic;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::reply::Reply;

/// How long a poll is held while there is nothing new.
const HOLD: Duration = Duration::from_millis(600);
/// Time for the answer beyond the hold.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Time for opening a connection.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// The largest answer.
const MAX_BODY: usize = 64 << 20;
/// The path of the polls; the topic and the offset follow.
const PATH: &str = "/feed/";

/// An offset behind every record: who asks from there gets everything.
pub const EVERYTHING: u64 = u64::MAX;

/// A topic as this VM knows it, for other VMs.
#[derive(Debug)]
pub struct Feed {
    mirror: RefCell<StoreMirror>,
    /// Rings at each change, and tells whether this VM's own source answers.
    healthy: watch::Sender<bool>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            mirror: RefCell::default(),
            healthy: watch::channel(false).0,
        }
    }
}

impl Feed {
    /// Changes the copy, and wakes the VMs that poll.
    pub fn update(&self, change: impl FnOnce(&mut StoreMirror)) {
        change(&mut self.mirror.borrow_mut());
        self.healthy.send_replace(true);
    }

    /// Notes whether this VM's own source answers.
    pub fn set_healthy(&self, healthy: bool) {
        self.healthy
            .send_if_modified(|old| std::mem::replace(old, healthy) != healthy);
    }

    /// Answers a poll for what comes after an offset.
    pub async fn answer(&self, from: u64) -> Reply {
        let mut changed = self.healthy.subscribe();
        let news = async {
            while *changed.borrow_and_update() && self.mirror.borrow().next() == Some(from) {
                if changed.changed().await.is_err() {
                    break;
                }
            }
        };
        let _ = timeout(HOLD, news).await;
        let mirror = self.mirror.borrow();
        let healthy = *self.healthy.borrow();
        // Who knows nothing is better off with what was true when the store was lost.
        let useful = healthy || from == EVERYTHING;
        if !useful || mirror.next().is_none() {
            return Reply::text(503, "this VM does not follow the store now\n");
        }
        match serde_json::to_vec(&mirror.since(from)) {
            Ok(body) => Reply::text(200, body),
            Err(error) => Reply::text(500, format!("{error}\n")),
        }
    }
}

/// Returns the topic and the offset of a poll.
pub fn parse(target: &str) -> Option<(Topic, u64)> {
    let (topic, from) = target.strip_prefix(PATH)?.split_once('/')?;
    let topic = match topic {
        "operators" => Topic::Operators,
        "targets" => Topic::Targets,
        _ => return None,
    };
    Some((topic, from.parse().ok()?))
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

    /// Asks for what comes after an offset. The text of an error is for the log.
    pub async fn poll(&mut self, topic: Topic, from: u64) -> Result<Changes, Box<str>> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Client::open(self.addr, CONNECT_TIME, Vigilance::CLOSE, MAX_BODY)
                .await
                .map_err(|error| error.to_string())?,
        };
        let name = match topic {
            Topic::Operators => "operators",
            Topic::Targets => "targets",
            Topic::Vms => return Err("the VMs are not handed on".into()),
        };
        let mut fields = Fields::default();
        fields.add("Host", self.addr.to_string());
        let request = Outgoing::new("GET", &format!("{PATH}{name}/{from}"), &fields, &[]);
        let answer = timeout(HOLD + ANSWER_TIME, connection.exchange(&request, |_| true)).await;
        let response = answer
            .map_err(|_| "no answer in time")?
            .map_err(|failure| failure.error.to_string())?;
        if response.head.status != 200 {
            return Err(format!("status {}", response.head.status).into());
        }
        if connection.is_idle() {
            self.connection = Some(connection);
        }
        serde_json::from_slice(&response.body).map_err(|error| error.to_string().into())
    }
}
