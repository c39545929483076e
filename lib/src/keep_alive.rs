//! How long a server keeps an idle connection open.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The longest time that is accepted, in seconds: a day.
const MAX_SECONDS: u64 = 86_400;
/// An idle connection is not reused in this last part of the time, because a request must arrive
/// before the server closes the connection.
const MARGIN: Duration = Duration::from_secs(1);

/// How long a server keeps an idle connection open, at most a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeepAlive(Duration);

impl KeepAlive {
    /// Assumed of a server that does not say it.
    pub const DEFAULT: Self = Self(Duration::from_secs(5));

    /// Returns the duration.
    pub fn duration(self) -> Duration {
        self.0
    }

    /// Returns whether a connection may carry another request at `now`, if its last response came at
    /// `last_response`.
    pub fn allows_reuse(self, last_response: Instant, now: Instant) -> bool {
        let longest_idle = self.0.saturating_sub(MARGIN).max(self.0 / 2);
        now.saturating_duration_since(last_response) < longest_idle
    }
}

impl Default for KeepAlive {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl TryFrom<u64> for KeepAlive {
    type Error = Error;

    /// Fails for more seconds than a day has.
    fn try_from(seconds: u64) -> Result<Self> {
        match seconds <= MAX_SECONDS {
            true => Ok(Self(Duration::from_secs(seconds))),
            false => Err(bad_time(&seconds)),
        }
    }
}

impl FromStr for KeepAlive {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let seconds: u64 = text.trim().parse().map_err(|_| bad_time(&text))?;
        seconds.try_into()
    }
}

impl fmt::Display for KeepAlive {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} s", self.0.as_secs())
    }
}

fn bad_time(seconds: &dyn fmt::Debug) -> Error {
    Error::new(
        ResultCode::BadNumber,
        format!("{seconds:?} is not a valid keep-alive time"),
        "use a whole number of seconds from 0 to 86400",
    )
}
