//! Errors of reading a message.

use std::io;

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The bytes are not an HTTP/1.1 message.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The header section is larger than allowed.
    #[error("the header section is too large")]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The receiver has no memory for the message.
    #[error("the message needs more memory than there is for it")]
    NoMemory,
    /// The connection was closed before the message was complete.
    #[error("the connection was closed before the message was complete")]
    Closed,
    /// The connection was closed before the first byte of the message.
    #[error("the connection was closed before the first byte of a message")]
    NoMessage,
    /// The connection failed, for example by a reset.
    #[error("connection failed: {0}")]
    Broken(#[from] io::Error),
}
