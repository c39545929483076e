//! A position in a topic of the store.

use std::fmt;

use serde::Serialize;

use crate::offset::Offset;
use crate::store_era::StoreEra;

/// A position in a topic of the store. An offset means something in its era only: a later era gives
/// it out again. Positions are ordered by era first, so of two records of a key the one with the
/// greater position holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The offset in that era.
    pub offset: Offset,
}

impl StorePosition {
    /// Returns the position of the last record of a topic that ends here; the first one if it is empty.
    pub fn last(self) -> Self {
        Self::new(self.era, self.offset.0.saturating_sub(1))
    }

    /// Creates a position.
    pub fn new(era: StoreEra, offset: u64) -> Self {
        Self {
            era,
            offset: Offset(offset),
        }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "era {}, offset {}", self.era, self.offset)
    }
}
