//! Counts of tokens.

/// Counts for one organisation at one VM, since they were last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounters {
    /// Tokens that owners have granted to this VM.
    pub granted: u64,
    /// Answers of owners that had no token.
    pub refused: u64,
    /// Tokens that expired before a request was sent with them.
    pub expired: u64,
}
