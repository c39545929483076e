//! The body of a response on its way to the caller.

use std::error::Error;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use ntex::http::body::BodySize;
use ntex::http::body::MessageBody;
use ntex::io::IoRef;
use ntex::util::Bytes;
use tokio::sync::mpsc;

use crate::in_flight::InFlightGuard;

/// Parts of a response that wait for a slow caller. The target's connection is not read meanwhile.
const BUFFERED_PARTS: usize = 2;

/// A part of a response's body.
#[derive(Debug)]
pub enum Part {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The proven end of the body.
    End,
}

/// The receiving end of a response's body, which the server polls.
#[derive(Debug)]
pub struct RelayBody {
    size: BodySize,
    parts: mpsc::Receiver<Part>,
    io: Option<IoRef>,
    ended: bool,
    _in_flight: Rc<InFlightGuard>,
}

impl RelayBody {
    /// Builds a body and its sending end. Dropping the sender before the end aborts the caller's
    /// connection.
    pub(crate) fn new(
        size: BodySize,
        io: Option<IoRef>,
        in_flight: Rc<InFlightGuard>,
    ) -> (mpsc::Sender<Part>, Self) {
        let (sender, parts) = mpsc::channel(BUFFERED_PARTS);
        let body = Self {
            size,
            parts,
            io,
            ended: false,
            _in_flight: in_flight,
        };
        (sender, body)
    }
}

impl MessageBody for RelayBody {
    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.parts.poll_recv(cx) {
            Poll::Ready(Some(Part::Bytes(bytes))) => Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(Some(Part::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            // An error would make the server write an error response into the middle of the body,
            // where the caller takes its bytes for the rest of the body.
            Poll::Ready(None) => {
                if let Some(io) = &self.io {
                    io.terminate();
                }
                Poll::Pending
            }
            Poll::Pending => Poll::Pending,
        }
    }
}
