//! The settings of requests that leave their failure domain.

use crate::domain_choice::crossing_mode::CrossingMode;
use crate::domain_choice::crossing_price::CrossingPrice;

/// The settings of requests that leave their failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrossingSettings {
    /// How it is decided whether a request leaves.
    pub mode: CrossingMode,
    /// The price of bytes between domains.
    pub price: CrossingPrice,
}
