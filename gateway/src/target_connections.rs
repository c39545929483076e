//! The connections to one target instance, and what is known about it.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::client::Client;
use carobshore_http::socket::KeepAliveOptions;
use carobshore_lib::announced_target::AnnouncedTarget;
use carobshore_lib::carried_ids::CarriedIds;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::target_estimator::TargetEstimator;
use carobshore_lib::target_limit::TargetLimit;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Keep-alive time of a target that does not send one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);
/// An idle connection is not reused in this last part of the keep-alive time, because a request
/// must arrive before the target closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);
/// Longest time since the last response on a connection that carries a request that must not run
/// twice. On an older connection the path may be dead without notice.
const FRESH_TIME: Duration = Duration::from_millis(250);
/// Largest body of a response, in bytes.
const MAX_RESPONSE: usize = 64 << 20;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    client: Client,
    carried: CarriedIds,
    last_response: Instant,
}

/// A connection that is checked out for one exchange.
#[derive(Debug)]
pub struct Connection {
    /// The connection.
    pub client: Client,
    /// Why it was opened for this exchange; nothing if it was idle.
    pub opened: Option<&'static str>,
    carried: CarriedIds,
}

/// What a connection is checked out for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose<'a> {
    /// A health check.
    HealthCheck,
    /// A request of a caller.
    Request {
        /// The request id. Responses to a request without one cannot be told from others, so it gets
        /// a connection of its own.
        id: Option<&'a str>,
        /// Whether the request may run more than once.
        repeatable: bool,
    },
}

/// The connections to one target instance, and what is known about it.
#[derive(Debug)]
pub struct TargetConnections {
    /// The id of the target instance.
    pub id: TargetId,
    /// Address on which the target accepts connections.
    pub addr: SocketAddr,
    /// The generation of the target that was announced when this was created.
    pub generation: u64,
    /// The target's rank in this VM's order of preference.
    pub rank: u64,
    /// What is known about the target's load and failures.
    pub outlook: RefCell<TargetEstimator>,
    /// What the target takes from all VMs together, and this VM's part of it.
    pub limit: RefCell<Option<TargetLimit>>,
    /// Whether a different target instance has answered at the address.
    pub displaced: Cell<bool>,
    /// Whether the target has asked for a pause that could not be read.
    pub malformed_pause: Cell<bool>,
    idle: RefCell<Vec<IdleConnection>>,
    keep_alive: Cell<Duration>,
}

impl TargetConnections {
    /// Creates the state of a target without connections.
    pub fn new(target: &AnnouncedTarget, rank: u64) -> Self {
        Self {
            id: target.id.clone(),
            addr: target.addr,
            generation: target.generation(),
            rank,
            outlook: RefCell::default(),
            limit: RefCell::default(),
            displaced: Cell::new(false),
            malformed_pause: Cell::new(false),
            idle: RefCell::default(),
            keep_alive: Cell::new(DEFAULT_KEEP_ALIVE),
        }
    }

    /// Returns whether there is an idle connection.
    pub fn is_connected(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    /// Takes an idle connection or opens one. For a request that must not run twice, an idle one
    /// must have had a response within [`FRESH_TIME`].
    pub async fn checkout(&self, purpose: Purpose<'_>) -> io::Result<Connection> {
        let now = Instant::now();
        if let Some(connection) = self.take_idle(now, purpose) {
            return Ok(connection);
        }
        let reason = match purpose {
            Purpose::HealthCheck => "health-check",
            Purpose::Request { .. } if self.is_connected() => "idle-too-long",
            Purpose::Request { .. } => "none-idle",
        };
        let client = Client::open(
            self.addr,
            CONNECT_TIMEOUT,
            KeepAliveOptions::SHORT,
            MAX_RESPONSE,
        )
        .await?;
        let mut carried = CarriedIds::default();
        if let Purpose::Request { id: Some(id), .. } = purpose {
            carried.add(id);
        }
        Ok(Connection {
            client,
            opened: Some(reason),
            carried,
        })
    }

    /// Puts a connection back after an exchange, or closes it if it cannot be reused. `keep_alive`
    /// is the time that the response named, if any.
    pub fn checkin(&self, now: Instant, connection: Connection, keep_alive: Option<Duration>) {
        let Connection {
            mut client,
            carried,
            ..
        } = connection;
        if let Some(keep_alive) = keep_alive {
            self.keep_alive.set(keep_alive);
        }
        if client.is_idle() && !carried.is_full() && !self.displaced.get() {
            self.idle.borrow_mut().push(IdleConnection {
                client,
                carried,
                last_response: now,
            });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        let longest = self.longest_idle();
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|idle| idle.last_response + longest > now && idle.client.is_idle());
    }

    /// Closes the idle connections, because the target is gone.
    pub fn close(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes the idle connection that was used last, so that surplus ones time out.
    fn take_idle(&self, now: Instant, purpose: Purpose<'_>) -> Option<Connection> {
        let (id, longest) = match purpose {
            Purpose::HealthCheck => (None, self.longest_idle()),
            Purpose::Request { id: None, .. } => return None,
            Purpose::Request { id, repeatable } if repeatable => (id, self.longest_idle()),
            Purpose::Request { id, .. } => (id, FRESH_TIME),
        };
        self.sweep(now);
        let mut idle = self.idle.borrow_mut();
        let is_suitable = |idle: &IdleConnection| {
            idle.last_response + longest > now && id.is_none_or(|id| !idle.carried.has(id))
        };
        let index = idle.iter().rposition(is_suitable)?;
        let IdleConnection {
            client,
            mut carried,
            ..
        } = idle.remove(index);
        if let Some(id) = id {
            carried.add(id);
        }
        Some(Connection {
            client,
            opened: None,
            carried,
        })
    }

    fn longest_idle(&self) -> Duration {
        let keep_alive = self.keep_alive.get();
        keep_alive
            .saturating_sub(KEEP_ALIVE_MARGIN)
            .max(keep_alive / 2)
    }
}
