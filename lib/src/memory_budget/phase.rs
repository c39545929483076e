//! What a client's connection is doing.

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request has begun, and no response waits.
    Idle,
    /// A request has begun to arrive: the client is to send more.
    Receiving,
    /// A request is being served.
    Serving,
    /// A response is being written: the client is to read.
    Writing,
}

impl Phase {
    /// Returns whether the process waits for the client in the middle of a message.
    pub fn waits_for_client(self) -> bool {
        matches!(self, Self::Receiving | Self::Writing)
    }
}
