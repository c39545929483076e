//! The caller's end of a request.

use std::rc::Rc;

use ntex::http::Response;
use ntex::io::IoRef;
use tokio::sync::oneshot;

use crate::in_flight::InFlight;

/// Where the response goes.
#[derive(Debug)]
pub(crate) struct CallerEnd {
    pub(crate) reply: oneshot::Sender<Response>,
    pub(crate) io: Option<IoRef>,
    pub(crate) in_flight: Rc<InFlight>,
}

impl CallerEnd {
    /// Waits until the caller has left.
    pub(crate) async fn gone(&mut self) {
        let disconnected = disconnected(self.io.clone());
        tokio::select! {
            () = self.reply.closed() => {}
            () = disconnected => {}
        }
    }
}

/// Waits until a connection is closed. The server notices it late when it does not poll the
/// request, for example because the body was not read yet.
pub(crate) async fn disconnected(io: Option<IoRef>) {
    match io {
        Some(io) => io.on_disconnect().await,
        None => std::future::pending().await,
    }
}
