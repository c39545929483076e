//! The number of requests that a target serves at the same time.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// How many requests a target serves at the same time; at least one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct Slots(u32);

impl Slots {
    /// The largest number of slots that a target may have.
    pub const MAX: u32 = 10_000;

    /// Returns the number of slots, from 1 to `MAX`.
    pub fn get(self) -> u32 {
        self.0
    }
}

impl TryFrom<u32> for Slots {
    type Error = Error;

    fn try_from(count: u32) -> Result<Self> {
        if (1..=Self::MAX).contains(&count) {
            return Ok(Self(count));
        }
        Err(Error::new(
            ResultCode::BadNumber,
            format!("{count} is not a valid number of slots"),
            "use a whole number from 1 to 10000",
        ))
    }
}

impl From<Slots> for u32 {
    fn from(slots: Slots) -> Self {
        slots.0
    }
}

impl fmt::Display for Slots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Slots {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        // 0 is outside the valid range, so text that is not a number gives the same error.
        Self::try_from(text.parse().unwrap_or(0)).map_err(|error| {
            Error::new(
                error.code,
                format!("`{}` is not a valid number of slots", text.escape_debug()),
                error.help,
            )
        })
    }
}
