//! Observes the bytes that pass over a connection.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use ntex::io::FilterBuf;
use ntex::io::FilterLayer;

/// Counters of one connection, shared between its filter and its owner.
#[derive(Debug, Default)]
pub struct Wire {
    written: Cell<u64>,
    muted: Cell<bool>,
}

impl Wire {
    /// Returns how many bytes were handed to the connection so far.
    ///
    /// Bytes count before the kernel is asked to write them, so 0 proves that none left.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Returns whether writes are dropped.
    pub fn is_muted(&self) -> bool {
        self.muted.get()
    }

    /// Drops everything that is written from now on.
    pub fn mute(&self) {
        self.muted.set(true);
    }
}

/// The filter that counts, installed below the HTTP codec.
#[derive(Debug)]
pub(crate) struct WireFilter(pub(crate) Rc<Wire>);

impl FilterLayer for WireFilter {
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
            if self.0.muted.get() {
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
