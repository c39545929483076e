//! How long work takes on a target's machine.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The largest pace, in percent: work takes a thousand times as long as usual.
const MAX_PERCENT: f64 = 100_000.0;

/// The duration of a piece of work, in percent of the usual one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u32);

impl Pace {
    /// Work takes as long as usual.
    pub const USUAL: Self = Self(100);

    /// Returns the percentage.
    pub fn percent(self) -> u32 {
        self.0
    }
}

impl TryFrom<f64> for Pace {
    type Error = Error;

    /// Drops fractions. Fails for percentages out of range, and for what is not a number.
    fn try_from(percent: f64) -> Result<Self> {
        match (0.0..=MAX_PERCENT).contains(&percent) {
            true => Ok(Self(percent as u32)),
            false => Err(bad_pace(&percent)),
        }
    }
}

impl FromStr for Pace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let percent: f64 = text.trim().parse().map_err(|_| bad_pace(&text))?;
        percent.try_into()
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

fn bad_pace(percent: &dyn fmt::Debug) -> Error {
    Error::new(
        ResultCode::BadNumber,
        format!("{percent:?} is not a valid pace"),
        "use a percentage from 0 to 100000",
    )
}
