//! How far a client may send ahead.

use crate::byte_size::ByteSize;
use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// How far a client may send ahead on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelineBounds {
    /// Requests that are served at the same time.
    pub requests: u32,
    /// Bytes that are read before the request to which they belong is started.
    pub ahead: ByteSize,
    /// Bytes of responses that wait until the client has read earlier ones.
    pub waiting: ByteSize,
}

impl Default for PipelineBounds {
    fn default() -> Self {
        Self {
            requests: 32,
            ahead: ByteSize(256 << 10),
            waiting: ByteSize(1 << 20),
        }
    }
}

/// The responses that a connection owes its client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwedResponses {
    /// Requests whose response is not written yet.
    pub unanswered: u32,
    /// Bytes of the responses that are complete and not written yet.
    pub waiting: u64,
    /// The length of the longest response so far, in bytes.
    pub longest: u64,
}

impl PipelineBounds {
    /// Returns whether one more request may be started. Responses in progress count like the longest so
    /// far, because they wait as well once they are complete.
    pub fn may_start(&self, owed: OwedResponses) -> bool {
        let in_progress = u64::from(owed.unanswered).saturating_mul(owed.longest);
        owed.unanswered == 0
            || owed.unanswered < self.requests && owed.waiting.max(in_progress) <= self.waiting.0
    }

    /// Returns whether more may be read ahead of the requests that are started.
    pub fn may_read(&self, buffered: usize) -> bool {
        (buffered as u64) < self.ahead.0
    }
}

impl TryFrom<(u32, ByteSize, ByteSize)> for PipelineBounds {
    type Error = Error;

    /// Takes the requests, the bytes read ahead, and the bytes of waiting responses.
    fn try_from((requests, ahead, waiting): (u32, ByteSize, ByteSize)) -> Result<Self> {
        if requests == 0 || ahead.0 == 0 {
            return Err(Error::new(
                ResultCode::BadNumber,
                format!("{requests} requests and {ahead} sent ahead"),
                "use numbers of 1 or more",
            ));
        }
        Ok(Self {
            requests,
            ahead,
            waiting,
        })
    }
}
