//! Response bodies of a target: request echoes and blobs, complete or truncated.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use ntex::http::body::BodySize;
use ntex::http::body::MessageBody;
use ntex::io::IoRef;
use ntex::util::Bytes;
use ntex::web::HttpRequest;
use serde::Deserialize;
use serde::Serialize;

use crate::blob;
use crate::slot_queue::SlotGuard;
use crate::target_state::TargetState;

/// Maximum size of a body chunk, in bytes.
const CHUNK_BYTES: u64 = 16 * 1024;

/// A target's description of the request it served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The target's name.
    pub target: Box<str>,
    /// The request's `x-request-id`.
    pub id: Box<str>,
    /// The length of the request's body.
    pub bytes: u64,
    /// The xxh3 digest of the request's body, as 16 hexadecimal digits.
    pub digest: Box<str>,
}

/// Where the bytes of a body come from.
#[derive(Debug)]
pub enum BodySource {
    /// Bytes held in memory.
    Ready(Bytes),
    /// The blob of the request with this id.
    Blob(Box<str>),
}

/// A response body that holds its request's slot until all its chunks are passed to the server.
#[derive(Debug)]
pub struct TargetBody {
    source: BodySource,
    declared: u64,
    end: u64,
    sent: u64,
    io: Option<IoRef>,
    peer: Option<SocketAddr>,
    state: Arc<TargetState>,
    slot: Option<SlotGuard>,
}

impl TargetBody {
    /// Builds a body of `declared` bytes; if `is_cut`, only half of them are sent.
    pub fn new(
        source: BodySource,
        declared: u64,
        is_cut: bool,
        request: &HttpRequest,
        state: Arc<TargetState>,
        slot: SlotGuard,
    ) -> Self {
        Self {
            source,
            declared,
            end: if is_cut { declared / 2 } else { declared },
            sent: 0,
            io: request.io().cloned(),
            peer: request.peer_addr(),
            state,
            slot: Some(slot),
        }
    }

    fn next_chunk(&mut self) -> Bytes {
        let length = (self.end - self.sent).min(CHUNK_BYTES) as usize;
        let from = self.sent;
        self.sent += length as u64;
        match &self.source {
            BodySource::Ready(bytes) => bytes.slice(from as usize..from as usize + length),
            BodySource::Blob(id) => blob::chunk(id, from, length),
        }
    }
}

impl MessageBody for TargetBody {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.declared)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if self.state.is_silent(self.peer) {
            // The server polls again when the peer closes the connection.
            return Poll::Pending;
        }
        if self.sent < self.end {
            return Poll::Ready(Some(Ok(self.next_chunk())));
        }
        self.slot = None;
        if self.end < self.declared {
            // If this returned an error, ntex would append an error response to the body, so the
            // connection is closed instead once the first half is written.
            if let Some(io) = &self.io {
                io.close();
            }
            return Poll::Pending;
        }
        Poll::Ready(None)
    }
}
