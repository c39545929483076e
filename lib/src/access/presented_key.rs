//! What a request presents as its key.

use crate::access::key_hash::KeyHash;

/// What a request presents as its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// No key.
    None,
    /// The hash of one key.
    Hash(KeyHash),
    /// Something that is not one key: several, another scheme, or malformed.
    Invalid,
}
