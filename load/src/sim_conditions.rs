//! The state of each target over time, equal for all routings.

use std::time::Duration;

use carobshore_standin::noise::Noise;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::sim_spec::Scenario;
use crate::sim_spec::SimSpec;

/// The largest slowdown by neighbours.
pub const NOISE_MOST: f64 = 3.0;

/// How long one slowdown by neighbours lasts.
const NOISE_PERIOD: Duration = Duration::from_millis(5);

/// The factor by which a straggler is slower.
const STRAGGLE: f64 = 10.0;

/// A straggler or a drain begins this often.
const CYCLE: Duration = Duration::from_secs(3);

/// How long a straggler or a drain lasts.
const EPISODE: Duration = Duration::from_secs(2);

/// The failure domain that disappears.
const GONE_DOMAIN: usize = 1;

/// One target is slow or drains for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Episode {
    /// The target.
    pub target: usize,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// What targets go through in one simulation.
#[derive(Clone, Debug)]
pub struct Conditions {
    spec: SimSpec,
    episodes: Vec<Episode>,
}

impl Conditions {
    /// Draws the conditions of a scenario.
    pub fn new(spec: &SimSpec) -> Self {
        let mut random = StdRng::seed_from_u64(spec.seed ^ 0x5eed);
        let has_episodes = matches!(spec.scenario, Scenario::Straggler | Scenario::Drain);
        let mut episodes = Vec::new();
        let mut from = CYCLE;
        while has_episodes && from < spec.end() {
            episodes.push(Episode {
                target: random.random_range(0..spec.size.targets),
                from,
                until: from + EPISODE,
            });
            from += CYCLE;
        }
        Self {
            spec: *spec,
            episodes,
        }
    }

    /// Returns the episodes in the order of time; they do not overlap.
    pub fn episodes(&self) -> &[Episode] {
        &self.episodes
    }

    /// Returns whether a machine in the failure domain of `index` exists.
    pub fn exists(&self, index: usize, at: Duration) -> bool {
        let gone = self.spec.scenario == Scenario::DomainGone && at >= self.spec.gone_at();
        !gone || self.spec.size.domain(index) != GONE_DOMAIN
    }

    /// Returns whether the ideal queue uses the target.
    pub fn is_healthy(&self, target: usize, at: Duration) -> bool {
        self.exists(target, at) && !self.has_episode(target, at)
    }

    /// Returns whether the target drains.
    pub fn is_draining(&self, target: usize, at: Duration) -> bool {
        self.spec.scenario == Scenario::Drain && self.has_episode(target, at)
    }

    /// Returns how long a target needs for the work that it starts now.
    pub fn service_time(&self, target: usize, at: Duration, work: Duration) -> Duration {
        match self.spec.scenario {
            Scenario::Straggler if self.has_episode(target, at) => work.mul_f64(STRAGGLE),
            Scenario::Noise => {
                let noise = Noise {
                    period: NOISE_PERIOD,
                    max_factor: NOISE_MOST,
                    seed: self.spec.seed * 1000 + target as u64,
                };
                noise.stretch(at, work)
            }
            _ => work,
        }
    }

    fn has_episode(&self, target: usize, at: Duration) -> bool {
        let after = self.episodes.partition_point(|episode| episode.from <= at);
        let last = after.checked_sub(1).map(|index| self.episodes[index]);
        last.is_some_and(|episode| episode.target == target && at < episode.until)
    }
}
