//! A position in the platform's log.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::json_integer::JsonInteger;
use crate::result_code::ResultCode;

/// The position of a record in the log. Of two conflicting confirms, the one with the lower offset
/// takes effect.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "JsonInteger", into = "u64")]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl From<JsonInteger> for Offset {
    fn from(number: JsonInteger) -> Self {
        Self(number.get())
    }
}

impl From<Offset> for u64 {
    fn from(number: Offset) -> Self {
        number.0
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Offset {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse::<JsonInteger>();
        number.map(Self::from).map_err(|_| {
            Error::new(
                ResultCode::BadNumber,
                format!("`{}` is not a valid log offset", text.escape_debug()),
                "use a whole number from 0 to 9007199254740991",
            )
        })
    }
}
