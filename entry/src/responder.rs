//! Sends the response to the caller, and notices when the caller disconnects.

use std::rc::Rc;

use ntex::http::Response;
use ntex::io::IoRef;
use tokio::sync::oneshot;

use crate::in_flight::InFlightGuard;
use crate::io_monitor::IoMonitor;
use crate::io_monitor::IoMonitorHandle;

/// The caller's side of a request: takes the response, and shows when the caller disconnects.
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
    /// Returns the connection with its monitor, if the server has installed one.
    pub(crate) fn from_io(io: &IoRef) -> Option<Self> {
        let handle = io.query::<IoMonitorHandle>();
        let monitor = Rc::clone(&handle.as_ref()?.0);
        let io = io.clone();
        Some(Self { io, monitor })
    }
}

impl Responder {
    /// Waits until the caller has disconnected.
    ///
    /// The server drops the request's future when the caller disconnects, but it notices this only
    /// while it polls the connection, and it does not poll while received body data is unread.
    /// Therefore the monitor of the connection is watched as well.
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
