//! How urgent a request is.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The priority of a request; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(u32);

impl From<u32> for Priority {
    fn from(number: u32) -> Self {
        Self(number)
    }
}

impl FromStr for Priority {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
