//! The measuring budget of a service, and its unit.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// Target time that measuring may take per second of wall time, in microseconds.
///
/// A probe of 6 ms five times a second costs 30,000 µs/s, regardless of how many VMs send it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetTime(pub u64);

impl TargetTime {
    /// The maximum budget: 1,000 targets that do nothing but answer probes.
    pub const MAX: Self = Self(1_000_000_000);

    /// Returns the target time per second.
    pub fn per_second(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl fmt::Display for TargetTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us/s", self.0)
    }
}

impl FromStr for TargetTime {
    type Err = Error;

    /// Parses `30ms/s`, `30000us/s` or a bare number of microseconds per second.
    fn from_str(text: &str) -> Result<Self> {
        let amount = text.strip_suffix("/s").unwrap_or(text);
        let (digits, factor) = if let Some(digits) = amount.strip_suffix("ms") {
            (digits, 1_000)
        } else {
            (amount.strip_suffix("us").unwrap_or(amount), 1)
        };
        let micros = digits
            .parse::<u64>()
            .ok()
            .and_then(|n| n.checked_mul(factor));
        micros.map(Self).filter(|time| *time <= Self::MAX).ok_or_else(|| {
            Error::new(
                ResultCode::BadNumber,
                format!("`{}` is not a valid measuring budget", text.escape_debug()),
                "give target time per second, such as `30ms/s` or `500us/s`, at most 1000000ms/s",
            )
        })
    }
}
