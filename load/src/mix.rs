//! The shares of the kinds of requests.

use std::str::FromStr;

use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::ResultCode;
use rand::Rng;
use rand::RngExt;

use crate::arrival::Kind;

/// Weights of the kinds of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mix(Vec<(Kind, u32)>);

impl Mix {
    /// Draws a kind.
    pub fn draw(&self, random: &mut impl Rng) -> Kind {
        let total = self.0.iter().map(|(_, weight)| weight).sum();
        let mut left = random.random_range(0..total);
        for (kind, weight) in &self.0 {
            if left < *weight {
                return *kind;
            }
            left -= weight;
        }
        self.0[0].0
    }
}

impl Default for Mix {
    fn default() -> Self {
        Self(vec![(Kind::Read, 1)])
    }
}

impl FromStr for Mix {
    type Err = Error;

    /// Parses `read=90,once=10`.
    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || {
            Error::new(
                ResultCode::BadUsage,
                format!("`{}` is not a mix of requests", text.escape_debug()),
                "use weights such as `read=90,once=10`, at most 1000000 each and not all 0",
            )
        };
        let mut weights = Vec::new();
        for part in text.split(',') {
            let (kind, weight) = part.split_once('=').ok_or_else(bad)?;
            let weight: u32 = weight.parse().map_err(|_| bad())?;
            if weight > 1_000_000 {
                return Err(bad());
            }
            weights.push((kind.parse()?, weight));
        }
        if weights.iter().all(|(_, weight)| *weight == 0) {
            return Err(bad());
        }
        Ok(Self(weights))
    }
}
