//! A whole number that every reader of JSON keeps exactly.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// A whole number from 0 to [`JsonInteger::MAX`] (RFC 7493), such as an offset or a counter that
/// another process states. Sums of a few of them do not overflow.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "u64", into = "u64")]
pub struct JsonInteger(u64);

impl JsonInteger {
    /// The largest number.
    pub const MAX: Self = Self((1 << 53) - 1);

    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl TryFrom<u64> for JsonInteger {
    type Error = Error;

    /// Fails for numbers that some readers round.
    fn try_from(number: u64) -> Result<Self> {
        match number <= Self::MAX.0 {
            true => Ok(Self(number)),
            false => Err(bad_number(&number)),
        }
    }
}

impl From<JsonInteger> for u64 {
    fn from(number: JsonInteger) -> Self {
        number.0
    }
}

impl FromStr for JsonInteger {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number: u64 = text.parse().map_err(|_| bad_number(&text))?;
        number.try_into()
    }
}

impl fmt::Display for JsonInteger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Reads a field that holds the number itself.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    JsonInteger::deserialize(deserializer).map(JsonInteger::get)
}

fn bad_number(number: &dyn fmt::Debug) -> Error {
    Error::new(
        ResultCode::BadNumber,
        format!("{number:?} is not a valid number"),
        "use a whole number from 0 to 9007199254740991",
    )
}
