//! A number of requests per second.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The largest rate, in requests per second. No target of the expected size takes more.
const MAX_RATE: f64 = 1e6;

/// A rate of requests per second, from 0 to [`MAX_RATE`].
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = Error;

    /// Fails for negative numbers and for what is not a finite number. Larger rates than the
    /// largest one are lowered to it.
    fn try_from(rate: f64) -> Result<Self> {
        match rate.is_finite() && rate >= 0.0 {
            true => Ok(Self(rate.min(MAX_RATE))),
            false => Err(bad_rate(&rate)),
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl FromStr for RequestRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let rate: f64 = text.trim().parse().map_err(|_| bad_rate(&text))?;
        rate.try_into()
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

fn bad_rate(rate: &dyn fmt::Debug) -> Error {
    Error::new(
        ResultCode::BadNumber,
        format!("{rate:?} is not a valid rate"),
        "use a number of requests per second that is not negative",
    )
}
