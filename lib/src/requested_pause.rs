//! How long a target asks to be left alone.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The longest pause that is granted, in seconds. A target that needs more time leaves instead.
const MAX_SECONDS: f64 = 3_600.0;

/// The time for which a target that refused a request wants no others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestedPause(Duration);

impl RequestedPause {
    /// Returns the duration.
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl TryFrom<f64> for RequestedPause {
    type Error = Error;

    /// Fails for what is not a number of seconds from 0 to an hour.
    fn try_from(seconds: f64) -> Result<Self> {
        match (0.0..=MAX_SECONDS).contains(&seconds) {
            true => Ok(Self(Duration::from_secs_f64(seconds))),
            false => Err(bad_pause(&seconds)),
        }
    }
}

impl FromStr for RequestedPause {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let seconds: f64 = text.trim().parse().map_err(|_| bad_pause(&text))?;
        seconds.try_into()
    }
}

impl fmt::Display for RequestedPause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} s", self.0.as_secs_f64())
    }
}

fn bad_pause(seconds: &dyn fmt::Debug) -> Error {
    Error::new(
        ResultCode::BadNumber,
        format!("{seconds:?} is not a valid pause"),
        "use a number of seconds from 0 to 3600",
    )
}
