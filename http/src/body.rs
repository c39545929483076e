//! The body of a message, read to its proven end.

use bytes::Buf;
use bytes::BytesMut;
use httparse::Status;

use crate::message_error::MessageError;

/// The longest line of a chunk size with its extensions, or of a trailer field.
const MAX_LINE: usize = 4096;

/// How the end of a body is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The last chunk marks the end.
    Chunked,
    /// The end of the connection is the end of the body (responses only).
    UntilClose,
}

/// What the next bytes of a chunked body are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
}

/// Collects a body from the bytes of a connection.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    chunk: Chunk,
    body: Vec<u8>,
    most: usize,
    ended: bool,
}

impl BodyReader {
    /// Starts a body of at most `most` bytes.
    pub fn new(framing: Framing, most: usize) -> Result<Self, MessageError> {
        if matches!(framing, Framing::Length(length) if length > most as u64) {
            return Err(MessageError::BodyTooLarge);
        }
        Ok(Self {
            framing,
            chunk: Chunk::Size,
            body: Vec::new(),
            most,
            ended: framing == Framing::Length(0),
        })
    }

    /// Takes the bytes of the body from the buffer. Returns whether the end was seen.
    pub fn advance(&mut self, buffer: &mut BytesMut) -> Result<bool, MessageError> {
        match self.framing {
            _ if self.ended => {}
            Framing::Length(length) => {
                let missing = length - self.body.len() as u64;
                self.take(buffer, missing)?;
                self.ended = self.body.len() as u64 == length;
            }
            Framing::Chunked => while !self.ended && self.advance_chunk(buffer)? {},
            Framing::UntilClose => self.take(buffer, u64::MAX)?,
        }
        Ok(self.ended)
    }

    /// Notes that the connection was closed in order. Returns whether this is the body's end.
    pub fn closed(&mut self) -> bool {
        self.ended |= self.framing == Framing::UntilClose;
        self.ended
    }

    /// Returns the body.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Does one step of a chunked body. Returns whether another one may be possible.
    fn advance_chunk(&mut self, buffer: &mut BytesMut) -> Result<bool, MessageError> {
        match self.chunk {
            Chunk::Size => self.advance_size(buffer),
            Chunk::Data(missing) => {
                let before = self.body.len();
                self.take(buffer, missing)?;
                let left = missing - (self.body.len() - before) as u64;
                self.chunk = match left {
                    0 => Chunk::DataEnd,
                    left => Chunk::Data(left),
                };
                Ok(left == 0)
            }
            Chunk::DataEnd => {
                if buffer.len() < 2 {
                    return Ok(false);
                }
                if !buffer.starts_with(b"\r\n") {
                    return Err(MessageError::Malformed("bad end of a chunk"));
                }
                buffer.advance(2);
                self.chunk = Chunk::Size;
                Ok(true)
            }
            Chunk::Trailer => self.advance_trailer(buffer),
        }
    }

    fn advance_size(&mut self, buffer: &mut BytesMut) -> Result<bool, MessageError> {
        let parsed = httparse::parse_chunk_size(buffer);
        let parsed = parsed.map_err(|_| MessageError::Malformed("bad chunk size"))?;
        let Status::Complete((used, size)) = parsed else {
            return within_line(buffer);
        };
        buffer.advance(used);
        self.chunk = match size {
            0 => Chunk::Trailer,
            size => Chunk::Data(size),
        };
        Ok(true)
    }

    /// Skips one trailer field, or the empty line that ends the body.
    fn advance_trailer(&mut self, buffer: &mut BytesMut) -> Result<bool, MessageError> {
        let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
            return within_line(buffer);
        };
        buffer.advance(end + 2);
        self.ended = end == 0;
        Ok(!self.ended)
    }

    fn take(&mut self, buffer: &mut BytesMut, missing: u64) -> Result<(), MessageError> {
        let length = usize::try_from(missing)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        if self.body.len() + length > self.most {
            return Err(MessageError::BodyTooLarge);
        }
        self.body.extend_from_slice(&buffer[..length]);
        buffer.advance(length);
        Ok(())
    }
}

/// Returns that more bytes are needed, unless the line is already too long.
fn within_line(buffer: &BytesMut) -> Result<bool, MessageError> {
    match buffer.len() > MAX_LINE {
        true => Err(MessageError::Malformed("a line of the body is too long")),
        false => Ok(false),
    }
}
