//! The body of a caller's request, streamed to a target with bounded memory.

use std::cell::RefCell;
use std::error::Error;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use ntex::http::Payload;
use ntex::http::body::Body;
use ntex::http::body::BodySize;
use ntex::http::body::MessageBody;
use ntex::util::Bytes;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::connection::Connection;

/// Longest body that is kept so that it can be sent again, in bytes.
pub const MAX_KEPT_BYTES: usize = 64 * 1024;
/// How often a slow upload checks whether the target has refused the request.
const REFUSAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Passed to the HTTP client in place of the rest of a body that the target has refused.
const PADDING: &[u8] = &[0; 16 * 1024];

/// Why a body could not be read from the caller to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// The caller's connection was closed, or the framing is invalid.
    Broken,
    /// The caller paused for too long.
    Slow,
    /// The body is above the limit.
    TooLarge,
}

impl fmt::Display for BodyFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "the caller's body broke off",
            Self::Slow => "the caller's body paused for too long",
            Self::TooLarge => "the caller's body is above the limit",
        })
    }
}

impl Error for BodyFault {}

/// Limits of a request's body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest size, in bytes.
    pub bytes: u64,
    /// Longest pause between two parts.
    pub pause: Duration,
}

/// The body of a request, shared by the attempts.
#[derive(Debug, Clone)]
pub struct RequestBody {
    size: BodySize,
    source: Rc<RefCell<Source>>,
}

struct Source {
    payload: Payload,
    limits: BodyLimits,
    kept: Vec<Bytes>,
    kept_bytes: usize,
    lost: bool,
    ended: bool,
    fault: Option<BodyFault>,
    received: u64,
    /// Runs while the caller is to send the next part, but not while the target delays the body.
    pause: Option<Pin<Box<Sleep>>>,
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source")
            .field("kept_bytes", &self.kept_bytes)
            .field("lost", &self.lost)
            .field("ended", &self.ended)
            .field("fault", &self.fault)
            .finish_non_exhaustive()
    }
}

impl RequestBody {
    /// Wraps the payload of a request.
    pub fn new(payload: Payload, size: BodySize, limits: BodyLimits) -> Self {
        let source = Source {
            payload,
            limits,
            kept: Vec::new(),
            kept_bytes: 0,
            lost: false,
            ended: size.is_eof(),
            fault: None,
            received: 0,
            pause: None,
        };
        Self {
            size,
            source: Rc::new(RefCell::new(source)),
        }
    }

    /// Returns whether the beginning of the body is no longer kept, so that it cannot be sent
    /// again.
    pub fn is_lost(&self) -> bool {
        self.source.borrow().lost
    }

    /// Returns whether the whole body was read from the caller.
    pub fn is_ended(&self) -> bool {
        self.source.borrow().ended
    }

    /// Returns whether the whole body was read and can be sent again.
    pub fn is_kept(&self) -> bool {
        let source = self.source.borrow();
        source.ended && !source.lost
    }

    /// Returns why the body could not be read, if it could not.
    pub fn fault(&self) -> Option<BodyFault> {
        self.source.borrow().fault
    }

    /// Builds the body for one attempt. It starts at the first byte.
    pub fn attempt(&self, connection: Rc<Connection>) -> Body {
        match self.size {
            BodySize::None => Body::None,
            BodySize::Empty | BodySize::Sized(0) => Body::Empty,
            size => Body::from_message(AttemptBody {
                size,
                source: Rc::clone(&self.source),
                connection,
                next: 0,
                sent: 0,
                refusal_check: Box::pin(tokio::time::sleep(REFUSAL_CHECK_INTERVAL)),
            }),
        }
    }
}

impl Source {
    /// Reads the next part from the caller.
    fn poll_payload(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        if let Some(fault) = self.fault {
            return Poll::Ready(Some(Err(fault)));
        }
        match self.payload.poll_recv(cx) {
            Poll::Ready(Some(Ok(part))) => Poll::Ready(Some(self.take(part))),
            Poll::Ready(Some(Err(_))) => self.fail(BodyFault::Broken),
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_pause(cx),
        }
    }

    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let limit = self.limits.pause;
        let pause = self
            .pause
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        match pause.as_mut().poll(cx) {
            Poll::Ready(()) => self.fail(BodyFault::Slow),
            Poll::Pending => Poll::Pending,
        }
    }

    fn take(&mut self, part: Bytes) -> Result<Bytes, BodyFault> {
        self.received += part.len() as u64;
        if self.received > self.limits.bytes {
            self.fault = Some(BodyFault::TooLarge);
            return Err(BodyFault::TooLarge);
        }
        self.pause = None;
        self.kept_bytes += part.len();
        if self.kept_bytes > MAX_KEPT_BYTES {
            self.lost = true;
            self.kept.clear();
        }
        if !self.lost {
            self.kept.push(part.clone());
        }
        Ok(part)
    }

    fn fail(&mut self, fault: BodyFault) -> Poll<Option<Result<Bytes, BodyFault>>> {
        self.fault = Some(fault);
        Poll::Ready(Some(Err(fault)))
    }
}

/// The body as one attempt sends it.
struct AttemptBody {
    size: BodySize,
    source: Rc<RefCell<Source>>,
    connection: Rc<Connection>,
    next: usize,
    sent: u64,
    refusal_check: Pin<Box<Sleep>>,
}

impl AttemptBody {
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let mut source = self.source.borrow_mut();
        if !source.lost && self.next < source.kept.len() {
            self.next += 1;
            return Poll::Ready(Some(Ok(source.kept[self.next - 1].clone())));
        }
        if source.ended {
            return Poll::Ready(None);
        }
        let part = source.poll_payload(cx);
        self.next = source.kept.len();
        part
    }

    /// Returns whether the target has refused the request before the end of its body.
    ///
    /// A target that responds early with success may still read the body, so it gets all of it.
    fn is_refused(&self) -> bool {
        !self.source.borrow().ended && self.connection.refused_early()
    }

    /// Wakes the task for another check of the connection while the caller sends nothing.
    fn poll_refusal_check(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if self.refusal_check.as_mut().poll(cx).is_ready() {
            self.refusal_check
                .as_mut()
                .reset(Instant::now() + REFUSAL_CHECK_INTERVAL);
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }

    /// Returns padding for the rest of a body that the target has refused.
    ///
    /// The client reads the response only after it has sent the whole body. Writes are discarded
    /// first, so that no padding reaches the target, and the connection is not used again.
    fn padding(&self) -> Option<Result<Bytes, Rc<dyn Error>>> {
        self.connection.monitor().discard_writes();
        let BodySize::Sized(size) = self.size else {
            return None;
        };
        let missing = usize::try_from(size - self.sent).unwrap_or(usize::MAX);
        let part = &PADDING[..missing.min(PADDING.len())];
        (!part.is_empty()).then(|| Ok(Bytes::from_static(part)))
    }
}

impl MessageBody for AttemptBody {
    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        let part = if self.is_refused() {
            self.padding()
        } else {
            match self.poll_source(cx) {
                Poll::Ready(Some(Ok(part))) => Some(Ok(part)),
                Poll::Ready(Some(Err(fault))) => Some(Err(Rc::new(fault) as Rc<dyn Error>)),
                Poll::Ready(None) => None,
                Poll::Pending => return self.poll_refusal_check(cx),
            }
        };
        if let Some(Ok(part)) = &part {
            self.sent += part.len() as u64;
        }
        Poll::Ready(part)
    }
}
