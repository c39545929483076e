//! What one simulation runs.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::Policy;
use carobshore_lib::prelude::ResultCode;

use crate::sim_size::Size;

/// Time before latencies count. The measurement budget of a pool is closed for its first 11.5 s.
pub const WARM_UP: Duration = Duration::from_secs(13);

/// What happens to the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Nothing.
    Quiet,
    /// A target is 10 times slower for 2 s, then all are well for 1 s, then it is another one.
    Straggler,
    /// The speed of every target changes every 5 ms by a factor of up to 3.
    Noise,
    /// One failure domain disappears with its targets and entry VMs and stays away.
    DomainGone,
    /// Every 3 s another target drains, and comes back 2 s later.
    Drain,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 5] = [
        Self::Quiet,
        Self::Straggler,
        Self::Noise,
        Self::DomainGone,
        Self::Drain,
    ];

    /// Returns the scenario's name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Straggler => "straggler",
            Self::Noise => "noise",
            Self::DomainGone => "domain-gone",
            Self::Drain => "drain",
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Scenario {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut all = Self::ALL.into_iter();
        all.find(|scenario| scenario.as_str() == text)
            .ok_or_else(|| {
                Error::new(
                    ResultCode::BadUsage,
                    format!("`{}` is not a scenario", text.escape_debug()),
                    "use `quiet`, `straggler`, `noise`, `domain-gone` or `drain`",
                )
            })
    }
}

/// How requests reach targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Routing {
    /// One FIFO queue in front of all healthy slots, without any delay.
    Central,
    /// The daemon's own decisions.
    Policy(Policy),
}

impl Routing {
    /// Every routing, the ideal first.
    pub const ALL: [Self; 4] = [
        Self::Central,
        Self::Policy(Policy::Random),
        Self::Policy(Policy::TwoChoices),
        Self::Policy(Policy::Homes),
    ];
}

impl fmt::Display for Routing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Central => f.write_str("central"),
            Self::Policy(policy) => policy.fmt(f),
        }
    }
}

/// The parameters that all routings of a comparison share.
#[derive(Clone, Copy, Debug)]
pub struct SimSpec {
    /// The installation.
    pub size: Size,
    /// What happens to the targets.
    pub scenario: Scenario,
    /// The share of the slots that requests take. In `DomainGone` it is the share of the slots
    /// that are left, and in `Noise` of the slots at their mean speed.
    pub load: f64,
    /// The mean service time.
    pub mean: Duration,
    /// The sigma of the log-normal service times.
    pub sigma: f64,
    /// The share of requests that are idempotent.
    pub idempotent: f64,
    /// How long requests arrive after the warm-up.
    pub length: Duration,
    /// The seed of arrivals, conditions and decisions.
    pub seed: u64,
    /// VMs with which each VM exchanges heartbeats per second.
    pub heartbeats: usize,
    /// Homes of the service in each failure domain.
    pub homes_per_domain: u32,
}

impl SimSpec {
    /// Returns when requests stop to arrive.
    pub fn end(&self) -> Duration {
        WARM_UP + self.length
    }

    /// Returns when the failure domain disappears.
    pub fn gone_at(&self) -> Duration {
        WARM_UP + self.length / 4
    }
}
