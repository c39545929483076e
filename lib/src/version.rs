//! The version of a service or a route in the configuration.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::json_integer::JsonInteger;
use crate::result_code::ResultCode;

/// Grows with each confirmed change of a service or a route; a plan lists the versions on which it
/// is based.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "JsonInteger", into = "u64")]
pub struct Version(pub u64);

impl Version {
    /// Returns the version after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl From<JsonInteger> for Version {
    fn from(number: JsonInteger) -> Self {
        Self(number.get())
    }
}

impl From<Version> for u64 {
    fn from(number: Version) -> Self {
        number.0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Version {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse::<JsonInteger>();
        number.map(Self::from).map_err(|_| {
            Error::new(
                ResultCode::BadNumber,
                format!("`{}` is not a valid version", text.escape_debug()),
                "use a whole number from 0 to 9007199254740991",
            )
        })
    }
}
