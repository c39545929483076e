//! A size in bytes.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// A size in bytes, formatted with the binary units `KiB`, `MiB` and `GiB`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ByteSize(pub u64);

const UNITS: [(&str, u64); 3] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];

impl ByteSize {
    /// Returns the size as `usize`, saturating where the platform's `usize` is smaller.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match UNITS
            .iter()
            .find(|(_, factor)| self.0 >= *factor && self.0.is_multiple_of(*factor))
        {
            Some((unit, factor)) => write!(f, "{}{unit}", self.0 / factor),
            None => write!(f, "{}", self.0),
        }
    }
}

impl FromStr for ByteSize {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let unit = UNITS.iter().find(|(unit, _)| text.ends_with(unit));
        let (digits, factor) = match unit {
            Some((unit, factor)) => (&text[..text.len() - unit.len()], *factor),
            None => (text, 1),
        };
        let bytes = digits
            .parse::<u64>()
            .ok()
            .and_then(|n| n.checked_mul(factor));
        bytes.map(Self).ok_or_else(|| {
            Error::new(
                ResultCode::BadNumber,
                format!("`{}` is not a valid size", text.escape_debug()),
                "use a whole number of bytes, or a number followed by KiB, MiB or GiB",
            )
        })
    }
}
