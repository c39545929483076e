//! What a simulation is told and what it measures.

use std::time::Duration;

use carobshore_lib::prelude::Policy;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weather {
    Quiet,
    /// A random target is ten times slower for 2 s, then all are well for 1 s.
    Straggler,
    /// The rate of each VM changes every 5 ms by a factor between 0 and 2.
    Shifting,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    /// `None` stands for one ideal central queue.
    pub policy: Option<Policy>,
    pub load: f64,
    pub sigma: f64,
    pub weather: Weather,
    pub repeatable: f64,
    pub targets: usize,
    pub time: Duration,
    pub seed: u64,
    pub hedge_permille: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    pub answered: usize,
    pub rejected: usize,
    pub spilled: u64,
    pub hedges: u64,
    pub probes: u64,
    pub ejections: u64,
}
