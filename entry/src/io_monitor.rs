//! Observes the bytes that pass over a connection.

use std::any::Any;
use std::any::TypeId;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

use ntex::io::FilterBuf;
use ntex::io::FilterLayer;
use tokio::sync::Notify;

/// What is known about one connection, shared between its filter and its owner.
#[derive(Debug, Default)]
pub struct IoMonitor {
    written: Cell<u64>,
    discarding: Cell<bool>,
    closed: Cell<bool>,
    closing: Notify,
}

impl IoMonitor {
    /// Returns how many bytes were handed to the connection so far.
    ///
    /// Bytes count before the kernel is asked to write them, so 0 proves that none left.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Returns whether writes are dropped.
    pub fn discards_writes(&self) -> bool {
        self.discarding.get()
    }

    /// Waits until the connection is closed.
    ///
    /// A connection of a caller serves many requests, and each `on_disconnect` of it occupies
    /// memory until the connection ends. Therefore one task per connection waits for the
    /// disconnect, and the requests wait here.
    pub async fn closed(&self) {
        while !self.closed.get() {
            self.closing.notified().await;
        }
    }

    /// Notes that the connection was closed.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.closing.notify_waiters();
    }

    /// Drops everything that is written from now on.
    pub fn discard_writes(&self) {
        self.discarding.set(true);
    }
}

/// Finds the observer of a connection through [`ntex::io::IoRef::query`].
#[derive(Clone, Debug)]
pub(crate) struct IoMonitorHandle(pub(crate) Rc<IoMonitor>);

/// The filter that observes, installed below the HTTP codec.
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
                if destination.is_empty() {
                    std::mem::swap(&mut bytes, destination);
                } else {
                    destination.extend_from_slice(&bytes);
                }
            }
        });
        Ok(())
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
