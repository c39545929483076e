//! A number of tokens that one VM asks of another.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The largest number in one question. More would be of no use within the lifetime of a token.
const MAX: u32 = 64;

/// A number of tokens, from 1 to 64.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TokenCount(u32);

impl TokenCount {
    /// One token.
    pub const ONE: Self = Self(1);

    /// Returns the number.
    pub fn get(self) -> u32 {
        self.0
    }

    /// Returns the nearest valid number.
    pub fn nearest(count: f64) -> Self {
        Self((count as u32).clamp(1, MAX))
    }
}

impl TryFrom<u32> for TokenCount {
    type Error = Error;

    fn try_from(count: u32) -> Result<Self> {
        match (1..=MAX).contains(&count) {
            true => Ok(Self(count)),
            false => Err(bad_count(&count)),
        }
    }
}

impl FromStr for TokenCount {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let count: u32 = text.trim().parse().map_err(|_| bad_count(&text))?;
        count.try_into()
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

fn bad_count(count: &dyn fmt::Debug) -> Error {
    Error::new(
        ResultCode::BadNumber,
        format!("{count:?} is not a valid number of tokens"),
        "use a number from 1 to 64",
    )
}
