//! Why a request left its failure domain.

use std::fmt;

/// Why a request left its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DepartureReason {
    /// The own domain has no usable target that was not tried.
    NoLocalTarget,
    /// The request is in the share that evens out the load of the domains.
    Share,
    /// The own domain would have refused the request, and a check found a free slot elsewhere.
    LastResort,
}

impl DepartureReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoLocalTarget => "no-local-target",
            Self::Share => "share",
            Self::LastResort => "last-resort",
        }
    }
}

impl fmt::Display for DepartureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
