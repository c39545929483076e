//! How many requests an organisation may send through all VMs together.

use std::fmt;

use crate::request_count::RequestCount;
use crate::request_rate::RequestRate;

/// How many requests an organisation may send through all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second; above 0.
    pub rate: RequestRate,
    /// Requests that it may send at once in addition, if it has sent fewer before.
    pub burst: RequestCount,
}

impl Quota {
    /// Returns the quota, or nothing if the rate is 0, which means that there is no limit.
    pub fn new(rate: RequestRate, burst: RequestCount) -> Option<Self> {
        (rate.per_second() > 0.0).then_some(Self { rate, burst })
    }
}

impl fmt::Display for Quota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} and {} at once", self.rate, self.burst)
    }
}
