//! A number of requests that another process reports.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The largest number. It keeps sums and products of reported numbers in range.
const MAX: u32 = 1_000_000;

/// A number of requests that another process runs, queues, or could run, from 0 to a million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "f64")]
pub struct RequestCount(u32);

impl RequestCount {
    /// Returns the number.
    pub fn get(self) -> u32 {
        self.0
    }
}

impl TryFrom<f64> for RequestCount {
    type Error = Error;

    /// Drops fractions. Fails for numbers out of range, and for what is not a number.
    fn try_from(count: f64) -> Result<Self> {
        match (0.0..=f64::from(MAX)).contains(&count) {
            true => Ok(Self(count as u32)),
            false => Err(bad_count(&count)),
        }
    }
}

impl FromStr for RequestCount {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let count: f64 = text.trim().parse().map_err(|_| bad_count(&text))?;
        count.try_into()
    }
}

impl fmt::Display for RequestCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

fn bad_count(count: &dyn fmt::Debug) -> Error {
    Error::new(
        ResultCode::BadNumber,
        format!("{count:?} is not a valid number of requests"),
        "use a number from 0 to 1000000",
    )
}
