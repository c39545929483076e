//! The caller's end of a request.

use std::rc::Rc;

use ntex::http::Response;
use ntex::io::IoRef;
use tokio::sync::oneshot;

use crate::in_flight::InFlightGuard;
use crate::io_monitor::IoMonitor;
use crate::io_monitor::IoMonitorHandle;

/// Where the response goes.
#[derive(Debug)]
pub(crate) struct Responder {
    pub(crate) reply: oneshot::Sender<Response>,
    pub(crate) connection: Option<CallerConnection>,
    pub(crate) in_flight: Rc<InFlightGuard>,
}

/// The connection on which a request arrived.
#[derive(Clone, Debug)]
pub(crate) struct CallerConnection {
    pub(crate) io: IoRef,
    monitor: Rc<IoMonitor>,
}

impl CallerConnection {
    /// Finds the observer of a connection that the server has accepted.
    pub(crate) fn from_io(io: &IoRef) -> Option<Self> {
        let handle = io.query::<IoMonitorHandle>();
        let monitor = Rc::clone(&handle.as_ref()?.0);
        let io = io.clone();
        Some(Self { io, monitor })
    }
}

impl Responder {
    /// Waits until the caller has left.
    ///
    /// The server ends the request's future when the caller leaves, but only while it polls the
    /// connection, which it does not while the body waits to be read.
    pub(crate) async fn caller_gone(&mut self) {
        let monitor = self
            .connection
            .as_ref()
            .map(|connection| Rc::clone(&connection.monitor));
        let closed = async {
            match monitor {
                Some(monitor) => monitor.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = self.reply.closed() => {}
            () = closed => {}
        }
    }
}
