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
use carobshore_lib::keep_alive::KeepAlive;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::target_estimator::TargetEstimator;
use carobshore_lib::target_limit::TargetLimit;
use carobshore_platform::header_fields::StatedKeepAlive;

use crate::warmup::SharedTarget;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
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
    /// The service that the target serves.
    pub service: ServiceId,
    /// The failure domain of the target.
    pub domain: DomainId,
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
    /// What is known of the target's warm-up. It outlives the connections.
    pub(crate) cold: SharedTarget,
    /// Whether a different target instance has answered at the address.
    pub displaced: Cell<bool>,
    /// Whether the target has asked for a pause that could not be read.
    pub malformed_pause: Cell<bool>,
    /// Whether the target has stated a keep-alive time that could not be read.
    pub malformed_keep_alive: Cell<bool>,
    /// Whether an idle connection has ended before the time that the target had stated.
    pub(crate) ended_early: Cell<bool>,
    idle: RefCell<Vec<IdleConnection>>,
    keep_alive: Cell<KeepAlive>,
}

impl TargetConnections {
    /// Creates the state of a target without connections.
    pub(crate) fn new(target: &AnnouncedTarget, rank: u64, cold: SharedTarget) -> Self {
        Self {
            id: target.id.clone(),
            service: target.service.clone(),
            addr: target.addr,
            domain: target.domain.clone(),
            generation: target.generation(),
            rank,
            outlook: RefCell::default(),
            limit: RefCell::default(),
            cold,
            displaced: Cell::new(false),
            malformed_pause: Cell::new(false),
            malformed_keep_alive: Cell::new(false),
            ended_early: Cell::new(false),
            idle: RefCell::default(),
            keep_alive: Cell::default(),
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
    /// is what the response said of the time; one that could not be read changes nothing.
    pub fn checkin(&self, now: Instant, connection: Connection, keep_alive: StatedKeepAlive) {
        let Connection {
            mut client,
            carried,
            ..
        } = connection;
        if let StatedKeepAlive::For(keep_alive) = keep_alive {
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
        let keep_alive = self.keep_alive.get();
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|idle| {
            let may_be_used = keep_alive.allows_reuse(idle.last_response, now);
            let is_idle = idle.client.is_idle();
            if may_be_used && !is_idle {
                self.ended_early.set(true);
            }
            may_be_used && is_idle
        });
    }

    /// Closes the idle connections, because the target is gone.
    pub fn close(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes the idle connection that was used last, so that surplus ones time out.
    fn take_idle(&self, now: Instant, purpose: Purpose<'_>) -> Option<Connection> {
        let (id, must_be_fresh) = match purpose {
            Purpose::HealthCheck => (None, false),
            Purpose::Request { id: None, .. } => return None,
            Purpose::Request { id, repeatable } => (id, !repeatable),
        };
        self.sweep(now);
        let mut idle = self.idle.borrow_mut();
        let is_suitable = |idle: &IdleConnection| {
            let age = now.saturating_duration_since(idle.last_response);
            (age < FRESH_TIME || !must_be_fresh) && id.is_none_or(|id| !idle.carried.has(id))
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
}
