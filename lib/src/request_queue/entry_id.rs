//! The id of a request in a queue.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifies a request in a queue. Later requests have larger ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(u64);

impl From<u64> for EntryId {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl FromStr for EntryId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

impl fmt::Display for EntryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
