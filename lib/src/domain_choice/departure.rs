//! A request that leaves its failure domain.

use std::fmt;

use crate::domain_choice::departure_reason::DepartureReason;

/// Why a request left its failure domain, and what was expected of that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Departure {
    /// Why it left.
    pub reason: DepartureReason,
    /// The expected gain in milliseconds. Nothing if the own domain would not have served it.
    pub gain_ms: Option<f64>,
}

impl fmt::Display for Departure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.gain_ms {
            Some(gain) => write!(f, "{}, expected gain {gain:.0} ms", self.reason),
            None => self.reason.fmt(f),
        }
    }
}
