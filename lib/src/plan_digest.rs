//! The digest that binds a confirm to the plan that its operator saw.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// A SHA-256 digest, formatted as 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct PlanDigest(pub [u8; 32]);

impl fmt::Display for PlanDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for PlanDigest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        parse_hex(text).map(Self).ok_or_else(|| {
            Error::new(
                ResultCode::BadNumber,
                format!("`{}` is not a valid digest", text.escape_debug()),
                "use the 64 hexadecimal digits that `carobshore plan` prints",
            )
        })
    }
}

fn parse_hex(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; 32];
    for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(bytes)
}

impl TryFrom<Box<str>> for PlanDigest {
    type Error = Error;

    fn try_from(text: Box<str>) -> Result<Self> {
        text.parse()
    }
}

impl From<PlanDigest> for Box<str> {
    fn from(digest: PlanDigest) -> Self {
        digest.to_string().into()
    }
}
