//! One attempt to send a request to a target or to another entry VM.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::connection_pool::ConnId;
use carobshore_lib::pool_event::AttemptId;
use carobshore_lib::pool_event::AttemptResult;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::VmId;
use ntex::http::HeaderMap;
use ntex::http::body::Body;
use tokio::task::AbortHandle;

use crate::call_head::CallHead;
use crate::call_head::MAX_HOPS;
use crate::call_head::Port;
use crate::connection::Connection;
use crate::connection::OutgoingRequest;
use crate::connection::SendFailure;
use crate::connection_table::AddressConnections;
use crate::connection_table::ConnectionGuard;
use crate::data_plane::DataPlane;
use crate::field;
use crate::headers;
use crate::pool_runner::Slot;
use crate::upstream_response::UpstreamResponse;

/// A connection counts as unresponsive if it sent nothing for this long before the deadline.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(1);

/// Where an attempt goes.
#[derive(Debug)]
pub(crate) enum Destination {
    /// A target, in a slot of a pool.
    Target(Slot),
    /// Another entry VM.
    Vm {
        /// The VM that the request is forwarded to.
        vm: VmId,
        /// Whether this VM is a home that passes the request on to another home.
        spill: bool,
    },
}

/// The output of a task of an attempt.
#[derive(Debug)]
pub(crate) enum TaskOutput {
    /// The connection that was taken or opened.
    Opened(AttemptId, std::io::Result<ConnectionGuard>),
    /// The response to the request that was sent.
    Responded(
        AttemptId,
        ConnectionGuard,
        Result<UpstreamResponse, SendFailure>,
    ),
}

/// An attempt in progress. Dropping it releases its slot.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) destination: Destination,
    pub(crate) connections: Option<Rc<AddressConnections>>,
    pub(crate) task: Option<AbortHandle>,
    pub(crate) response: Option<(ConnectionGuard, UpstreamResponse)>,
    sent: Option<Sent>,
    ended: bool,
}

#[derive(Debug)]
struct Sent {
    connection: Rc<Connection>,
    id: ConnId,
    at: Instant,
}

impl Attempt {
    pub(crate) fn new(id: AttemptId, destination: Destination) -> Self {
        Self {
            id,
            destination,
            connections: None,
            task: None,
            response: None,
            sent: None,
            ended: false,
        }
    }

    /// Records on which connection the request is sent, and when.
    pub(crate) fn record_sent(&mut self, guard: &ConnectionGuard, connection: &Rc<Connection>) {
        self.sent = Some(Sent {
            connection: Rc::clone(connection),
            id: guard.id(),
            at: Instant::now(),
        });
    }

    /// Returns whether any byte of the request was handed to a connection.
    pub(crate) fn handed_over(&self) -> bool {
        let sent = self.sent.as_ref();
        sent.is_some_and(|sent| sent.connection.handed_over())
    }

    /// Ends an attempt that reached the deadline, and closes its connection.
    ///
    /// If the connection was unresponsive, idle connections of the same age are closed as well.
    pub(crate) fn time_out(&mut self, plane: &DataPlane, service: &ServiceId) {
        let unresponsive = self.response.is_none()
            && self.handed_over()
            && self
                .sent
                .as_ref()
                .is_some_and(|sent| sent.at.elapsed() >= UNRESPONSIVE_AFTER);
        if let (true, Some(connections), Some(sent)) = (unresponsive, &self.connections, &self.sent)
        {
            connections.timed_out(sent.id);
            log::debug!(service = service.as_str(); "connection sent no response before the deadline");
        }
        let result = match self.handed_over() {
            true => AttemptResult::TimedOut,
            false => AttemptResult::Cancelled,
        };
        self.end(plane, service, result);
    }

    /// Ends the attempt and releases its slot.
    pub(crate) fn end(&mut self, plane: &DataPlane, service: &ServiceId, result: AttemptResult) {
        if self.ended {
            return;
        }
        let destination = match self.destination {
            Destination::Target(_) => "target",
            Destination::Vm { .. } => "vm",
        };
        plane.metrics.record_attempt(service, destination, result);
        self.release(result);
    }

    fn release(&mut self, result: AttemptResult) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        if self.ended {
            return;
        }
        self.ended = true;
        if let Destination::Target(slot) = &mut self.destination {
            slot.finish(result);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.release(AttemptResult::Cancelled);
    }
}

/// Builds the request that an attempt sends.
pub(crate) fn build_request(
    plane: &DataPlane,
    head: &CallHead,
    destination: &Destination,
    body: Body,
) -> OutgoingRequest {
    let now = Instant::now();
    let mut fields = head.headers.clone();
    let millis = u64::try_from(head.remaining(now).as_millis()).unwrap_or(u64::MAX);
    headers::set_number(&mut fields, field::DEADLINE, millis.max(1));
    headers::add_via(&mut fields, &plane.settings.vm_name);
    if head.port == Port::Callers {
        headers::add_forwarded(&mut fields, head.peer, &head.host);
    }
    if let Some(key) = &head.target_key {
        headers::set(&mut fields, field::KEY, key);
    }
    if let Destination::Vm { spill, .. } = destination {
        add_forward_fields(plane, head, *spill, &mut fields);
    }
    OutgoingRequest {
        method: head.method.clone(),
        path: head.path.clone(),
        headers: fields,
        body,
    }
}

fn add_forward_fields(plane: &DataPlane, head: &CallHead, spill: bool, fields: &mut HeaderMap) {
    let hops = if spill { MAX_HOPS } else { head.hops + 1 };
    headers::set_number(fields, field::HOPS, u64::from(hops));
    headers::set_number(fields, field::ATTEMPTS, u64::from(head.attempts));
    headers::set(fields, field::SERVICE, head.service.as_str());
    headers::set(fields, field::CALLER, &head.caller);
    headers::set(fields, field::ORIGIN, plane.view().me.as_str());
    // Without this field, a GET whose key is removed would count as idempotent by its method.
    let repeatable = if head.repeatable { "yes" } else { "no" };
    headers::set(fields, field::REPEATABLE, repeatable);
    if spill {
        // This VM owns the key and has it in its table. The other home must not look the key up in
        // its own table, but has to pass it on to the target.
        fields.remove(field::KEY);
        if let Some(key) = head.key {
            headers::set(fields, field::TARGET_KEY, key.to_string());
        }
    }
}

/// Returns the result that a complete response has for the pool.
pub(crate) fn result_of(response: &UpstreamResponse) -> AttemptResult {
    match response.status.is_server_error() {
        true => AttemptResult::ServerError,
        false => AttemptResult::Done,
    }
}
