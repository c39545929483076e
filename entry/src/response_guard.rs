//! Checks the lines of a response head before the HTTP client decodes it.
//!
//! The client takes LF alone for the end of a line. In a head that was damaged, such a line can be
//! taken for the empty one that ends the head, and the fields after it for the body. It panics over a
//! name of a field that is longer than its library allows.

use std::cell::Cell;
use std::io;

/// Longest line of a head, in bytes. The name of a field must not be longer.
const MAX_LINE: usize = u16::MAX as usize;

/// What the next byte of a response belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// The head, which has not begun: empty lines may precede it.
    #[default]
    BeforeHead,
    /// A line of the head that has this many bytes so far.
    Line(usize),
    /// The body, or what follows it.
    AfterHead,
}

/// Follows the head of the one response that is expected on a connection.
#[derive(Debug, Default)]
pub(crate) struct ResponseGuard {
    position: Cell<Position>,
    last: Cell<u8>,
}

impl ResponseGuard {
    /// Expects the head of the next response.
    pub(crate) fn begin(&self) {
        self.position.set(Position::BeforeHead);
        self.last.set(0);
    }

    /// Checks received bytes. Fails if a line of the head ends without CR or is too long.
    pub(crate) fn check(&self, bytes: &[u8]) -> io::Result<()> {
        for byte in bytes {
            if self.position.get() == Position::AfterHead {
                return Ok(());
            }
            self.check_byte(*byte)?;
        }
        Ok(())
    }

    fn check_byte(&self, byte: u8) -> io::Result<()> {
        let last = self.last.replace(byte);
        if byte == b'\n' && last != b'\r' {
            return Err(malformed("a line of the head ends without CR"));
        }
        if matches!(self.position.get(), Position::Line(MAX_LINE)) {
            return Err(malformed("a line of the head is too long"));
        }
        self.position.set(match (self.position.get(), byte) {
            (Position::BeforeHead, b'\r' | b'\n') => Position::BeforeHead,
            (Position::BeforeHead, _) => Position::Line(1),
            // The line is empty but for its CR.
            (Position::Line(1), b'\n') => Position::AfterHead,
            (Position::Line(_), b'\n') => Position::Line(0),
            (Position::Line(length), _) => Position::Line(length + 1),
            (Position::AfterHead, _) => Position::AfterHead,
        });
        Ok(())
    }
}

fn malformed(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
