//! Counts the bytes that are written to a connection, and notices when it is closed.

use std::any::Any;
use std::any::TypeId;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

use ntex::io::FilterBuf;
use ntex::io::FilterLayer;
use tokio::sync::Notify;

use crate::response_guard::ResponseGuard;

/// What a connection may hold beyond the largest head, in bytes: what is read at once, several times.
const READ_ALLOWANCE: usize = 64 << 10;
/// Largest head of a response, in bytes, as the HTTP client limits it.
const MAX_RESPONSE_HEAD: usize = 64 << 10;

/// The state of one connection, shared between its I/O filter and its owner.
#[derive(Debug)]
pub struct IoMonitor {
    written: Cell<u64>,
    discarding: Cell<bool>,
    closed: Cell<bool>,
    closing: Notify,
    /// How many received bytes may wait to be decoded.
    max_undecoded: usize,
    /// Checks what is received, on connections on which responses are.
    guard: Option<ResponseGuard>,
}

impl IoMonitor {
    /// Creates the monitor of a connection on which requests with heads of at most `max_head` bytes are
    /// received.
    pub(crate) fn of_requests(max_head: usize) -> Self {
        Self::new(max_head, None)
    }

    /// Creates the monitor of a connection on which responses are received.
    pub(crate) fn of_responses() -> Self {
        Self::new(MAX_RESPONSE_HEAD, Some(ResponseGuard::default()))
    }

    fn new(max_head: usize, guard: Option<ResponseGuard>) -> Self {
        Self {
            written: Cell::default(),
            discarding: Cell::default(),
            closed: Cell::default(),
            closing: Notify::default(),
            max_undecoded: max_head + READ_ALLOWANCE,
            guard,
        }
    }

    /// Expects the response to the next request.
    pub(crate) fn expect_response(&self) {
        if let Some(guard) = &self.guard {
            guard.begin();
        }
    }

    /// Returns the number of bytes handed to the connection so far.
    ///
    /// Bytes are counted before the kernel is asked to write them, so 0 proves that none was sent.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Returns whether writes are discarded.
    pub fn discards_writes(&self) -> bool {
        self.discarding.get()
    }

    /// Waits until the connection is closed.
    ///
    /// A caller's connection serves many requests, and each `on_disconnect` future keeps memory
    /// until the connection ends. Therefore one task per connection waits for the disconnect, and
    /// all its requests wait here.
    pub async fn closed(&self) {
        while !self.closed.get() {
            self.closing.notified().await;
        }
    }

    /// Records that the connection was closed.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.closing.notify_waiters();
    }

    /// Discards everything that is written from now on.
    pub fn discard_writes(&self) {
        self.discarding.set(true);
    }

    /// Checks received bytes, of which so many more wait to be decoded already.
    ///
    /// The decoder keeps what is not yet a whole element, and bounds only heads: the line with the size
    /// of a chunk may be of any length.
    fn check(&self, received: &[u8], undecoded: usize) -> io::Result<()> {
        if undecoded + received.len() > self.max_undecoded {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "an element of a message is too long",
            ));
        }
        match &self.guard {
            Some(guard) => guard.check(received),
            None => Ok(()),
        }
    }
}

/// The monitor of a connection, as returned by [`ntex::io::IoRef::query`].
#[derive(Clone, Debug)]
pub(crate) struct IoMonitorHandle(pub(crate) Rc<IoMonitor>);

/// The I/O filter that updates the monitor. It is installed below the HTTP codec.
#[derive(Debug)]
pub(crate) struct IoMonitorFilter(pub(crate) Rc<IoMonitor>);

impl FilterLayer for IoMonitorFilter {
    fn query(&self, id: TypeId) -> Option<Box<dyn Any>> {
        let wanted = id == TypeId::of::<IoMonitorHandle>();
        wanted.then(|| Box::new(IoMonitorHandle(Rc::clone(&self.0))) as Box<dyn Any>)
    }

    fn process_read_buf(&self, buf: &FilterBuf<'_>) -> io::Result<()> {
        buf.with_read_buffers(|source, destination| {
            if let Some(mut bytes) = source.take() {
                self.0.check(&bytes, destination.len())?;
                if destination.is_empty() {
                    std::mem::swap(&mut bytes, destination);
                } else {
                    destination.extend_from_slice(&bytes);
                }
            }
            Ok(())
        })
    }

    fn process_write_buf(&self, buf: &FilterBuf<'_>) -> io::Result<()> {
        buf.with_write_buffers(|source, destination| {
            if self.0.discarding.get() {
                source.clear();
            } else {
                let bytes = source.len() as u64;
                self.0.written.set(self.0.written.get() + bytes);
                source.move_to(destination);
            }
        });
        Ok(())
    }
}
