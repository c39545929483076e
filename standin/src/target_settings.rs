//! Settings of a simulated target.

use std::net::SocketAddr;
use std::time::Duration;

use crate::server::ANY_PORT;

/// Capacity, service times and address of a target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// The address to listen on.
    pub addr: SocketAddr,
    /// The target's name.
    pub id: Box<str>,
    /// How many requests run concurrently.
    pub slots: usize,
    /// How many requests may wait for a slot; more are refused.
    pub queue: usize,
    /// The mean service time.
    pub mean: Duration,
    /// The sigma of the log-normal service times; 0 makes all of them equal.
    pub sigma: f64,
    /// The slot time that a probe takes.
    pub probe: Duration,
    /// How long the target is cold (slower) after its start.
    pub cold: Duration,
    /// The factor by which a cold target is slower.
    pub cold_factor: f64,
    /// Random seed for service times, noise and faults that hit a share of the requests.
    pub seed: u64,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            addr: ANY_PORT,
            id: "target".into(),
            slots: 2,
            queue: 16,
            mean: Duration::from_millis(10),
            sigma: 0.5,
            probe: Duration::from_millis(6),
            cold: Duration::ZERO,
            cold_factor: 3.0,
            seed: 1,
        }
    }
}
