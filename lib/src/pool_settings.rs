//! The settings of a slot pool.

use std::time::Duration;

use crate::policy::Policy;

/// The settings of a slot pool. The defaults suit requests that take from a few to a few hundred
/// milliseconds.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// How targets are chosen.
    pub policy: Policy,
    /// Seed of the pool's random numbers.
    pub seed: u64,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
    /// The assumed service time before the first response.
    pub initial_time: Duration,
    /// The expected target time of one probe.
    pub probe_cost: Duration,
    /// Divisor of the largest share of targets that may be ejected: with 3, up to one third.
    pub eject_divisor: u32,
    /// Maximum age at which a report of another home's load is used.
    pub report_age: Duration,
    /// Extra round-trip delay of a request that is spilled to another home.
    pub spill_delay: Duration,
    /// Slot time that hedges may use, in thousandths of the pool's slot time.
    pub hedge_permille: u32,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            policy: Policy::Homes,
            seed: 1,
            queue_limit: 1024,
            initial_time: Duration::from_millis(20),
            probe_cost: Duration::from_millis(6),
            eject_divisor: 3,
            report_age: Duration::from_millis(100),
            spill_delay: Duration::from_millis(2),
            hedge_permille: 20,
        }
    }
}
