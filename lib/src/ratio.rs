//! A number of things for each of others.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The largest ratio.
const MAX: f64 = 1_000.0;

/// A ratio of two numbers, such as retries for each request, from 0 to a thousand.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize)]
#[serde(try_from = "f64")]
pub struct Ratio(f64);

impl Ratio {
    /// Returns the ratio.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Ratio {
    type Error = Error;

    fn try_from(ratio: f64) -> Result<Self> {
        match (0.0..=MAX).contains(&ratio) {
            true => Ok(Self(ratio)),
            false => Err(bad_ratio(&ratio)),
        }
    }
}

impl FromStr for Ratio {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let ratio: f64 = text.trim().parse().map_err(|_| bad_ratio(&text))?;
        ratio.try_into()
    }
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

fn bad_ratio(ratio: &dyn fmt::Debug) -> Error {
    Error::new(
        ResultCode::BadNumber,
        format!("{ratio:?} is not a valid ratio"),
        "use a number from 0 to 1000",
    )
}
