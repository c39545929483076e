//! The price of bytes between failure domains.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The default price in milliseconds per KiB.
const DEFAULT_MS: f64 = 2.0;
/// The largest price in milliseconds per KiB. With it, 150 bytes cost the upper bound of a request.
const MAX_MS: f64 = 1_000.0;
/// Upper bound of the price of one request, so that large bodies still leave a domain without room.
const MAX_DELAY: Duration = Duration::from_millis(150);

/// The price of a KiB sent to another failure domain, in milliseconds of a request's time.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct CrossingPrice(f64);

impl CrossingPrice {
    /// Returns the price of a request and its response of `bytes` together.
    pub fn delay(self, bytes: usize) -> Duration {
        let seconds = self.0 / 1_000.0 * bytes as f64 / 1_024.0;
        Duration::from_secs_f64(seconds.min(MAX_DELAY.as_secs_f64()))
    }
}

impl Default for CrossingPrice {
    fn default() -> Self {
        Self(DEFAULT_MS)
    }
}

impl TryFrom<f64> for CrossingPrice {
    type Error = Error;

    fn try_from(price: f64) -> Result<Self> {
        match (0.0..=MAX_MS).contains(&price) {
            true => Ok(Self(price)),
            false => Err(bad_price(&price)),
        }
    }
}

impl FromStr for CrossingPrice {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let price: f64 = text.trim().parse().map_err(|_| bad_price(&text))?;
        price.try_into()
    }
}

impl fmt::Display for CrossingPrice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

fn bad_price(price: &dyn fmt::Debug) -> Error {
    Error::new(
        ResultCode::BadNumber,
        format!("{price:?} is not a valid price per KiB"),
        "use milliseconds from 0 to 1000",
    )
}
