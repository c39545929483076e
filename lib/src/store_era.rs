//! A number that rises whenever the store comes back from an older copy.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::json_integer::JsonInteger;

/// The era of the store. It rises whenever the store comes back from an older copy and gives offsets
/// out again. A store that does not state its era is in era 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(JsonInteger);

impl StoreEra {
    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0.get()
    }
}

impl From<JsonInteger> for StoreEra {
    fn from(number: JsonInteger) -> Self {
        Self(number)
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
