//! The caller's end of a request.

use std::rc::Rc;

use ntex::http::Response;
use ntex::io::IoRef;
use tokio::sync::oneshot;

use crate::in_flight::InFlight;
use crate::wire::Wire;
use crate::wire::WireHandle;

/// Where the response goes.
#[derive(Debug)]
pub(crate) struct CallerEnd {
    pub(crate) reply: oneshot::Sender<Response>,
    pub(crate) connection: Option<CallerConnection>,
    pub(crate) in_flight: Rc<InFlight>,
}

/// The connection on which a request arrived.
#[derive(Clone, Debug)]
pub(crate) struct CallerConnection {
    pub(crate) io: IoRef,
    wire: Rc<Wire>,
}

impl CallerConnection {
    /// Finds the observer of a connection that the server has accepted.
    pub(crate) fn of(io: &IoRef) -> Option<Self> {
        let handle = io.query::<WireHandle>();
        let wire = Rc::clone(&handle.as_ref()?.0);
        let io = io.clone();
        Some(Self { io, wire })
    }
}

impl CallerEnd {
    /// Waits until the caller has left.
    ///
    /// The server ends the request's future when the caller leaves, but only while it polls the
    /// connection, which it does not while the body waits to be read.
    pub(crate) async fn gone(&mut self) {
        let wire = self.connection.as_ref().map(|found| Rc::clone(&found.wire));
        let closed = async {
            match wire {
                Some(wire) => wire.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = self.reply.closed() => {}
            () = closed => {}
        }
    }
}
