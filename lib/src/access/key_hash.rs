//! The hash of a key.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

/// Length of a hash in bytes. Half of SHA-256 makes accidental and constructed collisions
/// infeasible.
const LENGTH: usize = 16;
/// Bytes that the text form shows: enough to tell the keys of a configuration apart.
const SHOWN: usize = 4;

/// The SHA-256 hash of an organisation's key, truncated. The key itself is not kept.
///
/// Keys are compared as hashes, so that the time of a comparison says nothing about a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; LENGTH]);

impl KeyHash {
    /// Returns the hash of a key.
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let mut hash = [0; LENGTH];
        hash.copy_from_slice(&digest[..LENGTH]);
        Self(hash)
    }
}

impl fmt::Display for KeyHash {
    /// Writes the first bytes only, for logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..SHOWN]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}
