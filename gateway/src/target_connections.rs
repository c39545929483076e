//! The connections to one target, and what is known about it.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::client::Client;
use carobshore_http::socket::KeepAliveOptions;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::target_outlook::TargetOutlook;

/// Time for opening a connection.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// How long an idle connection is used if the target does not say how long it keeps it.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);
/// What is left of the time for which the target keeps an idle connection when it is used for the
/// last time: the request has to arrive before the target closes.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);
/// How recently a connection must have answered to carry a request that must not run twice. An
/// older one may be silently dead.
const FRESH: Duration = Duration::from_millis(250);
/// The largest body of a response.
const MAX_RESPONSE: usize = 64 << 20;

/// An idle connection.
#[derive(Debug)]
struct Idle {
    client: Client,
    answered: Instant,
}

/// A connection that one exchange uses.
#[derive(Debug)]
pub struct Connection {
    /// The connection.
    pub client: Client,
    /// Whether it was opened for this exchange.
    pub new: bool,
}

/// The connections to one lifetime of a target, and what is known about it.
#[derive(Debug)]
pub struct TargetConnections {
    /// The target.
    pub id: TargetId,
    /// Where it accepts connections.
    pub addr: SocketAddr,
    /// Its rank among the targets that this VM prefers.
    pub rank: u64,
    /// What is known about it.
    pub outlook: RefCell<TargetOutlook>,
    /// Whether another target or lifetime has answered at the address.
    pub displaced: Cell<bool>,
    idle: RefCell<Vec<Idle>>,
    keep_alive: Cell<Duration>,
}

impl TargetConnections {
    /// Starts without connections.
    pub fn new(id: TargetId, addr: SocketAddr, rank: u64) -> Self {
        Self {
            id,
            addr,
            rank,
            outlook: RefCell::default(),
            displaced: Cell::new(false),
            idle: RefCell::default(),
            keep_alive: Cell::new(DEFAULT_KEEP_ALIVE),
        }
    }

    /// Returns whether an idle connection is open.
    pub fn is_connected(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    /// Takes an idle connection or opens one. With `fresh`, an idle one must have answered lately.
    pub async fn checkout(&self, fresh: bool) -> io::Result<Connection> {
        let now = Instant::now();
        if let Some(client) = self.take_idle(now, fresh) {
            return Ok(Connection { client, new: false });
        }
        let client = Client::open(
            self.addr,
            CONNECT_TIME,
            KeepAliveOptions::SHORT,
            MAX_RESPONSE,
        )
        .await?;
        Ok(Connection { client, new: true })
    }

    /// Gives a connection back after an exchange. It is closed if it cannot carry another one.
    pub fn checkin(&self, now: Instant, mut client: Client, keep_alive: Option<Duration>) {
        if let Some(keep_alive) = keep_alive {
            self.keep_alive.set(keep_alive);
        }
        if client.is_idle() && !self.displaced.get() {
            let answered = now;
            self.idle.borrow_mut().push(Idle { client, answered });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        let longest = self.longest_idle();
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|idle| idle.answered + longest > now && idle.client.is_idle());
    }

    /// Closes the idle connections, because the target is gone.
    pub fn close(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(&self, now: Instant, fresh: bool) -> Option<Client> {
        let longest = match fresh {
            true => FRESH,
            false => self.longest_idle(),
        };
        // The most recently used one is last; the others age out.
        while let Some(mut idle) = self.idle.borrow_mut().pop() {
            if idle.answered + longest > now && idle.client.is_idle() {
                return Some(idle.client);
            }
        }
        None
    }

    fn longest_idle(&self) -> Duration {
        let keep_alive = self.keep_alive.get();
        keep_alive
            .saturating_sub(KEEP_ALIVE_MARGIN)
            .max(keep_alive / 2)
    }
}
