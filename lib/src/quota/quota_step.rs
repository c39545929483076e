//! What a VM does next to get a token.

use std::time::Duration;

use crate::quota::owner_pools::Owner;
use crate::quota::quota_token::QuotaToken;
use crate::quota::token_count::TokenCount;

/// What a VM does next to get a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaStep {
    /// It has one.
    Token(QuotaToken),
    /// It asks an owner for tokens.
    Ask(Owner, TokenCount),
    /// All owners that answer have none. The caller may return after this time.
    Exceeded(Duration),
    /// No owner answers. The caller may return after this time.
    Unknown(Duration),
}
