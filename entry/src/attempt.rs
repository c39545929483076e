//! One attempt of a request: at a target, or at another entry VM.

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

use crate::answer::Answer;
use crate::call_head::CallHead;
use crate::call_head::MAX_HOPS;
use crate::call_head::Port;
use crate::connection::Connection;
use crate::connection::Outgoing;
use crate::connection::SendFailure;
use crate::field;
use crate::headers;
use crate::links::Link;
use crate::links::Links;
use crate::plane::Plane;
use crate::pool_seat::Slot;

/// A connection counts as silent if nothing came back for this long before the deadline.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Where an attempt goes.
#[derive(Debug)]
pub(crate) enum Place {
    /// To a target, in a slot of a pool.
    Target(Slot),
    /// To another entry VM.
    Vm {
        /// The VM.
        vm: VmId,
        /// Whether a home passes the request on to another home.
        spill: bool,
    },
}

/// What the task of an attempt has done.
#[derive(Debug)]
pub(crate) enum Step {
    /// It looked for a connection.
    Opened(AttemptId, std::io::Result<Link>),
    /// It sent the request.
    Answered(AttemptId, Link, Result<Answer, SendFailure>),
}

/// An attempt that has not ended. Dropping it releases its slot.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) place: Place,
    pub(crate) links: Option<Rc<Links>>,
    pub(crate) task: Option<AbortHandle>,
    pub(crate) answer: Option<(Link, Answer)>,
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
    pub(crate) fn new(id: AttemptId, place: Place) -> Self {
        Self {
            id,
            place,
            links: None,
            task: None,
            answer: None,
            sent: None,
            ended: false,
        }
    }

    /// Notes on which connection the request is sent.
    pub(crate) fn sent(&mut self, link: &Link, connection: &Rc<Connection>) {
        self.sent = Some(Sent {
            connection: Rc::clone(connection),
            id: link.id(),
            at: Instant::now(),
        });
    }

    /// Returns whether a byte of the request was handed to a connection.
    pub(crate) fn handed_over(&self) -> bool {
        let sent = self.sent.as_ref();
        sent.is_some_and(|sent| sent.connection.handed_over())
    }

    /// Closes the connection of an attempt that did not answer in time.
    pub(crate) fn give_up(&mut self, plane: &Plane, service: &ServiceId) {
        let silent = self.answer.is_none()
            && self.handed_over()
            && self
                .sent
                .as_ref()
                .is_some_and(|sent| sent.at.elapsed() >= SILENT_AFTER);
        if let (true, Some(links), Some(sent)) = (silent, &self.links, &self.sent) {
            links.silent(sent.id);
            log::debug!(service = service.as_str(); "a connection did not answer in time");
        }
        let result = match self.handed_over() {
            true => AttemptResult::TimedOut,
            false => AttemptResult::Cancelled,
        };
        self.end(plane, service, result);
    }

    /// Ends the attempt and releases its slot.
    pub(crate) fn end(&mut self, plane: &Plane, service: &ServiceId, result: AttemptResult) {
        if self.ended {
            return;
        }
        let place = match self.place {
            Place::Target(_) => "target",
            Place::Vm { .. } => "vm",
        };
        plane.metrics.attempted(service, place, result);
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
        if let Place::Target(slot) = &mut self.place {
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
pub(crate) fn outgoing(plane: &Plane, head: &CallHead, place: &Place, body: Body) -> Outgoing {
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
    if let Place::Vm { spill, .. } = place {
        forward_fields(plane, head, *spill, &mut fields);
    }
    Outgoing {
        method: head.method.clone(),
        path: head.path.clone(),
        headers: fields,
        body,
    }
}

fn forward_fields(plane: &Plane, head: &CallHead, spill: bool, fields: &mut HeaderMap) {
    let hops = if spill { MAX_HOPS } else { head.hops + 1 };
    headers::set_number(fields, field::HOPS, u64::from(hops));
    headers::set_number(fields, field::ATTEMPTS, u64::from(head.attempts));
    headers::set(fields, field::SERVICE, head.service.as_str());
    headers::set(fields, field::CALLER, &head.caller);
    headers::set(fields, field::ORIGIN, plane.view().me.as_str());
    // The method alone would make a GET with a key idempotent once the key is removed.
    let repeatable = if head.repeatable { "yes" } else { "no" };
    headers::set(fields, field::REPEATABLE, repeatable);
    if spill {
        // The key's table entry stays with this VM, which owns the key. The other home must not
        // look the key up in its own table, but the target gets it.
        fields.remove(field::KEY);
        if let Some(key) = head.key {
            headers::set(fields, field::TARGET_KEY, key.to_string());
        }
    }
}

/// Returns the result of a whole response for the pool.
pub(crate) fn result_of(answer: &Answer) -> AttemptResult {
    match answer.status.is_server_error() {
        true => AttemptResult::ServerError,
        false => AttemptResult::Done,
    }
}
