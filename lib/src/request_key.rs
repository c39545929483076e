//! The idempotency key of a run-once request.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use uuid::Version;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The key of a run-once request: a UUIDv7 from the `Idempotency-Key` header.
///
/// The creation time in the key allows a new owner to refuse the keys that an earlier owner may
/// have run, without any record per request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct RequestKey(Uuid);

impl RequestKey {
    /// Returns the creation time that the caller put into the key, with a resolution of one
    /// millisecond.
    pub fn created(&self) -> SystemTime {
        let bytes = self.0.as_bytes();
        let millis = bytes[..6]
            .iter()
            .fold(0, |acc, byte| (acc << 8) | u64::from(*byte));
        UNIX_EPOCH + Duration::from_millis(millis)
    }

    /// Returns the key's bytes, for hashing.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }
}

impl TryFrom<Uuid> for RequestKey {
    type Error = Error;

    fn try_from(uuid: Uuid) -> Result<Self> {
        if uuid.get_version() == Some(Version::SortRand) {
            return Ok(Self(uuid));
        }
        Err(Error::new(
            ResultCode::BadRequestKey,
            "the Idempotency-Key is not a UUID of version 7",
            "send a UUIDv7 (RFC 9562) that was created when the caller first made the request",
        ))
    }
}

impl TryFrom<Box<str>> for RequestKey {
    type Error = Error;

    fn try_from(text: Box<str>) -> Result<Self> {
        text.parse()
    }
}

impl FromStr for RequestKey {
    type Err = Error;

    /// Accepts a bare UUID and the quoted form that structured header fields use.
    fn from_str(text: &str) -> Result<Self> {
        let bare = text
            .strip_prefix('"')
            .and_then(|rest| rest.strip_suffix('"'))
            .unwrap_or(text);
        Self::try_from(Uuid::parse_str(bare).unwrap_or_default())
    }
}

impl From<RequestKey> for Box<str> {
    fn from(key: RequestKey) -> Self {
        key.0.to_string().into()
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
