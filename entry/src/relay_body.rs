//! The body of a response that is relayed to the caller.

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

/// Parts of a body that are buffered for a slow caller. While the buffer is full, the target's
/// connection is not read.
const BUFFERED_PARTS: usize = 2;

/// A part of a response's body.
#[derive(Debug)]
pub enum Part {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The end of the body, which was received from upstream.
    End,
}

/// The body that the server polls and sends to the caller.
#[derive(Debug)]
pub struct RelayBody {
    size: BodySize,
    parts: mpsc::Receiver<Part>,
    io: Option<IoRef>,
    ended: bool,
    /// Counts the request until the body has ended or is given up. The server may keep the body of
    /// a connection that was ended.
    in_flight: Option<Rc<InFlightGuard>>,
}

impl RelayBody {
    /// Creates a body and the sender of its parts. Dropping the sender before it has sent
    /// [`Part::End`] aborts the caller's connection.
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
            in_flight: Some(in_flight),
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
            // The connection is aborted before the error is returned. On an open connection the server
            // would write an error response into the middle of the body, and the caller would take
            // its bytes for the body's rest. Without the error, the server would wait for the body
            // even when it stops.
            Poll::Ready(None) => {
                self.in_flight = None;
                let Some(io) = &self.io else {
                    return Poll::Pending;
                };
                io.terminate();
                Poll::Ready(Some(Err(Rc::new(std::io::Error::other(
                    "the body broke off",
                )))))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}
