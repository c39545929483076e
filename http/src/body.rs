//! Incremental decoding of message bodies.

use bytes::Buf;
use bytes::BytesMut;
use httparse::Status;

use crate::head::has_lone_line_feed;
use crate::message_error::MessageError;

/// Longest chunk-size line, with its extensions, or trailer line, in bytes.
const MAX_LINE: usize = 4096;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`: the body has this many bytes.
    Length(u64),
    /// Chunked transfer coding: the last chunk marks the end.
    Chunked,
    /// The body ends when the connection is closed (responses only).
    UntilClose,
}

/// Parser state of a chunked body: what the next bytes are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
}

/// Decoder of one message body.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    chunk: ChunkState,
    body: Vec<u8>,
    max_len: usize,
    complete: bool,
}

impl BodyReader {
    /// Creates a decoder for a body of at most `max_len` bytes. Fails if the declared length is
    /// larger.
    pub fn new(framing: Framing, max_len: usize) -> Result<Self, MessageError> {
        if matches!(framing, Framing::Length(length) if length > max_len as u64) {
            return Err(MessageError::BodyTooLarge);
        }
        Ok(Self {
            framing,
            chunk: ChunkState::Size,
            body: Vec::new(),
            max_len,
            complete: framing == Framing::Length(0),
        })
    }

    /// Consumes bytes of the body from the buffer. Returns whether the body is complete.
    pub fn advance(&mut self, buffer: &mut BytesMut) -> Result<bool, MessageError> {
        match self.framing {
            _ if self.complete => {}
            Framing::Length(length) => {
                let remaining = length - self.body.len() as u64;
                self.take(buffer, remaining)?;
                self.complete = self.body.len() as u64 == length;
            }
            Framing::Chunked => while !self.complete && self.advance_chunk(buffer)? {},
            Framing::UntilClose => self.take(buffer, u64::MAX)?,
        }
        Ok(self.complete)
    }

    /// Records that the peer closed the connection without a reset. Returns whether the body is
    /// complete.
    pub fn on_close(&mut self) -> bool {
        self.complete |= self.framing == Framing::UntilClose;
        self.complete
    }

    /// Returns the memory that the decoded bytes take.
    pub fn memory(&self) -> usize {
        self.body.capacity()
    }

    /// Returns the number of bytes decoded so far.
    pub fn decoded(&self) -> usize {
        self.body.len()
    }

    /// Returns the bytes decoded so far, without chunk framing and trailers.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Parses the next element of a chunked body. Returns whether another one may be parsed from
    /// the buffer.
    fn advance_chunk(&mut self, buffer: &mut BytesMut) -> Result<bool, MessageError> {
        match self.chunk {
            ChunkState::Size => self.advance_size(buffer),
            ChunkState::Data(remaining) => {
                let before = self.body.len();
                self.take(buffer, remaining)?;
                let left = remaining - (self.body.len() - before) as u64;
                self.chunk = match left {
                    0 => ChunkState::DataEnd,
                    left => ChunkState::Data(left),
                };
                Ok(left == 0)
            }
            ChunkState::DataEnd => {
                if buffer.len() < 2 {
                    return Ok(false);
                }
                if !buffer.starts_with(b"\r\n") {
                    return Err(MessageError::Malformed(
                        "chunk data is not followed by CRLF",
                    ));
                }
                buffer.advance(2);
                self.chunk = ChunkState::Size;
                Ok(true)
            }
            ChunkState::Trailer => self.advance_trailer(buffer),
        }
    }

    fn advance_size(&mut self, buffer: &mut BytesMut) -> Result<bool, MessageError> {
        let parsed = httparse::parse_chunk_size(buffer);
        let parsed = parsed.map_err(|_| MessageError::Malformed("invalid chunk size"))?;
        let Status::Complete((used, size)) = parsed else {
            return incomplete_line(buffer);
        };
        // Not all recipients take the bytes after it for an extension of the chunk.
        if has_lone_line_feed(&buffer[..used]) {
            return Err(MessageError::Malformed("a chunk-size line has a lone LF"));
        }
        buffer.advance(used);
        self.chunk = match size {
            0 => ChunkState::Trailer,
            size => ChunkState::Data(size),
        };
        Ok(true)
    }

    /// Skips one trailer field, or the empty line that ends the body.
    fn advance_trailer(&mut self, buffer: &mut BytesMut) -> Result<bool, MessageError> {
        let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
            return incomplete_line(buffer);
        };
        buffer.advance(end + 2);
        self.complete = end == 0;
        Ok(!self.complete)
    }

    fn take(&mut self, buffer: &mut BytesMut, remaining: u64) -> Result<(), MessageError> {
        let length = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        if self.body.len() + length > self.max_len {
            return Err(MessageError::BodyTooLarge);
        }
        self.grow(length);
        self.body.extend_from_slice(&buffer[..length]);
        buffer.advance(length);
        Ok(())
    }

    /// Makes room for more bytes: twice as many as before, but no more than the body can have.
    fn grow(&mut self, length: usize) {
        let needed = self.body.len() + length;
        if needed <= self.body.capacity() {
            return;
        }
        let most = match self.framing {
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Framing::Chunked | Framing::UntilClose => self.max_len,
        };
        let capacity = needed.max(self.body.capacity() * 2).min(most.max(needed));
        self.body.reserve_exact(capacity - self.body.len());
    }
}

/// Returns `false` because the line is incomplete, or an error if it is already too long.
fn incomplete_line(buffer: &BytesMut) -> Result<bool, MessageError> {
    match buffer.len() > MAX_LINE {
        true => Err(MessageError::Malformed(
            "chunk-size or trailer line is too long",
        )),
        false => Ok(false),
    }
}
